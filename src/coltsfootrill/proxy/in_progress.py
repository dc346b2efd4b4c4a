"""The requests of callers that are in progress, and whether they ever end."""

from __future__ import annotations

import threading

from coltsfootrill.proxy.turns import Turn


class RequestsInProgress:
    """The turns of requests that arrived completely and have not ended. Thread-safe.

    Of ``places`` requests at a time each is accepted; a further one is in progress as well until
    its refusal is sent.
    """

    __slots__ = ("_lock", "_places", "_turns")

    def __init__(self, places: int) -> None:
        self._places = places
        self._lock = threading.Lock()
        self._turns: set[Turn] = set()

    def __len__(self) -> int:
        return len(self._turns)

    def add(self, turn: Turn) -> bool:
        """Add a turn until it ends; return whether there was a place for it."""
        with self._lock:
            has_place = len(self._turns) < self._places
            self._turns.add(turn)
        turn.free_at_end(lambda: self._remove(turn))
        return has_place

    def _remove(self, turn: Turn) -> None:
        with self._lock:
            self._turns.remove(turn)
