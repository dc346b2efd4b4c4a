"""Tells the log what a pool of upstreams believes: ejections, the retry budget, want of room."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.retry import AttemptBudget
from coltsfootrill.balancer.retry import BudgetUse
from coltsfootrill.events.catalog import Admission
from coltsfootrill.events.catalog import Event
from coltsfootrill.events.catalog import RetriesAvailable
from coltsfootrill.events.catalog import RetriesExhausted
from coltsfootrill.events.catalog import UpstreamEjected
from coltsfootrill.events.catalog import UpstreamReadmitted

# A budget that is short allows an attempt now and then: that is no news.
BUDGET_EVENT_MIN_MS = 1_000.0


class PoolEventLog:
    """Emits an event for each change; called with the lock of the pool held.

    ``budget`` is the pool's budget, which tells when it denies a further attempt.
    """

    __slots__ = ("_ejected_by_id", "_on_event", "_pool", "budget")

    def __init__(self, pool: ServicePool, *, on_event: Callable[[Event], None]) -> None:
        self._pool = pool
        self._on_event = on_event
        self._ejected_by_id: dict[str, UpstreamLoad] = {}
        self.budget: AttemptBudget = _WatchedBudget(pool, on_event=on_event)

    def record_ejections(self, ejected: Sequence[UpstreamLoad], now_ms: float) -> None:
        """Note upstreams that were ejected just now, and those whose ejection has ended."""
        for load in ejected:
            self._ejected_by_id[load.id] = load
            for_ms = round(load.ejected_until_ms - now_ms, 1)
            self._on_event(
                UpstreamEjected(upstream=load.id, service=self._pool.service_id, for_ms=for_ms)
            )
        ended = [load for load in self._ejected_by_id.values() if now_ms >= load.ejected_until_ms]
        for load in ended:
            del self._ejected_by_id[load.id]
            if self._pool.by_id.get(load.id) is load:
                self._on_event(UpstreamReadmitted(upstream=load.id, service=self._pool.service_id))


class _WatchedBudget:
    """The budget of a pool, with an event when it begins and ends to deny attempts."""

    __slots__ = ("_denied_ms", "_on_event", "_pool")

    def __init__(self, pool: ServicePool, *, on_event: Callable[[Event], None]) -> None:
        self._pool = pool
        self._on_event = on_event
        self._denied_ms: float | None = None

    def earn(self, now_ms: float = 0.0) -> None:
        self._pool.retry_budget.earn(now_ms)

    def get_use(self, now_ms: float) -> BudgetUse:
        return self._pool.retry_budget.get_use(now_ms)

    def spend(self, now_ms: float = 0.0) -> bool:
        is_allowed = self._pool.retry_budget.spend(now_ms)
        if not is_allowed and self._denied_ms is None:
            self._denied_ms = now_ms
            use = self.get_use(now_ms)
            self._on_event(
                RetriesExhausted(
                    service=self._pool.service_id, spent=use.spent, allowed=round(use.allowed, 1)
                )
            )
        elif is_allowed and self._denied_ms is not None:
            after_ms = now_ms - self._denied_ms
            if after_ms >= BUDGET_EVENT_MIN_MS:
                self._denied_ms = None
                self._on_event(
                    RetriesAvailable(service=self._pool.service_id, after_ms=round(after_ms, 1))
                )
        return is_allowed


def describe_admission(pool: ServicePool, kind_id: str, now_ms: float) -> Admission:
    """Return what the pool knew when it had no upstream for a request of a kind."""
    loads = list(pool.by_id.values())
    ages_ms = [now_ms - load.reported_at_ms for load in loads]
    return Admission(
        upstreams=len(loads),
        ejected=sum(now_ms < load.ejected_until_ms for load in loads),
        with_room=pool.count_with_room(now_ms),
        waiting=len(pool.queue),
        usual_ms=round(pool.get_latency(kind_id).usual_ms, 1),
        report_age_ms=round(min(ages_ms, default=0.0), 1),
    )
