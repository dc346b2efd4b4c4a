"""The bounded queue of one service: who waits, who is next, who is refused."""

from __future__ import annotations

import math

from coltsfootrill.manifest.model import Priority

_RANK_BY_PRIORITY: dict[Priority, int] = {"interactive": 0, "normal": 1, "deferrable": 2}
URGENT_RANK = 0


class Waiter:
    """One request that waits for an upstream; times are in milliseconds of the clock.

    ``urgent_at_ms`` is when a deferrable request must be treated as interactive. An answer by
    ``target_at_ms`` has its full worth, and takes about ``work_ms``; ``give_up_ms`` is how long a
    request waits that has missed its target. ``rank`` orders kinds, 0 first.
    """

    __slots__ = (
        "deadline_ms",
        "give_up_ms",
        "order",
        "priority",
        "rank",
        "target_at_ms",
        "urgent_at_ms",
        "work_ms",
    )

    def __init__(
        self,
        *,
        priority: Priority,
        deadline_ms: float,
        urgent_at_ms: float,
        order: int,
        rank: int = 0,
        target_at_ms: float = math.inf,
        work_ms: float = 0.0,
        give_up_ms: float = math.inf,
    ) -> None:
        self.rank = rank
        self.target_at_ms = target_at_ms
        self.work_ms = work_ms
        self.give_up_ms = give_up_ms
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.urgent_at_ms = urgent_at_ms
        self.order = order

    def is_late(self, now_ms: float) -> bool:
        """Return whether the request can meet its target no more, even if it started now."""
        return now_ms + self.work_ms > self.target_at_ms

    def should_give_up(self, now_ms: float) -> bool:
        """Return whether waiting longer is of no use to the caller."""
        if now_ms + self.work_ms > self.deadline_ms:
            return True
        return self.is_late(now_ms) and now_ms >= self.give_up_ms


def rank_waiter(waiter: Waiter, now_ms: float) -> tuple[bool, int, int, int]:
    """Return the key that orders waiters: those that can meet their target, urgency, arrival.

    Among requests with a target that can still be met the newest goes first: under overload the
    oldest ones would be served just too late, one after the other.
    """
    is_late = waiter.is_late(now_ms)
    urgency = _RANK_BY_PRIORITY[waiter.priority]
    if waiter.priority == "deferrable" and now_ms >= waiter.urgent_at_ms:
        urgency = URGENT_RANK
    is_newest_first = waiter.target_at_ms < math.inf and not is_late
    return is_late, urgency, waiter.rank, -waiter.order if is_newest_first else waiter.order


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

    def get_next(self, now_ms: float, *, is_late: bool | None = None) -> Waiter | None:
        """Return the most urgent waiter, or of those late or on time, without removing it."""
        waiters = self._waiters
        if is_late is not None:
            waiters = [waiter for waiter in waiters if waiter.is_late(now_ms) is is_late]
        return min(waiters, key=lambda waiter: rank_waiter(waiter, now_ms), default=None)

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
