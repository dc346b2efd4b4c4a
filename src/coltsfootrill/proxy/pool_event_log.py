"""Emits events for ejections and the retry budget of a pool, and describes failed admissions."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.retry import AttemptBudget
from coltsfootrill.balancer.retry import BudgetUse
from coltsfootrill.balancer.warm_up import list_cold
from coltsfootrill.events.catalog import Admission
from coltsfootrill.events.catalog import Event
from coltsfootrill.events.catalog import RetriesAvailable
from coltsfootrill.events.catalog import RetriesExhausted
from coltsfootrill.events.catalog import UpstreamEjected
from coltsfootrill.events.catalog import UpstreamRateLimited
from coltsfootrill.events.catalog import UpstreamReadmitted
from coltsfootrill.events.catalog import UpstreamsWarmingUp

# A nearly exhausted budget allows single attempts; recovery is reported only after this time.
BUDGET_EVENT_MIN_MS = 1_000.0
# Many upstreams of a service often become cold one after the other.
WARM_UP_INTERVAL_MS = 1_000.0
WARM_UP_NAMES_MAX_COUNT = 10


class PoolEventLog:
    """Emits an event for each change; all methods require the lock of the pool.

    ``budget`` wraps the pool's retry budget and emits an event when it starts or stops denying
    further attempts.
    """

    __slots__ = (
        "_cold_ids",
        "_ejected_by_id",
        "_on_event",
        "_per_s_by_id",
        "_pool",
        "_warm_ups_recorded_ms",
        "budget",
    )

    def __init__(self, pool: ServicePool, *, on_event: Callable[[Event], None]) -> None:
        self._pool = pool
        self._on_event = on_event
        self._ejected_by_id: dict[str, UpstreamLoad] = {}
        self._per_s_by_id: dict[str, float] = {}
        self._cold_ids: list[str] = []
        self._warm_ups_recorded_ms = float("-inf")
        self.budget: AttemptBudget = _LoggedBudget(pool, on_event=on_event)

    def record_ejections(self, ejected: Sequence[UpstreamLoad], now_ms: float) -> None:
        """Emit events for upstreams just ejected and for those whose ejection has ended."""
        for load in ejected:
            self._ejected_by_id[load.id] = load
            self._on_event(_make_ejected_event(load, self._pool.service_id, now_ms))
        ended = [load for load in self._ejected_by_id.values() if now_ms >= load.ejected_until_ms]
        for load in ended:
            del self._ejected_by_id[load.id]
            if self._pool.by_id.get(load.id) is load:
                self._on_event(UpstreamReadmitted(upstream=load.id, service=self._pool.service_id))

    def record_rate_limits(self) -> None:
        """Emit an event for each upstream whose stated rate of requests is new or has changed."""
        per_s_by_id = {
            load.id: load.rate_limit.per_s
            for load in self._pool.by_id.values()
            if load.rate_limit.per_s is not None
        }
        if per_s_by_id == self._per_s_by_id:
            return
        for upstream_id in sorted(per_s_by_id.keys() | self._per_s_by_id.keys()):
            per_s = per_s_by_id.get(upstream_id)
            if per_s != self._per_s_by_id.get(upstream_id):
                self._on_event(
                    UpstreamRateLimited(
                        upstream=upstream_id, service=self._pool.service_id, per_s=per_s
                    )
                )
        self._per_s_by_id = per_s_by_id

    def record_warm_ups(self, now_ms: float) -> None:
        """Emit an event if others are cold than before, one a second at most."""
        if now_ms - self._warm_ups_recorded_ms < WARM_UP_INTERVAL_MS:
            return
        cold = list_cold(self._pool.by_id.values(), now_ms)
        cold_ids = sorted(load.id for load in cold)
        if cold_ids == self._cold_ids:
            return
        self._cold_ids = cold_ids
        self._warm_ups_recorded_ms = now_ms
        rates = [load.rate_limit.warm_up_per_s for load in cold]
        self._on_event(
            UpstreamsWarmingUp(
                service=self._pool.service_id,
                count=len(cold_ids),
                upstreams=cold_ids[:WARM_UP_NAMES_MAX_COUNT],
                per_s=None if not rates or rates[0] is None else round(rates[0], 2),
            )
        )


def _make_ejected_event(load: UpstreamLoad, service_id: str, now_ms: float) -> UpstreamEjected:
    return UpstreamEjected(
        upstream=load.id,
        service=service_id,
        for_ms=round(load.ejected_until_ms - now_ms, 1),
        reason=load.outlier_score.reason,
        limit_ratio=round(load.outlier_score.limit_ratio, 2),
    )


class _LoggedBudget:
    """A pool's retry budget that emits events when it starts and stops denying attempts."""

    __slots__ = ("_denied_since_ms", "_on_event", "_pool")

    def __init__(self, pool: ServicePool, *, on_event: Callable[[Event], None]) -> None:
        self._pool = pool
        self._on_event = on_event
        self._denied_since_ms: float | None = None

    def earn(self, now_ms: float = 0.0) -> None:
        self._pool.retry_budget.earn(now_ms)

    def get_use(self, now_ms: float) -> BudgetUse:
        return self._pool.retry_budget.get_use(now_ms)

    def spend(self, now_ms: float = 0.0) -> bool:
        is_allowed = self._pool.retry_budget.spend(now_ms)
        if not is_allowed and self._denied_since_ms is None:
            self._denied_since_ms = now_ms
            use = self.get_use(now_ms)
            self._on_event(
                RetriesExhausted(
                    service=self._pool.service_id, spent=use.spent, allowed=round(use.allowed, 1)
                )
            )
        elif is_allowed and self._denied_since_ms is not None:
            after_ms = now_ms - self._denied_since_ms
            if after_ms >= BUDGET_EVENT_MIN_MS:
                self._denied_since_ms = None
                self._on_event(
                    RetriesAvailable(service=self._pool.service_id, after_ms=round(after_ms, 1))
                )
        return is_allowed


def describe_admission(pool: ServicePool, kind_id: str, now_ms: float) -> Admission:
    """Return the state of the pool when it had no upstream for a request of a kind."""
    loads = list(pool.by_id.values())
    ages_ms = [now_ms - load.reported_at_ms for load in loads]
    return Admission(
        upstreams=len(loads),
        ejected=sum(now_ms < load.ejected_until_ms for load in loads),
        rate_limited=sum(not load.rate_limit.allows_request(now_ms) for load in loads),
        declined=sum(pool.is_declining(load, now_ms) for load in loads),
        with_room=pool.count_with_free_slot(now_ms),
        waiting=len(pool.queue),
        usual_ms=round(pool.get_latency(kind_id).typical_ms, 1),
        report_age_ms=round(min(ages_ms, default=0.0), 1),
    )
