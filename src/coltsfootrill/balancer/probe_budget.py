"""The probe budget of the whole fleet, which also holds while membership changes.

Each instance spends only its share. While membership is unstable, the budget is divided by the
largest fleet allowed; an isolated instance spends nothing.
"""

from __future__ import annotations

from random import Random

from coltsfootrill.manifest.model import ProbeLimits

STABLE_MS = 10_000.0
MS_PER_SECOND = 1_000.0


def get_rate_per_ms(limits: ProbeLimits) -> float:
    """Return the probes per millisecond that one upstream may get from the whole fleet."""
    by_time = limits.time_share / limits.probe_cost_ms
    return min(limits.requests_per_second / MS_PER_SECOND, by_time)


def get_divisor(
    *, count: int, stable_for_ms: float, is_isolated: bool, fleet_max_count: int
) -> int | None:
    """Return how many instances share the budget, or ``None`` if this one may not probe."""
    if is_isolated:
        return None
    if stable_for_ms < STABLE_MS:
        return max(count, fleet_max_count)
    return count


class ProbeBudget:
    """Earned probes by upstream, counted only while an upstream needs probing.

    At most one probe accumulates, and each count starts at a random value between -1 and 0. An
    instance therefore sends at most one probe in the time in which it earns one, also after a
    restart, and instances that need a probe at the same time do not send it at the same time.
    """

    __slots__ = ("_earned_by_id", "_random", "_updated_by_id")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._earned_by_id: dict[str, float] = {}
        self._updated_by_id: dict[str, float] = {}

    def earn(self, upstream_id: str, *, rate_per_ms: float, now_ms: float) -> None:
        """Add the share of a probe earned since the last call, for an upstream that needs one."""
        updated_ms = self._updated_by_id.get(upstream_id)
        self._updated_by_id[upstream_id] = now_ms
        if updated_ms is None:
            self._earned_by_id[upstream_id] = -self._random.random()
            return
        earned = self._earned_by_id[upstream_id] + (now_ms - updated_ms) * rate_per_ms
        self._earned_by_id[upstream_id] = min(1.0, earned)

    def spend(self, upstream_id: str) -> bool:
        """Spend one probe of an upstream and return whether one had been earned."""
        if self._earned_by_id.get(upstream_id, 0.0) < 1:
            return False
        self._earned_by_id[upstream_id] = 0.0
        return True

    def drop(self, upstream_id: str) -> None:
        """Drop what was earned for an upstream that no longer needs a probe."""
        self._earned_by_id.pop(upstream_id, None)
        self._updated_by_id.pop(upstream_id, None)
