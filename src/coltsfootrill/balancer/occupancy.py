"""How many requests an upstream works on well at a time, learnt from the latencies of a service.

Some upstreams slow down when their last slot is taken, so much that they get less done than with
one slot free.
"""

from __future__ import annotations

import math

from coltsfootrill.balancer.load import UpstreamLoad

WEIGHT = 0.05
SAMPLES_MIN_COUNT = 30
# Hysteresis: the last slot is given up only when it clearly costs work done.
LOSS_TO_GIVE_UP = 1.05
LOSS_TO_USE_AGAIN = 0.95


class SaturationEstimate:
    """Latencies at upstreams that were full and at those that were not, as shares of the usual."""

    __slots__ = ("_full_count", "_full_share", "_is_last_given_up", "_open_count", "_open_share")

    def __init__(self) -> None:
        self._full_share = 1.0
        self._open_share = 1.0
        self._full_count = 0
        self._open_count = 0
        self._is_last_given_up = False

    def note(self, *, occupancy: float, slots: int, share: float) -> None:
        """Take in a latency; ``occupancy`` is that at the start, the request included."""
        if occupancy > slots + 0.5 or slots < 2:
            return
        clipped = min(share, 4.0)
        if occupancy > slots - 0.5:
            self._full_share += WEIGHT * (clipped - self._full_share)
            self._full_count += 1
        else:
            self._open_share += WEIGHT * (clipped - self._open_share)
            self._open_count += 1
        if min(self._full_count, self._open_count) >= SAMPLES_MIN_COUNT:
            self._update_cap(slots)

    def get_cap(self, slots: int) -> int:
        """Return how many requests an upstream with ``slots`` slots should work on."""
        return slots - 1 if self._is_last_given_up and slots > 1 else slots

    def _update_cap(self, slots: int) -> None:
        # Work done with all slots is slots / full latency, with one free (slots - 1) / open one.
        loss = (self._full_share / slots) / (self._open_share / (slots - 1))
        if self._is_last_given_up:
            self._is_last_given_up = loss > LOSS_TO_USE_AGAIN
        else:
            self._is_last_given_up = loss > LOSS_TO_GIVE_UP


def count_known(load: UpstreamLoad, now_ms: float, *, half_life_ms: float) -> float:
    """Return the requests known to be at the upstream; what an old report told fades away."""
    age_ms = max(0.0, now_ms - load.reported_at_ms)
    return load.in_flight + load.reported_others * math.pow(0.5, age_ms / half_life_ms)
