"""The bounded admission queue of one service: order, eviction and deadline checks.

What a failure costs callers decides the order; see ``docs/design/order-under-overload.md``.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from coltsfootrill.manifest.model import Priority

_RANK_BY_PRIORITY: dict[Priority, int] = {"interactive": 0, "normal": 1, "deferrable": 2}
URGENT_RANK = 0


class Waiter:
    """One request that waits for an upstream; times are in milliseconds of the clock.

    From ``urgent_at_ms`` on, a deferrable request is treated as interactive. ``target_at_ms`` is
    the time by which an answer has its full value, and ``work_ms`` the expected latency of an
    attempt. A request that can no longer meet its target is refused from ``give_up_ms`` on.
    ``organisation_rank`` orders the callers' organisations and ``rank`` kinds, 0 first; without an
    organisation that has a rank, both are that of the kind.
    ``is_starved`` marks whoever is served far less often than others, ``is_above_usual`` an
    organisation that asks for far more than it usually does, and ``is_returning`` a caller that has
    come back after a refusal.
    """

    __slots__ = (
        "deadline_ms",
        "give_up_ms",
        "is_above_usual",
        "is_returning",
        "is_starved",
        "order",
        "organisation_rank",
        "priority",
        "rank",
        "target_at_ms",
        "urgent_at_ms",
        "work_class",
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
        organisation_rank: int | None = None,
        is_starved: bool = False,
        is_above_usual: bool = False,
        is_returning: bool = False,
    ) -> None:
        self.organisation_rank = rank if organisation_rank is None else organisation_rank
        self.is_starved = is_starved
        self.is_above_usual = is_above_usual
        self.is_returning = is_returning
        # Work counts by its order of magnitude: small differences of an estimate change no order.
        self.work_class = math.frexp(max(work_ms, 1.0))[1]
        self.rank = rank
        self.target_at_ms = target_at_ms
        self.work_ms = work_ms
        self.give_up_ms = give_up_ms
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.urgent_at_ms = urgent_at_ms
        self.order = order

    def is_late(self, now_ms: float) -> bool:
        """Return whether the request would miss its target even if it started now."""
        return now_ms + self.work_ms > self.target_at_ms

    def should_give_up(self, now_ms: float) -> bool:
        """Return whether to refuse the request: too late for its deadline, or late for too long."""
        if now_ms + self.work_ms > self.deadline_ms:
            return True
        return self.is_late(now_ms) and now_ms >= self.give_up_ms


class WaiterRank(NamedTuple):
    """The sort key of a waiter; the lowest is served first, and the highest turned away first.

    A request that can still meet its target goes before one that cannot, then whoever is starved,
    then by urgency, by the rank of the organisation and by that of the kind. Among equals, the
    excess of an organisation goes last, and a caller that has come back goes before one that can
    still do so. Then short work goes first, since it serves more callers in the same time.
    """

    is_late: bool
    is_not_starved: bool
    urgency: int
    organisation_rank: int
    rank: int
    is_above_usual: bool
    is_first_try: bool
    work_class: int
    arrival: int


def rank_waiter(waiter: Waiter, now_ms: float) -> WaiterRank:
    """Return the sort key of a waiter.

    Requests that can still meet a target are served newest first. Served oldest first under
    overload, each of them would start just too late to meet its target.
    """
    is_late = waiter.is_late(now_ms)
    urgency = _RANK_BY_PRIORITY[waiter.priority]
    if waiter.priority == "deferrable" and now_ms >= waiter.urgent_at_ms:
        urgency = URGENT_RANK
    is_newest_first = waiter.target_at_ms < math.inf and not is_late
    return WaiterRank(
        is_late=is_late,
        is_not_starved=not waiter.is_starved,
        urgency=urgency,
        organisation_rank=waiter.organisation_rank,
        rank=waiter.rank,
        is_above_usual=waiter.is_above_usual,
        is_first_try=not waiter.is_returning,
        work_class=waiter.work_class,
        arrival=-waiter.order if is_newest_first else waiter.order,
    )


class AdmissionQueue:
    """Waiters of one service, at most ``limit`` of them."""

    __slots__ = ("_limit", "_waiters")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter, *, now_ms: float) -> Waiter | None:
        """Add a waiter and return the one that is evicted, if a limit is exceeded.

        The new waiter itself is evicted when no other is less urgent.
        """
        self._waiters.append(waiter)
        # A deferrable request waits long and occupies a thread meanwhile, so deferrable requests
        # get at most half of the queue.
        deferred = [other for other in self._waiters if other.priority == "deferrable"]
        if len(self._waiters) <= self._limit and len(deferred) <= max(1, self._limit // 2):
            return None
        evictable = deferred if len(self._waiters) <= self._limit else self._waiters
        least_urgent = max(evictable, key=lambda other: rank_waiter(other, now_ms))
        self._waiters.remove(least_urgent)
        return least_urgent

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter and return whether it was waiting."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        return True

    def get_next(self, now_ms: float, *, is_late: bool | None = None) -> Waiter | None:
        """Return the most urgent waiter without removing it.

        ``is_late`` restricts the search to late waiters or to those on time.
        """
        waiters = self._waiters
        if is_late is not None:
            waiters = [waiter for waiter in waiters if waiter.is_late(now_ms) is is_late]
        return min(waiters, key=lambda waiter: rank_waiter(waiter, now_ms), default=None)

    def count_ahead(self, waiter: Waiter, now_ms: float) -> int:
        """Return how many waiters are served before ``waiter``."""
        rank = rank_waiter(waiter, now_ms)
        return sum(rank_waiter(other, now_ms) < rank for other in self._waiters)


def can_meet_deadline(
    *, ahead: int, parallel: float, typical_ms: float, remaining_ms: float
) -> bool:
    """Return whether a request queued behind ``ahead`` others can meet its deadline.

    Assumes that ``parallel`` requests run at a time and that each takes ``typical_ms``.
    """
    if parallel <= 0:
        return remaining_ms > typical_ms
    wait_ms = (ahead / parallel) * typical_ms
    return wait_ms + typical_ms <= remaining_ms
