"""The requests of callers that are in progress, and whether they ever end."""

from __future__ import annotations

import threading

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.turns import Turn


class RequestsInProgress:
    """The turns of requests that arrived completely and have not ended. Thread-safe.

    Of ``places`` requests at a time each is accepted; a further one is in progress as well until
    its refusal is sent.
    """

    __slots__ = ("_accepted_ms", "_clock", "_lock", "_places", "_started_ms_by_turn")

    def __init__(self, places: int, clock: Clock) -> None:
        self._places = places
        self._clock = clock
        self._lock = threading.Lock()
        self._started_ms_by_turn: dict[Turn, float] = {}
        self._accepted_ms = clock.now_ms()

    def __len__(self) -> int:
        return len(self._started_ms_by_turn)

    def add(self, turn: Turn) -> bool:
        """Add a turn until it ends; return whether there was a place for it."""
        with self._lock:
            now_ms = self._clock.now_ms()
            has_place = len(self._started_ms_by_turn) < self._places
            if has_place:
                self._accepted_ms = now_ms
            self._started_ms_by_turn[turn] = now_ms
        turn.free_at_end(lambda: self._remove(turn))
        return has_place

    def count_waiting(self) -> int:
        """Return how many have their answer and wait for earlier ones to be sent."""
        with self._lock:
            return sum(turn.is_waiting for turn in self._started_ms_by_turn)

    def get_oldest_age_ms(self) -> float:
        """Return the age of the oldest, 0 if there is none."""
        with self._lock:
            oldest_ms = min(self._started_ms_by_turn.values(), default=None)
        return 0.0 if oldest_ms is None else self._clock.now_ms() - oldest_ms

    def is_full_since(self, duration_ms: float) -> bool:
        """Return whether there is no place, and none was given away for ``duration_ms``."""
        with self._lock:
            is_full = len(self._started_ms_by_turn) >= self._places
            return is_full and self._clock.now_ms() - self._accepted_ms > duration_ms

    def _remove(self, turn: Turn) -> None:
        with self._lock:
            del self._started_ms_by_turn[turn]
