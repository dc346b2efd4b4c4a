"""The concurrency at which upstreams have the best throughput, from the latencies of a service.

Some upstreams slow down so much when their last slot is taken that their throughput is lower than
with one slot free.
"""

from __future__ import annotations

import math

from coltsfootrill.balancer.load import UpstreamLoad

WEIGHT = 0.05
SAMPLES_MIN_COUNT = 30
# Hysteresis: the last slot is left free only when using it clearly lowers the throughput.
LOSS_TO_LEAVE_FREE = 1.05
LOSS_TO_USE_AGAIN = 0.95


class SaturationEstimate:
    """Latencies at saturated and unsaturated upstreams, as multiples of the typical latency."""

    __slots__ = (
        "_is_last_left_free",
        "_saturated_count",
        "_saturated_ratio",
        "_unsaturated_count",
        "_unsaturated_ratio",
    )

    def __init__(self) -> None:
        self._saturated_ratio = 1.0
        self._unsaturated_ratio = 1.0
        self._saturated_count = 0
        self._unsaturated_count = 0
        self._is_last_left_free = False

    def record(self, *, occupancy: float, slots: int, ratio: float) -> None:
        """Record a latency ratio; ``occupancy`` includes the request and is that at its start."""
        if occupancy > slots + 0.5 or slots < 2:
            return
        clipped = min(ratio, 4.0)
        if occupancy > slots - 0.5:
            self._saturated_ratio += WEIGHT * (clipped - self._saturated_ratio)
            self._saturated_count += 1
        else:
            self._unsaturated_ratio += WEIGHT * (clipped - self._unsaturated_ratio)
            self._unsaturated_count += 1
        if min(self._saturated_count, self._unsaturated_count) >= SAMPLES_MIN_COUNT:
            self._update_cap(slots)

    def get_cap(self, slots: int) -> int:
        """Return how many requests an upstream with ``slots`` slots should work on."""
        return slots - 1 if self._is_last_left_free and slots > 1 else slots

    def _update_cap(self, slots: int) -> None:
        # Throughput is slots / saturated latency with all slots used, and
        # (slots - 1) / unsaturated latency with one free.
        loss = (self._saturated_ratio / slots) / (self._unsaturated_ratio / (slots - 1))
        if self._is_last_left_free:
            self._is_last_left_free = loss > LOSS_TO_USE_AGAIN
        else:
            self._is_last_left_free = loss > LOSS_TO_LEAVE_FREE


def count_known(load: UpstreamLoad, now_ms: float, *, half_life_ms: float) -> float:
    """Return the requests known to be at the upstream; those of a report decay with its age."""
    age_ms = max(0.0, now_ms - load.reported_at_ms)
    return load.in_flight + load.reported_others * math.pow(0.5, age_ms / half_life_ms)
