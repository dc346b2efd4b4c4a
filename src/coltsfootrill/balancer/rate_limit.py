"""Keeps the requests to an upstream within the rate that it states on its answers.

An upstream states its rate for all instances together. The instance that chooses for the whole
fleet has the whole rate; any other instance has a share of it, for the time in which it has to
choose itself.
"""

from __future__ import annotations

from random import Random

MS_PER_SECOND = 1_000.0
# Requests that may go to an upstream at once after a pause, as long as they keep to its rate.
BURST_COUNT = 2
# Only answers tell that the rate has changed, so some requests are sent even at a rate of 0.
RATE_MIN_PER_S = 0.25
# The share of all instances together that do not choose for the fleet. What they send comes on top
# of the whole rate, until they all use the same dispatcher again.
FALLBACK_SHARE = 0.25
# How long a request that is allowed with a share may be left unused.
UNUSED_MAX_MS = 1_000.0
WHOLE_SHARE = 1.0


class RateLimit:
    """The stated rate of one upstream, and whether it allows a request now.

    ``per_s`` is ``None`` while the upstream states no rate; every request is allowed then.
    ``share`` is the part of the rate that this instance has. With the whole rate, requests are
    spaced evenly. With a share of it, which may be less than a request in several seconds, they are
    allowed at random times: instances that begin to choose themselves at the same moment would
    otherwise all have a request left from before.
    """

    __slots__ = (
        "_allowed_until_ms",
        "_checked_ms",
        "_lifted_ms",
        "_next_ms",
        "_random",
        "_stated_ms",
        "per_s",
        "share",
    )

    def __init__(self, *, share: float, random: Random) -> None:
        self.per_s: float | None = None
        self.share = share
        self._random = random
        # With the whole rate: when the next request is due.
        self._next_ms = 0.0
        # With a share: when it was last checked, and until when a request may be sent.
        self._checked_ms = 0.0
        self._allowed_until_ms = float("-inf")
        self._stated_ms = float("-inf")
        self._lifted_ms = float("-inf")

    def set_share(self, share: float, now_ms: float) -> None:
        """Change the share of this instance."""
        if share == self.share:
            return
        self.share = share
        if self.per_s is not None:
            self._restart(now_ms)

    def record_answer(self, per_s: float | None, *, started_ms: float, now_ms: float) -> None:
        """Record the rate that an answer states; ``None`` lifts the limit.

        An answer to a request that was started before the last statement lifts nothing.
        """
        if per_s is not None:
            self._record_rate(per_s, now_ms)
        elif started_ms > self._stated_ms:
            self.per_s = None
            self._lifted_ms = now_ms

    def record_shared(self, per_s: float, stated_ms: float) -> None:
        """Record a rate that another instance was told at ``stated_ms``."""
        if stated_ms > max(self._stated_ms, self._lifted_ms):
            self._record_rate(per_s, stated_ms)

    def allows_request(self, now_ms: float) -> bool:
        """Return whether a request may be sent now."""
        if self.per_s is None:
            return True
        if self.share == WHOLE_SHARE:
            return now_ms >= self._next_ms - (BURST_COUNT - 1) * self._get_interval_ms()
        if now_ms >= self._allowed_until_ms:
            elapsed_ms = min(now_ms - self._checked_ms, UNUSED_MAX_MS)
            self._checked_ms = now_ms
            if self._random.random() * self._get_interval_ms() >= elapsed_ms:
                return False
            self._allowed_until_ms = now_ms + UNUSED_MAX_MS
        return True

    def record_request(self, now_ms: float) -> None:
        """Record a request that is sent now."""
        if self.per_s is not None:
            self._next_ms = max(self._next_ms, now_ms) + self._get_interval_ms()
            self._allowed_until_ms = float("-inf")

    def get_concurrency(self, latency_ms: float) -> float:
        """Return how many requests of ``latency_ms`` run at a time at this rate."""
        if self.per_s is None:
            return float("inf")
        return latency_ms / self._get_interval_ms()

    def _record_rate(self, per_s: float, now_ms: float) -> None:
        is_first = self.per_s is None
        self.per_s = max(per_s, RATE_MIN_PER_S)
        self._stated_ms = now_ms
        if is_first:
            self._restart(now_ms)

    def _restart(self, now_ms: float) -> None:
        """Forget what was sent before; requests sent until now may already exceed the rate."""
        self._next_ms = now_ms + BURST_COUNT * self._get_interval_ms()
        self._checked_ms = now_ms
        self._allowed_until_ms = float("-inf")

    def _get_interval_ms(self) -> float:
        assert self.per_s is not None
        return MS_PER_SECOND / (self.per_s * self.share)
