"""Admission to one service: acquire an upstream at once, or wait for one in order of urgency."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import Result
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load_report_cache import ReportEntry
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.rate_limit import MS_PER_SECOND
from coltsfootrill.balancer.rate_limit import RateShares
from coltsfootrill.balancer.retry import AttemptHistory
from coltsfootrill.balancer.retry import FailureKind
from coltsfootrill.balancer.retry import may_hedge
from coltsfootrill.balancer.retry import may_retry
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.client import DispatchClient
from coltsfootrill.dispatch.messages import Denied
from coltsfootrill.dispatch.remote_acquire import RemoteAcquirer
from coltsfootrill.events.catalog import Event
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service
from coltsfootrill.proxy.grant_queue import GrantQueue
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.pending import PendingAttempt
from coltsfootrill.proxy.pool_event_log import PoolEventLog
from coltsfootrill.proxy.pool_event_log import describe_admission
from coltsfootrill.proxy.request import AttemptDemand
from coltsfootrill.proxy.request import RequestTimes
from coltsfootrill.registry.source import UpstreamSource

WAIT_POLL_INTERVAL_MS = 20.0
# A second attempt is granted or refused at once, so this deadline only bounds the time within which
# its end is reported.
SECOND_ATTEMPT_TIMEOUT_MS = 10_000.0
CONFIRM_INTERVAL_MS = 300.0
RETRY_AFTER_S = 0.5
RETRY_AFTER_FREE_SLOT_S = 0.04
_MESSAGE_BY_REFUSAL = {
    "no-upstream": "no upstream of this service is serving",
    "overloaded": "the queue is too long for the deadline of this request",
    "declined": "every upstream of this service wants no request before the deadline",
    "queue-full": "the queue of this service is full of more urgent requests",
    "deadline": "no upstream was free in time",
    "zone-evacuated": "every upstream of this service is in an evacuated availability zone",
    "no-room": "no upstream has a free slot for a second attempt",
}


class AdmissionController:
    """Holds the state of one service and guards it with a lock."""

    def __init__(
        self,
        pool: ServicePool,
        *,
        fleet: UpstreamSource,
        clock: Clock,
        dispatch: DispatchClient | None = None,
        on_report: Callable[[str, LoadReport | None, float | None, int | None], None] = (
            lambda upstream_id, report, per_s, leaving_incarnation: None
        ),
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self._on_report = on_report
        self._event_log = PoolEventLog(pool, on_event=on_event)
        self._pool = pool
        self._dispatch = dispatch
        self._fleet = fleet
        self._clock = clock
        self._lock = threading.Lock()
        self._remote_acquirer = (
            None
            if dispatch is None
            else RemoteAcquirer(dispatch, pool, lock=self._lock, clock=clock)
        )
        self._generation = -1
        self._order_number = 0
        self._service: Service | None = None
        # The earliest lease end among the upstreams used at the last update.
        self._next_lease_end_ms = 0.0
        self._grants = GrantQueue(pool)

    def acquire(
        self,
        service: Service,
        kind: Kind,
        times: RequestTimes,
        *,
        exclude: frozenset[str],
        should_stop_waiting: Callable[[], bool],
        organisation: Organisation | None = None,
    ) -> Claim:
        """Return an upstream for one attempt of a caller of ``organisation``.

        Raises ``NotRunError`` if none becomes available in time.
        """
        demand = AttemptDemand(
            service,
            kind,
            times,
            exclude=exclude,
            should_stop_waiting=should_stop_waiting,
            organisation=organisation,
        )
        claim = self._acquire_remotely(demand)
        if claim is not None:
            return claim
        woken = threading.Event()
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            attempt = self._make_attempt(demand, now_ms, on_settled=lambda _: woken.set())
            self._grants.admit(attempt, now_ms)
            if attempt.is_settled:
                return self._get_claim(attempt)
        return self._wait(service, attempt, woken, should_stop_waiting)

    def _acquire_remotely(self, demand: AttemptDemand) -> Claim | None:
        """Acquire an upstream from the dispatcher; raise ``NotRunError`` if it refuses.

        Returns ``None`` if this instance must choose the upstream itself: there is no dispatcher,
        or none has better information.
        """
        if self._remote_acquirer is None:
            return None
        with self._lock:
            self._update_pool(demand.service, self._clock.now_ms())
            if self._pool.is_evacuated:
                raise self._make_refusal(demand.kind, "zone-evacuated")
        result = self._remote_acquirer.acquire(demand)
        if isinstance(result, Denied):
            with self._lock:
                raise self._make_refusal(demand.kind, result.reason)
        return result

    def admit_remote(
        self,
        demand: AttemptDemand,
        *,
        origin: Origin,
        typical_ms: float,
        on_settled: Callable[[PendingAttempt], None],
    ) -> PendingAttempt:
        """Choose an upstream, at once or after a wait, for an attempt by another instance.

        ``typical_ms`` is the typical latency of the kind as measured by that instance.
        """
        kind = demand.kind
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(demand.service, now_ms)
            self._pool.get_latency(kind.id).seed(typical_ms)
            attempt = self._make_attempt(demand, now_ms, on_settled=on_settled, origin=origin)
            if demand.second_within_ms is None:
                self._grants.admit(attempt, now_ms)
            else:
                self._grants.admit_second(attempt, demand.second_within_ms, now_ms)
            return attempt

    def _make_attempt(
        self,
        demand: AttemptDemand,
        now_ms: float,
        *,
        on_settled: Callable[[PendingAttempt], None],
        origin: Origin | None = None,
    ) -> PendingAttempt:
        organisation = demand.organisation
        return PendingAttempt(
            self._grants.make_waiter(demand.kind, demand.times, organisation, now_ms),
            demand.kind,
            exclude=demand.exclude,
            on_settled=on_settled,
            origin=origin,
            organisation="" if organisation is None else organisation.name,
        )

    def end_remote(
        self, attempt: PendingAttempt, result: Result, report: LoadReport | None
    ) -> None:
        """Record that an attempt of another instance has ended or no longer waits."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if attempt.claim is None:
                self._grants.pending.remove(attempt)
                return
            self._pool.end(attempt.claim, result, report, now_ms)
            self._grants.grant_waiting(now_ms)

    def get_age_ms(self, kind: Kind, stated_ms: float) -> float:
        """Return how long a caller has already waited, estimated from the timeout it states."""
        with self._lock:
            return self._pool.get_latency(kind.id).stated.get_age_ms(stated_ms)

    def try_acquire(
        self,
        service: Service,
        kind: Kind,
        *,
        exclude: frozenset[str],
        within_ms: float = math.inf,
    ) -> Claim | None:
        """Return an upstream outside ``exclude`` without waiting, ``None`` if there is none.

        The policy expects it to answer within ``within_ms``, as far as it can estimate latencies.
        """
        now_ms = self._clock.now_ms()
        times = RequestTimes(arrived_ms=now_ms, deadline_ms=now_ms + SECOND_ATTEMPT_TIMEOUT_MS)
        demand = AttemptDemand(service, kind, times, exclude=exclude, second_within_ms=within_ms)
        try:
            claim = self._acquire_remotely(demand)
        except NotRunError:
            return None
        if claim is not None:
            return claim
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            return self._grants.acquire_second(kind, exclude, within_ms, now_ms)

    def earn_retry_budget(self) -> None:
        """Credit the retry budget for a first attempt."""
        with self._lock:
            self._pool.retry_budget.earn(self._clock.now_ms())

    def may_retry(self, history: AttemptHistory, failure: FailureKind, kind: Kind) -> bool:
        """Return whether another attempt may follow ``failure``."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return may_retry(
                history, failure, kind=kind, budget=self._event_log.budget, now_ms=now_ms
            )

    def may_hedge(self, history: AttemptHistory, kind: Kind) -> bool:
        """Return whether a hedged request may be sent while the first attempt is in progress."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return may_hedge(history, kind=kind, budget=self._event_log.budget, now_ms=now_ms)

    def get_quantile_ms(self, kind: Kind, quantile: float) -> float | None:
        """Return a quantile of the kind's recent latencies."""
        with self._lock:
            return self._pool.get_latency(kind.id).get_quantile_ms(quantile)

    def get_retry_after_s(self) -> float:
        """Return after how many seconds a caller that is refused now may find a free slot."""
        with self._lock:
            if not self._grants.pending and self._pool.has_free_slot(self._clock.now_ms()):
                return RETRY_AFTER_FREE_SLOT_S
            return self._spread_retry_after_s()

    def get_typical_ms(self, kind: Kind) -> float:
        """Return the smoothed latency of a kind at the typical pace of upstreams."""
        with self._lock:
            return self._pool.get_latency(kind.id).typical_ms

    def apply_reports(self, reports: Sequence[ReportEntry], now_ms: float) -> None:
        """Apply load reports received from other instances or probes."""
        with self._lock:
            for entry in reports:
                stated_ms = now_ms - entry.age_ms
                if entry.report is not None:
                    self._pool.apply_report(entry.upstream_id, entry.report, stated_ms)
                if entry.per_s is not None:
                    self._pool.apply_shared_rate(entry.upstream_id, entry.per_s, stated_ms)
                if entry.cold_ms is not None:
                    self._pool.apply_cold(
                        entry.upstream_id, entry.cold_ms, stated_ms=stated_ms, now_ms=now_ms
                    )
            self._grants.grant_waiting_throttled(now_ms)

    def end_answered(self, claim: Claim, report: LoadReport | None, ended_ms: float) -> None:
        """Record an answer that was complete at ``ended_ms`` and admit waiting attempts."""
        self._share_result(claim, "answered", report)
        with self._lock:
            self._pool.end_answered(claim, report, ended_ms)
            should_confirm = ended_ms - claim.load.confirmed_at_ms > CONFIRM_INTERVAL_MS
            if should_confirm:
                claim.load.confirmed_at_ms = ended_ms
            self._grants.grant_waiting(ended_ms)
        if should_confirm and report is not None and report.state == "serving":
            self._fleet.confirm(claim.load.id, claim.load.incarnation, claim.started_ms)

    def end(self, claim: Claim, result: Result, report: LoadReport | None = None) -> None:
        """Record an attempt that ended without a valid answer and admit waiting attempts."""
        self._share_result(claim, result, report)
        with self._lock:
            now_ms = self._clock.now_ms()
            self._pool.end(claim, result, report, now_ms)
            self._grants.grant_waiting(now_ms)

    def _share_result(self, claim: Claim, result: Result, report: LoadReport | None) -> None:
        """Pass on what the upstream stated, and the result to the instance that chose it."""
        leaving_incarnation: int | None = None
        if claim.states_leaving:
            leaving_incarnation = claim.load.incarnation
            self._fleet.record_leaving(claim.load.id, leaving_incarnation)
        if report is not None or claim.stated_per_s is not None or claim.states_leaving:
            self._on_report(claim.load.id, report, claim.stated_per_s, leaving_incarnation)
        if self._remote_acquirer is not None:
            self._remote_acquirer.release(claim, result, report)

    def is_evacuated(self, claim: Claim) -> bool:
        """Return whether nothing may be sent any more to the upstream of a claim."""
        return self._pool.zones.is_evacuated(claim.load.zone)

    def read_pool(self, read: Callable[[ServicePool, float], None]) -> None:
        """Call ``read`` with the pool and the time, under the lock."""
        with self._lock:
            read(self._pool, self._clock.now_ms())

    def refresh(self, service: Service) -> bool:
        """Apply time-based changes: expired leases, outlier ejection and expired waits.

        Called periodically, outside the request path. Return whether there are or recently were
        requests, so that the next call should follow soon.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            self._pool.set_rate_shares(self._get_rate_shares(service), now_ms)
            has_requests = self._pool.has_recent_requests or bool(self._grants.pending)
            ejected = self._pool.eject_outliers(now_ms) if self._pool.has_recent_requests else []
            self._event_log.record_ejections(ejected, now_ms)
            self._event_log.record_rate_limits()
            self._event_log.record_warm_ups(now_ms)
            self._grants.pending.refuse_expired_remote(now_ms)
            self._grants.grant_waiting_throttled(now_ms)
            return has_requests

    def _update_pool(self, service: Service, now_ms: float) -> None:
        """Update the pool if upstreams, leases or the service have changed."""
        generation = self._fleet.generation
        order_number = self._pool.zones.orders.number
        has_same_orders = order_number == self._order_number
        is_known = generation == self._generation and service is self._service and has_same_orders
        if is_known and now_ms < self._next_lease_end_ms:
            return
        self._order_number = order_number
        self._generation = generation
        self._service = service
        usable = self._fleet.list_usable()
        # With the first upstreams come the other instances, before the first request.
        self._pool.set_rate_shares(self._get_rate_shares(service), now_ms)
        self._pool.update(service, usable, now_ms)
        self._next_lease_end_ms = self._fleet.get_lease_end_ms(usable)
        if not has_same_orders:
            self._grants.refuse_unserved(now_ms)

    def _get_rate_shares(self, service: Service) -> RateShares:
        if self._dispatch is None:
            return RateShares()
        return self._dispatch.get_rate_shares(service.id)

    def _get_claim(self, attempt: PendingAttempt) -> Claim:
        """Return the claim of a settled attempt; raise ``NotRunError`` if it was refused."""
        if attempt.claim is None:
            raise self._make_refusal(attempt.kind, attempt.refusal)
        return attempt.claim

    def _wait(
        self,
        service: Service,
        attempt: PendingAttempt,
        woken: threading.Event,
        should_stop_waiting: Callable[[], bool],
    ) -> Claim:
        waiter = attempt.waiter
        while True:
            left_ms = waiter.deadline_ms - self._clock.now_ms()
            woken.wait(max(0.0, min(left_ms, WAIT_POLL_INTERVAL_MS)) / 1000)
            with self._lock:
                now_ms = self._clock.now_ms()
                if not attempt.is_settled:
                    # Pauses and ejections end with time, and no other thread wakes this one then.
                    self._update_pool(service, now_ms)
                    self._grants.grant_waiting_throttled(now_ms)
                if attempt.is_settled:
                    return self._get_claim(attempt)
                if waiter.should_give_up(now_ms) or should_stop_waiting():
                    self._grants.pending.remove(attempt)
                    raise self._make_refusal(attempt.kind, "deadline")

    def _make_refusal(self, kind: Kind, reason: str) -> NotRunError:
        """Return the error for a request that has no upstream. Called with the lock held."""
        now_ms = self._clock.now_ms()
        declined_ms = max(0.0, self._pool.get_declined_until_ms() - now_ms)
        return NotRunError(
            "503 Service Unavailable",
            reason,
            _MESSAGE_BY_REFUSAL[reason],
            retry_after_s=declined_ms / MS_PER_SECOND + self._spread_retry_after_s(),
            admission=describe_admission(self._pool, kind.id, now_ms),
        )

    def _spread_retry_after_s(self) -> float:
        """Return a retry delay with jitter, so that callers refused together retry separately."""
        return RETRY_AFTER_S * (0.5 + self._pool.random.random())
