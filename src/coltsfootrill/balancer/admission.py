"""The bounded queue of one service: who waits, who is next, who is refused."""

from __future__ import annotations

from coltsfootrill.manifest.model import Priority

_RANK_BY_PRIORITY: dict[Priority, int] = {"interactive": 0, "normal": 1, "deferrable": 2}
URGENT_RANK = 0


class Waiter:
    """One request that waits for an upstream; times are in milliseconds of the clock.

    ``urgent_at_ms`` is when a deferrable request must be treated as interactive.
    """

    __slots__ = ("deadline_ms", "order", "priority", "urgent_at_ms")

    def __init__(
        self, *, priority: Priority, deadline_ms: float, urgent_at_ms: float, order: int
    ) -> None:
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.urgent_at_ms = urgent_at_ms
        self.order = order


def rank_waiter(waiter: Waiter, now_ms: float) -> tuple[int, int]:
    """Return the key that orders waiters: urgency first, then arrival."""
    if waiter.priority == "deferrable" and now_ms >= waiter.urgent_at_ms:
        return URGENT_RANK, waiter.order
    return _RANK_BY_PRIORITY[waiter.priority], waiter.order


class AdmissionQueue:
    """Waiters of one service, at most ``limit`` of them."""

    __slots__ = ("_limit", "_waiters")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter, *, now_ms: float) -> Waiter | None:
        """Add a waiter and return the one that has to give way, if the queue was full.

        That may be the new one itself, when no other is less urgent.
        """
        self._waiters.append(waiter)
        # A deferrable request waits long and holds a thread while it does, so such requests get
        # no more than half of the places.
        deferred = [other for other in self._waiters if other.priority == "deferrable"]
        if len(self._waiters) <= self._limit and len(deferred) <= max(1, self._limit // 2):
            return None
        crowd = deferred if len(self._waiters) <= self._limit else self._waiters
        last = max(crowd, key=lambda other: rank_waiter(other, now_ms))
        self._waiters.remove(last)
        return last

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter and return whether it was waiting."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        return True

    def get_next(self, now_ms: float) -> Waiter | None:
        """Return the most urgent waiter without removing it."""
        if not self._waiters:
            return None
        return min(self._waiters, key=lambda waiter: rank_waiter(waiter, now_ms))

    def count_ahead(self, waiter: Waiter, now_ms: float) -> int:
        """Return how many waiters are served before ``waiter``."""
        rank = rank_waiter(waiter, now_ms)
        return sum(rank_waiter(other, now_ms) < rank for other in self._waiters)


def can_meet_deadline(*, ahead: int, parallel: int, usual_ms: float, remaining_ms: float) -> bool:
    """Return whether a request behind ``ahead`` others can still be answered in time.

    ``parallel`` requests of ``usual_ms`` each run at a time.
    """
    if parallel <= 0:
        return remaining_ms > usual_ms
    wait_ms = (ahead / parallel) * usual_ms
    return wait_ms + usual_ms <= remaining_ms
