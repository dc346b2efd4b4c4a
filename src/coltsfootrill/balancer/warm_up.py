"""The rate at which cold upstreams get requests, and which upstreams are cold."""

from __future__ import annotations

import math
from collections.abc import Collection
from collections.abc import Iterable

from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.rate_limit import BURST_COUNT
from coltsfootrill.balancer.rate_limit import FALLBACK_SHARE
from coltsfootrill.balancer.rate_limit import RATE_MIN_PER_S
from coltsfootrill.manifest.model import WarmUp

OVERSHOOT_DEFAULT = 1.5
SLACK_DEFAULT = 8.0
# Two instances choose for others in a fleet cut in two, and while the first one replies to some.
DISPATCHERS_AT_ONCE_COUNT = 2
# The other instances send at random times: their number in a second has a Poisson distribution.
DEVIATIONS_COUNT = 3
# With fewer cold upstreams, short work has enough warm ones that need no dispatcher.
DISPATCHED_COLD_SHARE = 0.25


class WarmUpBound:
    """What a cold upstream bears in a second: ``overshoot`` times its rate, and ``slack``."""

    __slots__ = ("overshoot", "slack")

    def __init__(
        self, *, overshoot: float = OVERSHOOT_DEFAULT, slack: float = SLACK_DEFAULT
    ) -> None:
        self.overshoot = overshoot
        self.slack = slack

    def count_allowed(self, rate_per_s: float) -> float:
        """Return how many requests in any second all instances together may send."""
        return self.overshoot * rate_per_s + self.slack

    def choose_rate(self, warm_up: WarmUp | None) -> float | None:
        """Return the rate of the whole share in requests a second, ``None`` without a warm-up.

        It is the highest rate, up to that of the warm-up, at which two dispatchers and all other
        instances together keep to the bound.
        """
        if warm_up is None:
            return None
        rate_per_s = warm_up.requests_per_second
        bound = self.count_allowed(rate_per_s)
        # Solves A * x * x + D * x = room, where x * x is the rate, A * x * x the average of all in
        # a second and D * x the deviation of those that send at random times.
        average = DISPATCHERS_AT_ONCE_COUNT * (1 + FALLBACK_SHARE)
        deviation = DEVIATIONS_COUNT * math.sqrt(DISPATCHERS_AT_ONCE_COUNT * FALLBACK_SHARE)
        room = max(0.0, bound - DISPATCHERS_AT_ONCE_COUNT * BURST_COUNT)
        root = (math.sqrt(deviation**2 + 4 * average * room) - deviation) / (2 * average)
        return max(RATE_MIN_PER_S, min(rate_per_s, root**2))


def list_cold(loads: Iterable[UpstreamLoad], now_ms: float) -> list[UpstreamLoad]:
    """Return the upstreams whose requests are limited now since they are cold."""
    return [load for load in loads if load.rate_limit.is_warming_up(now_ms)]


def are_many_cold(loads: Collection[UpstreamLoad], now_ms: float) -> bool:
    """Return whether so many upstreams are cold that short work needs the dispatcher.

    With fewer, instances place it on the warm ones, and within their shares on the cold ones.
    """
    cold_count = len(list_cold(loads, now_ms))
    return cold_count > 0 and cold_count >= DISPATCHED_COLD_SHARE * len(loads)
