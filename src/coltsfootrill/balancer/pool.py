"""The state of one service's upstreams and the decisions on it: choice, limits, queue, retries.

Nothing here blocks or reads a clock. The owner holds a lock around each call and passes the time.
"""

from __future__ import annotations

from random import Random

from coltsfootrill.balancer.admission import AdmissionQueue
from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.admission import can_meet_deadline
from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import ANY_SLOT
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import Result
from coltsfootrill.balancer.claim import SlotRequirement
from coltsfootrill.balancer.claim import record_stated_rate
from coltsfootrill.balancer.declines import DeclineTimes
from coltsfootrill.balancer.ejection import eject_outliers
from coltsfootrill.balancer.evacuated_loads import EvacuatedLoads
from coltsfootrill.balancer.latency import KindLatency
from coltsfootrill.balancer.load import PACE_HALF_LIFE_MS
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_in_flight
from coltsfootrill.balancer.load import get_parallel
from coltsfootrill.balancer.load import is_available
from coltsfootrill.balancer.load import is_blocked
from coltsfootrill.balancer.load import record_end
from coltsfootrill.balancer.load import record_error
from coltsfootrill.balancer.load import record_report
from coltsfootrill.balancer.load import record_shed
from coltsfootrill.balancer.load import record_start
from coltsfootrill.balancer.load import record_straggle
from coltsfootrill.balancer.load import record_success
from coltsfootrill.balancer.occupancy import SaturationEstimate
from coltsfootrill.balancer.occupancy import count_known
from coltsfootrill.balancer.rate_limit import RateLimit
from coltsfootrill.balancer.rate_limit import RateShares
from coltsfootrill.balancer.retry import AttemptBudget
from coltsfootrill.balancer.retry import RetryBudget
from coltsfootrill.balancer.slot_choice import REPORT_HALF_LIFE_MS
from coltsfootrill.balancer.slot_choice import SlotChoice
from coltsfootrill.balancer.slot_margin import SlotMargin
from coltsfootrill.balancer.upstream_record import is_same_upstream
from coltsfootrill.balancer.upstream_record import make_load
from coltsfootrill.balancer.upstream_record import select_records
from coltsfootrill.balancer.warm_up import WarmUpBound
from coltsfootrill.balancer.warm_up import are_many_cold
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.registry.directory import UpstreamRecord
from coltsfootrill.zones.evacuation import EvacuatedZones

# Targets leave room for a slow attempt, so most answers take less than half of the target. Without
# an expected latency, the first requests after a restart would all appear to be slow.
EXPECTED_SHARE_OF_TARGET = 0.4


class ServicePool:
    """State of one service on this instance. ``by_id`` holds the usable upstreams."""

    __slots__ = (
        "_evacuated",
        "_rate_shares",
        "_retiring",
        "_slot_choice",
        "_turn",
        "_warm_up_bound",
        "_warm_up_per_s",
        "by_id",
        "declines",
        "has_recent_requests",
        "latency_by_kind",
        "margin",
        "origin",
        "queue",
        "random",
        "retry_budget",
        "saturation",
        "service_id",
        "zones",
    )

    def __init__(
        self,
        service: Service,
        *,
        policy: ChoicePolicy,
        random: Random,
        zone: str,
        queue_limit: int,
        budget: AttemptBudget | None = None,
        declines: DeclineTimes | None = None,
        warm_up_bound: WarmUpBound | None = None,
        zones: EvacuatedZones | None = None,
    ) -> None:
        self._warm_up_bound = warm_up_bound or WarmUpBound()
        self._warm_up_per_s = self._warm_up_bound.choose_rate(service.warm_up)
        self.zones = zones or EvacuatedZones()
        self.declines = declines or DeclineTimes()
        self.service_id = service.id
        self.by_id: dict[str, UpstreamLoad] = {}
        self.latency_by_kind: dict[str, KindLatency] = {}
        self.queue = AdmissionQueue(queue_limit)
        self.retry_budget: AttemptBudget = budget or RetryBudget(service.retry_share)
        self.saturation = SaturationEstimate()
        self.margin = SlotMargin()
        self._slot_choice = SlotChoice(policy, saturation=self.saturation, margin=self.margin)
        self.random = random
        self.origin = Origin(zone)
        self._turn = 0
        self._rate_shares = RateShares()
        self._retiring: list[UpstreamLoad] = []
        self._evacuated = EvacuatedLoads(self.zones)
        # Whether a request started or was in flight since the last check for outliers.
        self.has_recent_requests = False

    def update(self, service: Service, records: list[UpstreamRecord], now_ms: float) -> None:
        """Replace the upstreams by those usable now under the manifest in force."""
        if isinstance(self.retry_budget, RetryBudget):
            self.retry_budget.share = service.retry_share
        for kind in service.kinds:
            if kind.target_ms is not None:
                self.get_latency(kind.id).seed(EXPECTED_SHARE_OF_TARGET * kind.target_ms)
        self._warm_up_per_s = self._warm_up_bound.choose_rate(service.warm_up)
        serving = select_records(service, records)
        wanted = self._evacuated.list_open(serving)
        for upstream_id, record in wanted.items():
            load = self.by_id.get(upstream_id)
            if load is None or not is_same_upstream(load, record):
                self._retire(load)
                limit = self._evacuated.find_rate_limit(record) or self._make_rate_limit(now_ms)
                load = self.by_id[upstream_id] = make_load(record, limit, now_ms)
            load.zone = record.announcement.zone
            load.rate_limit.set_warm_up(self._warm_up_per_s, now_ms)
            load.rate_limit.record_announced_cold(record.cold_until_ms, now_ms)
            if service.warm_up is not None and self._evacuated.holds(upstream_id):
                # It may have become cold while nobody asked it.
                cold_until_ms = now_ms + service.warm_up.duration_ms
                load.rate_limit.record_announced_cold(cold_until_ms, now_ms)
        gone = {known: self.by_id.pop(known) for known in list(self.by_id) if known not in wanted}
        for load in gone.values():
            self._retire(load)
        self._evacuated.replace(serving.keys() - wanted.keys(), gone)
        self._retiring = [load for load in self._retiring if load.in_flight]

    def _make_rate_limit(self, now_ms: float) -> RateLimit:
        return RateLimit(shares=self._rate_shares, random=self.random, started_ms=now_ms)

    def set_rate_shares(self, shares: RateShares, now_ms: float) -> None:
        """Set the parts of the rates of upstreams that this instance has."""
        if shares == self._rate_shares:
            return
        self._rate_shares = shares
        self._evacuated.set_rate_shares(shares, now_ms)
        for load in self.by_id.values():
            load.rate_limit.set_shares(shares, now_ms)

    def has_rate_limits(self, now_ms: float) -> bool:
        """Return whether an upstream states a rate of requests, or many of them are cold."""
        if any(load.rate_limit.per_s is not None for load in self.by_id.values()):
            return True
        return self._warm_up_per_s is not None and are_many_cold(self.by_id.values(), now_ms)

    def eject_outliers(self, now_ms: float) -> list[UpstreamLoad]:
        """Eject slow or failing upstreams, and return them."""
        self.has_recent_requests = any(load.in_flight for load in self.by_id.values())
        return eject_outliers(list(self.by_id.values()), now_ms=now_ms)

    def count_in_flight(self) -> dict[str, int]:
        """Return own requests in flight by upstream, including upstreams that have left."""
        by_id = {load.id: 0 for load in self._retiring}
        for load in [*self.by_id.values(), *self._retiring]:
            by_id[load.id] = by_id.get(load.id, 0) + load.in_flight
        return by_id

    def count_evacuated_in_flight(self) -> int:
        """Return own requests in flight at upstreams of evacuated zones."""
        loads = [*self.by_id.values(), *self._retiring]
        return sum(load.in_flight for load in loads if self.zones.is_evacuated(load.zone))

    @property
    def is_evacuated(self) -> bool:
        """Return whether the only upstreams are in evacuated zones."""
        return not self.by_id and bool(self._evacuated)

    def get_latency(self, kind_id: str) -> KindLatency:
        """Return the latency state of a kind."""
        latency = self.latency_by_kind.get(kind_id)
        if latency is None:
            latency = self.latency_by_kind[kind_id] = KindLatency()
        return latency

    def acquire(
        self,
        kind: Kind,
        now_ms: float,
        *,
        exclude: frozenset[str],
        needs_free_slot: bool = False,
        requirement: SlotRequirement = ANY_SLOT,
        origin: Origin | None = None,
    ) -> Claim | None:
        """Choose an upstream and count the request as in flight there.

        Return ``None`` when none is available. Upstreams in ``exclude`` are used only if there is
        no other. With ``needs_free_slot`` only upstreams that are expected to have a free slot are
        used. ``requirement`` restricts the upstreams for a request with a target, if the policy can
        estimate latencies. ``origin`` is the instance that will send the request, by default this
        one. An upstream that declines requests of this instance may be chosen for another one.
        """
        available = self._list_available(now_ms, is_own=origin is None)
        typical_ms = self.get_latency(kind.id).typical_ms
        if needs_free_slot:
            available = [
                load
                for load in available
                if estimate_in_flight(load, now_ms, typical_ms=typical_ms) < load.slots
            ]
        preferred = [load for load in available if load.id not in exclude] or available
        self._turn += 1
        context = ChoiceContext(
            now_ms=now_ms,
            random=self.random,
            origin=origin or self.origin,
            typical_ms=typical_ms,
            turn=self._turn,
        )
        wanted = requirement if kind.target_ms is not None else None
        load = self._slot_choice.choose(preferred, context, wanted)
        if load is None:
            return None
        load.rate_limit.record_request(now_ms)
        return self._start(load, kind, now_ms)

    def start_at(self, upstream_id: str, kind: Kind, now_ms: float) -> Claim | None:
        """Count a request as in flight where another instance has sent it.

        Return ``None`` if this instance may not send it there.
        """
        load = self.by_id.get(upstream_id)
        if load is None or load.is_replaced or self.is_declining(load, now_ms):
            return None
        if self.zones.is_evacuated(load.zone):
            # The instance that chose it has not heard of the order yet.
            return None
        self._turn += 1
        return self._start(load, kind, now_ms)

    def _start(self, load: UpstreamLoad, kind: Kind, now_ms: float) -> Claim:
        typical_ms = self.get_latency(kind.id).typical_ms
        occupancy = 1 + count_known(load, now_ms, half_life_ms=REPORT_HALF_LIFE_MS)
        self.has_recent_requests = True
        pace = load.pace if now_ms - load.pace_at_ms < PACE_HALF_LIFE_MS else 1.0
        record_start(load, token=self._turn, now_ms=now_ms, typical_ms=typical_ms * pace)
        return Claim(
            load=load,
            token=self._turn,
            kind_id=kind.id,
            started_ms=now_ms,
            typical_ms=typical_ms,
            pace=pace,
            occupancy=occupancy,
            report_age_ms=now_ms - load.reported_at_ms,
        )

    def list_blocked(self, now_ms: float) -> list[str]:
        """Return the upstreams to which this instance sends no new work."""
        return [
            load.id
            for load in self.by_id.values()
            if is_blocked(load, now_ms) or self.is_declining(load, now_ms)
        ]

    def is_declining(self, load: UpstreamLoad, now_ms: float) -> bool:
        """Return whether an upstream wants no requests of this instance."""
        return self.declines.is_declining(load.id, load.incarnation, now_ms)

    def get_declined_until_ms(self) -> float:
        """Return until when every upstream declines the requests of this instance.

        Minus infinity if any upstream has not declined one.
        """
        ends_ms = [
            self.declines.get_until_ms(load.id, load.incarnation) for load in self.by_id.values()
        ]
        return min(ends_ms, default=float("-inf"))

    def has_free_slot(self, now_ms: float) -> bool:
        """Return whether some upstream is available and known to have a free slot."""
        return self.count_with_free_slot(now_ms) > 0

    def count_with_free_slot(self, now_ms: float) -> int:
        """Return how many upstreams are available and known to have a free slot."""
        return sum(
            self._slot_choice.has_free_slot(load, now_ms, is_spare=False)
            for load in self._list_available(now_ms)
        )

    def _list_available(self, now_ms: float, *, is_own: bool = True) -> list[UpstreamLoad]:
        """Return the upstreams that may get a request now, of this instance or of another one."""
        evacuated = self.zones.orders.evacuated
        return [
            load
            for load in self.by_id.values()
            if is_available(load, now_ms)
            and load.zone not in evacuated
            and not (is_own and self.is_declining(load, now_ms))
        ]

    def apply_report(self, upstream_id: str, report: LoadReport, now_ms: float) -> None:
        """Record a load report that did not come with an own answer, if it is newer."""
        load = self.by_id.get(upstream_id)
        if load is not None and now_ms > load.reported_at_ms:
            record_report(load, report, now_ms=now_ms)
            self.margin.update(report)

    def apply_shared_rate(self, upstream_id: str, per_s: float, stated_ms: float) -> None:
        """Record the rate that an upstream stated to another instance at ``stated_ms``."""
        load = self.by_id.get(upstream_id)
        if load is not None:
            load.rate_limit.record_shared(per_s, stated_ms)

    def apply_cold(
        self, upstream_id: str, remaining_ms: float, *, stated_ms: float, now_ms: float
    ) -> None:
        """Record that an upstream stated at ``stated_ms`` for how much longer it is cold."""
        load = self.by_id.get(upstream_id)
        if load is not None:
            load.rate_limit.record_cold(remaining_ms, stated_ms=stated_ms, now_ms=now_ms)

    def can_still_answer(self, kind: Kind, waiter: Waiter, now_ms: float) -> bool:
        """Return whether a waiter can be expected to meet its deadline."""
        typical_ms = self.get_latency(kind.id).typical_ms
        parallel = sum(
            get_parallel(load, now_ms, typical_ms=typical_ms) for load in self.by_id.values()
        )
        return can_meet_deadline(
            ahead=self.queue.count_ahead(waiter, now_ms),
            parallel=parallel,
            typical_ms=typical_ms,
            remaining_ms=waiter.deadline_ms - now_ms,
        )

    def end(self, claim: Claim, result: Result, report: LoadReport | None, now_ms: float) -> None:
        """Record the end of an attempt by its result."""
        load = claim.load
        self.declines.record(load.id, load.incarnation, for_ms=claim.declined_for_ms, now_ms=now_ms)
        if result == "answered":
            self.end_answered(claim, report, now_ms)
        elif result == "shed":
            self.end_shed(claim, report, now_ms)
        elif result == "failed":
            self.end_failed(claim, now_ms)
        elif result == "misdirected":
            self.end_misdirected(claim)
        else:
            self.end_abandoned(claim, now_ms, is_slow=result == "straggled")

    def end_answered(self, claim: Claim, report: LoadReport | None, now_ms: float) -> None:
        """Record a complete answer without a server error."""
        claim.load.answered_at_ms = now_ms
        record_stated_rate(claim, now_ms, is_success=True)
        if report is not None:
            record_report(claim.load, report, now_ms=now_ms)
            self.margin.update(report)
        if record_end(claim.load, token=claim.token, now_ms=now_ms) is None:
            return
        latency_ms = now_ms - claim.started_ms
        # The pace may have changed since the start; the slower one better explains a long latency.
        pace = claim.pace
        if report is not None and report.pace is not None:
            pace = max(pace, report.pace)
        is_saturated = claim.occupancy > claim.load.slots - 0.5
        self.get_latency(claim.kind_id).add(latency_ms, pace=pace, is_saturated=is_saturated)
        self.saturation.record(
            occupancy=claim.occupancy,
            slots=claim.load.slots,
            ratio=latency_ms / max(claim.typical_ms * pace, 0.1),
        )
        record_success(claim.load, latency_ms=latency_ms, typical_ms=claim.typical_ms * pace)

    def end_shed(self, claim: Claim, report: LoadReport | None, now_ms: float) -> None:
        """Record an explicit refusal: for lack of capacity, unless the report shows free slots.

        Pausing an upstream that refuses with slots free would not help it. If all upstreams of a
        service did so, pauses would leave callers with no upstream at all.
        """
        record_end(claim.load, token=claim.token)
        record_stated_rate(claim, now_ms, is_success=False)
        if report is not None:
            record_report(claim.load, report, now_ms=now_ms)
            self.margin.update(report)
        if report is not None and report.in_flight < report.slots:
            record_error(claim.load, now_ms=now_ms)
        else:
            record_shed(claim.load, now_ms=now_ms)

    def end_failed(self, claim: Claim, now_ms: float) -> None:
        """Record a refused connection, a broken answer or a server error."""
        record_end(claim.load, token=claim.token, now_ms=now_ms)
        record_stated_rate(claim, now_ms, is_success=False)
        record_error(claim.load, now_ms=now_ms)

    def end_misdirected(self, claim: Claim) -> None:
        """Record that another upstream answered at the address; no new work goes there."""
        record_end(claim.load, token=claim.token)
        claim.load.is_replaced = True

    def end_abandoned(self, claim: Claim, now_ms: float, *, is_slow: bool) -> None:
        """Record an abandoned attempt; ``is_slow`` states that a slow upstream was the cause."""
        record_end(claim.load, token=claim.token, now_ms=now_ms)
        if is_slow:
            waited_ms = now_ms - claim.started_ms
            typical_ms = claim.typical_ms * claim.pace
            record_straggle(claim.load, waited_ms=waited_ms, typical_ms=typical_ms)

    def _retire(self, load: UpstreamLoad | None) -> None:
        if load is not None and load.in_flight:
            self._retiring.append(load)
