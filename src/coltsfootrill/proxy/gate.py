"""Admission to one service: takes an upstream at once, or waits for one in order of urgency."""

from __future__ import annotations

import itertools
import math
import threading
from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.pool import ANY_ROOM
from coltsfootrill.balancer.pool import Claim
from coltsfootrill.balancer.pool import Room
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.report_book import ReportEntry
from coltsfootrill.balancer.retry import AttemptHistory
from coltsfootrill.balancer.retry import FailureKind
from coltsfootrill.balancer.retry import may_hedge
from coltsfootrill.balancer.retry import may_retry
from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import Event
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.pool_watch import PoolWatch
from coltsfootrill.proxy.pool_watch import describe_admission
from coltsfootrill.registry.source import UpstreamSource

WAIT_SLICE_MS = 20.0
GRANT_PAUSE_MS = 15.0
CONFIRM_EVERY_MS = 300.0
RETRY_AFTER_S = 0.5
RETRY_SOON_S = 0.04
# A request that has missed its target waits for this share of its time, then its caller decides.
LATE_WAIT_SHARE = 0.25
# Expected times are not exact: somewhat more than the time left may still do.
TARGET_SLACK = 1.15

_orders = itertools.count()


class _Ticket:
    """A waiting thread; exactly one of ``claim`` and ``is_evicted`` is set when it is woken."""

    __slots__ = ("exclude", "is_evicted", "kind", "claim", "waiter", "woken")

    def __init__(self, waiter: Waiter, kind: Kind, exclude: frozenset[str]) -> None:
        self.waiter = waiter
        self.kind = kind
        self.exclude = exclude
        self.claim: Claim | None = None
        self.is_evicted = False
        self.woken = threading.Event()


class ServiceGate:
    """Thread-safe owner of the state of one service."""

    def __init__(
        self,
        pool: ServicePool,
        *,
        fleet: UpstreamSource,
        clock: Clock,
        on_report: Callable[[str, LoadReport], None] = lambda upstream_id, report: None,
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self._on_report = on_report
        self._watch = PoolWatch(pool, on_event=on_event)
        self._pool = pool
        self._fleet = fleet
        self._clock = clock
        self._lock = threading.Lock()
        self._generation = -1
        self._service: Service | None = None
        # No lease known at the last update ends before this time.
        self._next_end_ms = 0.0
        self._tickets: dict[int, _Ticket] = {}
        self._granted_ms = float("-inf")

    def acquire(
        self,
        service: Service,
        kind: Kind,
        *,
        arrived_ms: float,
        deadline_ms: float,
        exclude: frozenset[str],
        is_gone: Callable[[], bool],
        age_ms: float = 0.0,
    ) -> Claim:
        """Return an upstream for one attempt; raise ``NotRunError`` when there is none in time.

        ``age_ms`` is how long the caller had been waiting when the request arrived.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            waiter = self._make_waiter(kind, arrived_ms, deadline_ms, age_ms)
            ticket = _Ticket(waiter, kind, exclude)
            if not self._tickets and self._try_grant(ticket, now_ms):
                assert ticket.claim is not None
                return ticket.claim
            self._enqueue(ticket, now_ms)
            self._grant_by_reports(now_ms)
            if ticket.claim is not None:
                return ticket.claim
        return self._wait(service, ticket, is_gone)

    def get_age_ms(self, kind: Kind, stated_ms: float) -> float:
        """Return how long a caller that states the time it has left has been waiting already."""
        with self._lock:
            return self._pool.get_latency(kind.id).stated.get_age_ms(stated_ms)

    def _make_waiter(
        self, kind: Kind, arrived_ms: float, deadline_ms: float, age_ms: float
    ) -> Waiter:
        target_at_ms = math.inf
        give_up_ms = math.inf
        if kind.target_ms is not None:
            target_at_ms = arrived_ms + kind.target_ms - age_ms
            give_up_ms = arrived_ms + LATE_WAIT_SHARE * (deadline_ms - arrived_ms)
        return Waiter(
            priority=kind.priority,
            deadline_ms=deadline_ms,
            urgent_at_ms=arrived_ms + (kind.latest_ms or 0),
            order=next(_orders),
            rank=kind.rank,
            target_at_ms=target_at_ms,
            work_ms=self._pool.get_latency(kind.id).usual_ms,
            give_up_ms=give_up_ms,
        )

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
        room = Room(within_ms=TARGET_SLACK * within_ms, is_spare=True)
        with self._lock:
            now_ms = self._clock.now_ms()
            self._update_pool(service, now_ms)
            if self._tickets:
                # Requests that have no upstream yet come before second attempts.
                return None
            claim = self._pool.acquire(kind, now_ms, exclude=exclude, room=room)
            if claim is not None and claim.load.id in exclude:
                self._pool.end_abandoned(claim, now_ms, is_slow=False)
                return None
            return claim

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
            if not self._tickets and self._pool.has_room(self._clock.now_ms()):
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
            self._grant_by_reports(now_ms)

    def end_answered(self, claim: Claim, report: LoadReport | None, ended_ms: float) -> None:
        """Count an answer that was whole at ``ended_ms`` and let the next waiter in."""
        if report is not None:
            self._on_report(claim.load.id, report)
        with self._lock:
            self._pool.end_answered(claim, report, ended_ms)
            is_due = ended_ms - claim.load.confirmed_at_ms > CONFIRM_EVERY_MS
            if is_due:
                claim.load.confirmed_at_ms = ended_ms
            self._grant_waiting(ended_ms)
        if is_due and report is not None and report.state == "serving":
            self._fleet.confirm(claim.load.id, claim.load.incarnation, claim.started_ms)

    def end_shed(self, claim: Claim, report: LoadReport | None) -> None:
        """Count an explicit refusal by the upstream."""
        if report is not None:
            self._on_report(claim.load.id, report)
        with self._lock:
            self._pool.end_shed(claim, report, self._clock.now_ms())

    def end_failed(self, claim: Claim) -> None:
        """Count a failed attempt."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self._pool.end_failed(claim, now_ms)
            self._grant_waiting(now_ms)

    def end_misdirected(self, claim: Claim) -> None:
        """Count an answer that another upstream has the address."""
        with self._lock:
            self._pool.end_misdirected(claim)

    def end_abandoned(self, claim: Claim, *, is_slow: bool) -> None:
        """Count an attempt that was given up."""
        with self._lock:
            now_ms = self._clock.now_ms()
            self._pool.end_abandoned(claim, now_ms, is_slow=is_slow)
            self._grant_waiting(now_ms)

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
            self._grant_by_reports(now_ms)

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

    def _try_grant(self, ticket: _Ticket, now_ms: float) -> bool:
        waiter = ticket.waiter
        is_patient = waiter.priority == "deferrable" and now_ms < waiter.urgent_at_ms
        ticket.claim = self._pool.acquire(
            ticket.kind,
            now_ms,
            exclude=ticket.exclude,
            is_patient=is_patient,
            room=_find_room(ticket, now_ms),
        )
        return ticket.claim is not None

    def _enqueue(self, ticket: _Ticket, now_ms: float) -> None:
        waiter = ticket.waiter
        if not self._pool.by_id:
            raise self._refuse(ticket.kind, "no-upstream", "no upstream of this service is serving")
        if not self._pool.can_still_answer(ticket.kind, waiter, now_ms):
            raise self._refuse(
                ticket.kind,
                "overloaded",
                "the queue is too long for the deadline of this request",
            )
        evicted = self._pool.queue.add(waiter, now_ms=now_ms)
        if evicted is waiter:
            raise self._refuse(ticket.kind, "queue-full", "the queue of this service is full")
        self._tickets[waiter.order] = ticket
        if evicted is not None:
            loser = self._tickets.pop(evicted.order)
            loser.is_evicted = True
            loser.woken.set()

    def _wait(self, service: Service, ticket: _Ticket, is_gone: Callable[[], bool]) -> Claim:
        waiter = ticket.waiter
        while True:
            left_ms = waiter.deadline_ms - self._clock.now_ms()
            ticket.woken.wait(max(0.0, min(left_ms, WAIT_SLICE_MS)) / 1000)
            with self._lock:
                now_ms = self._clock.now_ms()
                if ticket.claim is None and not ticket.is_evicted:
                    # Pauses and ejections end by time alone, with no other thread to notice.
                    self._update_pool(service, now_ms)
                    self._grant_by_reports(now_ms)
                if ticket.claim is not None:
                    return ticket.claim
                if ticket.is_evicted:
                    raise self._refuse(
                        ticket.kind,
                        "queue-full",
                        "more urgent requests took the place of this one",
                    )
                if now_ms >= waiter.deadline_ms or waiter.is_hopeless(now_ms) or is_gone():
                    self._pool.queue.remove(waiter)
                    self._tickets.pop(waiter.order, None)
                    raise self._refuse(ticket.kind, "deadline", "no upstream was free in time")

    def _refuse(self, kind: Kind, reason: str, message: str) -> NotRunError:
        """Return the refusal of a request that has no upstream. Called with the lock held."""
        return NotRunError(
            "503 Service Unavailable",
            reason,
            message,
            retry_after_s=self._spread_retry_after_s(),
            admission=describe_admission(self._pool, kind.id, self._clock.now_ms()),
        )

    def _spread_retry_after_s(self) -> float:
        """Return a time to come back, spread so that those refused together do not do so."""
        return RETRY_AFTER_S * (0.5 + self._pool.random.random())

    def _grant_waiting(self, now_ms: float) -> None:
        """Let waiters in, the most urgent first, while there are upstreams for them."""
        # A slow upstream is no use to a request that can meet its target, but to a late one.
        for is_late in (False, True):
            while self._grant_next(now_ms, is_late=is_late):
                pass

    def _grant_by_reports(self, now_ms: float) -> None:
        """Let waiters in where reports, which all instances have, show room."""
        if self._tickets and now_ms - self._granted_ms >= GRANT_PAUSE_MS:
            self._granted_ms = now_ms
            self._grant_waiting(now_ms)

    def _grant_next(self, now_ms: float, *, is_late: bool) -> bool:
        waiter = self._pool.queue.get_next(now_ms, is_late=is_late)
        if waiter is None:
            return False
        ticket = self._tickets[waiter.order]
        if not self._try_grant(ticket, now_ms):
            return False
        self._pool.queue.remove(waiter)
        del self._tickets[waiter.order]
        ticket.woken.set()
        return True


def _find_room(ticket: _Ticket, now_ms: float) -> Room:
    """Return where a waiting request may go."""
    waiter = ticket.waiter
    if ticket.kind.target_ms is None:
        return ANY_ROOM
    if waiter.is_late(now_ms):
        return Room(is_spare=True)
    return Room(within_ms=TARGET_SLACK * (waiter.target_at_ms - now_ms))
