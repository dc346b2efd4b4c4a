"""Admission to one service: takes an upstream at once, or waits for one in order of urgency."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import Result
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.report_book import ReportEntry
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
from coltsfootrill.manifest.model import Service
from coltsfootrill.proxy.granting import Granting
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.pool_watch import PoolWatch
from coltsfootrill.proxy.pool_watch import describe_admission
from coltsfootrill.proxy.request import AttemptDemand
from coltsfootrill.proxy.request import RequestTimes
from coltsfootrill.proxy.tickets import Ticket
from coltsfootrill.registry.source import UpstreamSource

WAIT_SLICE_MS = 20.0
# A second attempt is granted or refused at once; its end is told within this time at the latest.
EXTRA_LEFT_MS = 10_000.0
CONFIRM_EVERY_MS = 300.0
RETRY_AFTER_S = 0.5
RETRY_SOON_S = 0.04
_MESSAGE_BY_REFUSAL = {
    "no-upstream": "no upstream of this service is serving",
    "overloaded": "the queue is too long for the deadline of this request",
    "queue-full": "the queue of this service is full of more urgent requests",
    "deadline": "no upstream was free in time",
    "no-room": "no upstream has room for a second attempt",
}


class ServiceGate:
    """Thread-safe owner of the state of one service."""

    def __init__(
        self,
        pool: ServicePool,
        *,
        fleet: UpstreamSource,
        clock: Clock,
        dispatch: DispatchClient | None = None,
        on_report: Callable[[str, LoadReport], None] = lambda upstream_id, report: None,
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self._on_report = on_report
        self._watch = PoolWatch(pool, on_event=on_event)
        self._pool = pool
        self._fleet = fleet
        self._clock = clock
        self._lock = threading.Lock()
        self._asker = (
            None
            if dispatch is None
            else RemoteAcquirer(dispatch, pool, lock=self._lock, clock=clock)
        )
        self._generation = -1
        self._service: Service | None = None
        # No lease known at the last update ends before this time.
        self._next_end_ms = 0.0
        self._granting = Granting(pool)

    def acquire(
        self,
        service: Service,
        kind: Kind,
        times: RequestTimes,
        *,
        exclude: frozenset[str],
        is_gone: Callable[[], bool],
    ) -> Claim:
        """Return an upstream for one attempt; raise ``NotRunError`` when there is none in time."""
        demand = AttemptDemand(service, kind, times, exclude=exclude, is_gone=is_gone)
        claim = self._acquire_elsewhere(demand)
        if claim is not None:
            return claim
        woken = threading.Event()
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            waiter = self._granting.make_waiter(kind, times)
            ticket = Ticket(waiter, kind, exclude=exclude, on_settled=lambda _: woken.set())
            self._granting.admit(ticket, now_ms)
            if ticket.is_settled:
                return self._redeem(ticket)
        return self._wait(service, ticket, woken, is_gone)

    def _acquire_elsewhere(self, demand: AttemptDemand) -> Claim | None:
        """Ask the dispatcher; raise ``NotRunError`` if it refuses.

        Returns ``None`` if there is no dispatcher, or none that knows better than this instance.
        """
        if self._asker is None:
            return None
        with self._lock:
            self._update_pool(demand.service, self._clock.now_ms())
        found = self._asker.acquire(demand)
        if isinstance(found, Denied):
            with self._lock:
                raise self._refuse(demand.kind, found.reason)
        return found

    def admit_remote(
        self,
        demand: AttemptDemand,
        *,
        origin: Origin,
        usual_ms: float,
        on_settled: Callable[[Ticket], None],
    ) -> Ticket:
        """Choose an upstream for an attempt that another instance makes, now or later.

        ``usual_ms`` is what that instance knows of the latency of the kind.
        """
        kind = demand.kind
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(demand.service, now_ms)
            self._pool.get_latency(kind.id).seed(usual_ms)
            ticket = Ticket(
                self._granting.make_waiter(kind, demand.times),
                kind,
                exclude=demand.exclude,
                on_settled=on_settled,
                origin=origin,
            )
            if demand.extra_within_ms is None:
                self._granting.admit(ticket, now_ms)
            else:
                self._granting.admit_extra(ticket, demand.extra_within_ms, now_ms)
            return ticket

    def end_remote(self, ticket: Ticket, result: Result, report: LoadReport | None) -> None:
        """Note the end of an attempt, or of the waiting, of another instance."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if ticket.claim is None:
                self._granting.tickets.remove(ticket)
                return
            self._pool.end(ticket.claim, result, report, now_ms)
            self._granting.grant_waiting(now_ms)

    def get_age_ms(self, kind: Kind, stated_ms: float) -> float:
        """Return how long a caller that states the time it has left has been waiting already."""
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
        """Return an upstream outside ``exclude`` without waiting, ``None`` when there is none.

        It is expected to answer within ``within_ms``, as far as the policy can tell.
        """
        now_ms = self._clock.now_ms()
        times = RequestTimes(arrived_ms=now_ms, deadline_ms=now_ms + EXTRA_LEFT_MS)
        demand = AttemptDemand(service, kind, times, exclude=exclude, extra_within_ms=within_ms)
        try:
            claim = self._acquire_elsewhere(demand)
        except NotRunError:
            return None
        if claim is not None:
            return claim
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            return self._granting.find_extra(kind, exclude, within_ms, now_ms)

    def earn_retries(self) -> None:
        """Count a first attempt towards the retry budget."""
        with self._lock:
            self._pool.retry_budget.earn(self._clock.now_ms())

    def may_retry(self, history: AttemptHistory, failure: FailureKind, kind: Kind) -> bool:
        """Return whether another attempt may follow ``failure``."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return may_retry(history, failure, kind=kind, budget=self._watch.budget, now_ms=now_ms)

    def may_hedge(self, history: AttemptHistory, kind: Kind) -> bool:
        """Return whether a second attempt may run beside the first."""
        with self._lock:
            now_ms = self._clock.now_ms()
            return may_hedge(history, kind=kind, budget=self._watch.budget, now_ms=now_ms)

    def get_quantile_ms(self, kind: Kind, quantile: float) -> float | None:
        """Return a quantile of the kind's recent latencies."""
        with self._lock:
            return self._pool.get_latency(kind.id).get_quantile_ms(quantile)

    def get_retry_after_s(self) -> float:
        """Return when a caller that is refused now may find room."""
        with self._lock:
            if not self._granting.tickets and self._pool.has_room(self._clock.now_ms()):
                return RETRY_SOON_S
            return self._spread_retry_after_s()

    def get_usual_ms(self, kind: Kind) -> float:
        """Return the smoothed latency of a kind at the usual pace of upstreams."""
        with self._lock:
            return self._pool.get_latency(kind.id).usual_ms

    def take_reports(self, reports: Sequence[ReportEntry], now_ms: float) -> None:
        """Take in loads that other instances or probes have learnt."""
        with self._lock:
            for entry in reports:
                self._pool.take_report(entry.upstream_id, entry.report, now_ms - entry.age_ms)
            self._granting.grant_by_reports(now_ms)

    def end_answered(self, claim: Claim, report: LoadReport | None, ended_ms: float) -> None:
        """Count an answer that was whole at ``ended_ms`` and let the next waiter in."""
        if report is not None:
            self._on_report(claim.load.id, report)
        self._release(claim, "answered", report)
        with self._lock:
            self._pool.end_answered(claim, report, ended_ms)
            is_due = ended_ms - claim.load.confirmed_at_ms > CONFIRM_EVERY_MS
            if is_due:
                claim.load.confirmed_at_ms = ended_ms
            self._granting.grant_waiting(ended_ms)
        if is_due and report is not None and report.state == "serving":
            self._fleet.confirm(claim.load.id, claim.load.incarnation, claim.started_ms)

    def end(self, claim: Claim, result: Result, report: LoadReport | None = None) -> None:
        """Count an attempt that ended without an answer that is good."""
        if report is not None:
            self._on_report(claim.load.id, report)
        self._release(claim, result, report)
        with self._lock:
            now_ms = self._clock.now_ms()
            self._pool.end(claim, result, report, now_ms)
            self._granting.grant_waiting(now_ms)

    def _release(self, claim: Claim, result: Result, report: LoadReport | None) -> None:
        """Tell the instance that chose the upstream how the attempt ended."""
        if self._asker is not None and claim.grant is not None:
            self._asker.release(claim.grant, result, report)

    def read_pool(self, read: Callable[[ServicePool, float], None]) -> None:
        """Call ``read`` with the pool and the time, under the lock."""
        with self._lock:
            read(self._pool, self._clock.now_ms())

    def refresh(self, service: Service) -> None:
        """Take in what changes by time alone: ends of leases, and judgement of upstreams.

        Called every few milliseconds, off the path of requests.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            ejected = self._pool.eject_outliers(now_ms) if self._pool.has_worked else []
            self._watch.note_ejected(ejected, now_ms)
            self._granting.tickets.refuse_hopeless(now_ms)
            self._granting.grant_by_reports(now_ms)

    def _update_pool(self, service: Service, now_ms: float) -> None:
        """Take in upstreams and leases that have changed."""
        generation = self._fleet.generation
        is_known = generation == self._generation and service is self._service
        if is_known and now_ms < self._next_end_ms:
            return
        self._generation = generation
        self._service = service
        usable = self._fleet.list_usable()
        self._pool.update(service, usable, now_ms)
        self._next_end_ms = self._fleet.get_lease_end_ms(usable)

    def _redeem(self, ticket: Ticket) -> Claim:
        """Return the claim of a settled request; raise ``NotRunError`` if it was refused."""
        if ticket.claim is None:
            raise self._refuse(ticket.kind, ticket.refusal)
        return ticket.claim

    def _wait(
        self,
        service: Service,
        ticket: Ticket,
        woken: threading.Event,
        is_gone: Callable[[], bool],
    ) -> Claim:
        waiter = ticket.waiter
        while True:
            left_ms = waiter.deadline_ms - self._clock.now_ms()
            woken.wait(max(0.0, min(left_ms, WAIT_SLICE_MS)) / 1000)
            with self._lock:
                now_ms = self._clock.now_ms()
                if not ticket.is_settled:
                    # Pauses and ejections end by time alone, with no other thread to notice.
                    self._update_pool(service, now_ms)
                    self._granting.grant_by_reports(now_ms)
                if ticket.is_settled:
                    return self._redeem(ticket)
                if waiter.is_hopeless(now_ms) or is_gone():
                    self._granting.tickets.remove(ticket)
                    raise self._refuse(ticket.kind, "deadline")

    def _refuse(self, kind: Kind, reason: str) -> NotRunError:
        """Return the refusal of a request that has no upstream. Called with the lock held."""
        return NotRunError(
            "503 Service Unavailable",
            reason,
            _MESSAGE_BY_REFUSAL[reason],
            retry_after_s=self._spread_retry_after_s(),
            admission=describe_admission(self._pool, kind.id, self._clock.now_ms()),
        )

    def _spread_retry_after_s(self) -> float:
        """Return a time to come back, spread so that those refused together do not do so."""
        return RETRY_AFTER_S * (0.5 + self._pool.random.random())
