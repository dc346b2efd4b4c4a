"""The budget for probes: it holds for the whole fleet, whatever happens to membership.

Each instance spends only its share. While membership is uncertain the share is that of the
largest fleet allowed; an isolated instance spends nothing.
"""

from __future__ import annotations

from random import Random

from coltsfootrill.manifest.model import ProbeLimits

STABLE_MS = 10_000.0
MS_PER_SECOND = 1_000.0


def get_rate_per_ms(measuring: ProbeLimits) -> float:
    """Return the probes per millisecond that one upstream may get from the whole fleet."""
    by_time = measuring.time_share / measuring.probe_cost_ms
    return min(measuring.requests_per_second / MS_PER_SECOND, by_time)


def get_divisor(
    *, count: int, stable_for_ms: float, is_isolated: bool, fleet_max_count: int
) -> int | None:
    """Return how many instances share the budget, ``None`` when this one may not probe."""
    if is_isolated:
        return None
    if stable_for_ms < STABLE_MS:
        return max(count, fleet_max_count)
    return count


class ProbeBudget:
    """Earned probes by upstream, counted only while an upstream needs probing.

    Nothing is saved up, and each count starts below zero by a random part of one: in any time in
    which one instance earns a probe it sends at most one, after a restart as well, and instances
    that see the need at the same moment do not probe at the same moment.
    """

    __slots__ = ("_earned_by_id", "_random", "_updated_by_id")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._earned_by_id: dict[str, float] = {}
        self._updated_by_id: dict[str, float] = {}

    def earn(self, upstream_id: str, *, rate_per_ms: float, now_ms: float) -> None:
        """Add what was earned since the last call for an upstream that needs a probe."""
        before_ms = self._updated_by_id.get(upstream_id)
        self._updated_by_id[upstream_id] = now_ms
        if before_ms is None:
            self._earned_by_id[upstream_id] = -self._random.random()
            return
        earned = self._earned_by_id[upstream_id] + (now_ms - before_ms) * rate_per_ms
        self._earned_by_id[upstream_id] = min(1.0, earned)

    def spend(self, upstream_id: str) -> bool:
        """Take one probe of an upstream and return whether it was earned."""
        if self._earned_by_id.get(upstream_id, 0.0) < 1:
            return False
        self._earned_by_id[upstream_id] = 0.0
        return True

    def drop(self, upstream_id: str) -> None:
        """Forget what was earned for an upstream that needs no probe any more."""
        self._earned_by_id.pop(upstream_id, None)
        self._updated_by_id.pop(upstream_id, None)
