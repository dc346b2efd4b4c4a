"""Sustained overload: late requests and hedged requests must not prolong it.

A burst fills every upstream with requests that have missed their target. Unless requests that can
still meet theirs go first, every answer is late long after the burst has ended.
"""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from coltsfootrill.balancer.admission import AdmissionQueue
from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.claim import SlotRequirement
from coltsfootrill.balancer.latency import KindLatency
from coltsfootrill.balancer.latency import StatedTimeouts
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.occupancy import SaturationEstimate
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.reported_load import coltsfootrill_choice_policy
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from testing.records import make_usable_record

NOW_MS = 10_000.0
WORK_MS = 100.0


def _waiter(order: int, **changes: Any) -> Waiter:
    fields: dict[str, Any] = {
        "priority": "normal",
        "deadline_ms": 3_000.0,
        "urgent_at_ms": 0.0,
        "order": order,
        "target_at_ms": 400.0,
        "work_ms": WORK_MS,
        "give_up_ms": 750.0,
    }
    return Waiter(**(fields | changes))


class TestOrder:
    def test_a_request_that_can_meet_its_target_is_served_before_a_late_one(self) -> None:
        queue = AdmissionQueue(10)
        late = _waiter(1, target_at_ms=50.0)
        on_time = _waiter(2)
        queue.add(late, now_ms=0)
        queue.add(on_time, now_ms=0)
        assert queue.get_next(0) is on_time
        assert queue.get_next(0, is_late=True) is late

    def test_requests_on_time_are_served_newest_first_and_late_ones_oldest_first(self) -> None:
        queue = AdmissionQueue(10)
        waiters = [_waiter(order) for order in range(3)]
        for waiter in waiters:
            queue.add(waiter, now_ms=0)
        assert queue.get_next(0) is waiters[2]
        assert queue.get_next(350) is waiters[0]

    def test_a_less_urgent_kind_waits_for_a_more_urgent_one(self) -> None:
        queue = AdmissionQueue(10)
        urgent = _waiter(1, rank=1)
        queue.add(urgent, now_ms=0)
        queue.add(_waiter(2, rank=2), now_ms=0)
        assert queue.get_next(0) is urgent

    @pytest.mark.parametrize(("now_ms", "expected"), [(200, False), (350, False), (760, True)])
    def test_a_late_request_is_given_up_after_its_give_up_time(
        self, now_ms: float, expected: bool
    ) -> None:
        assert _waiter(1).should_give_up(now_ms) is expected

    def test_a_request_that_cannot_meet_its_deadline_is_given_up(self) -> None:
        assert _waiter(1, deadline_ms=390.0).should_give_up(300)


class Fleet:
    """A pool of upstreams with three slots each, and the load reports about them."""

    def __init__(self, count: int = 4) -> None:
        self.kind = Kind(
            id="k", names=["web:a/x/"], idempotent=True, deadline_ms=3_000, target_ms=400
        )
        service = Service(id="work", upstreams=["*"], kinds=[self.kind])
        self.pool = ServicePool(
            service,
            policy=coltsfootrill_choice_policy(),
            random=Random(3),
            zone="z1",
            queue_limit=8,
        )
        records = [make_usable_record(f"u{number}") for number in range(count)]
        self.pool.update(service, records, 0)
        self.pool.get_latency("k").add(WORK_MS)

    def report(self, upstream_id: str, in_flight: int, *, pace: float = 1.0, at_ms: float) -> None:
        report = LoadReport(in_flight=in_flight, slots=3, state="serving", pace=pace)
        self.pool.apply_report(upstream_id, report, at_ms)

    def report_all(self, in_flight: int, *, at_ms: float = NOW_MS) -> None:
        for upstream_id in self.pool.by_id:
            self.report(upstream_id, in_flight, at_ms=at_ms)

    def may_start(self, requirement: SlotRequirement) -> bool:
        return (
            self.pool.acquire(self.kind, NOW_MS, exclude=frozenset(), requirement=requirement)
            is not None
        )


class TestSlotRequirement:
    def test_late_requests_leave_slots_to_those_that_can_meet_their_target(self) -> None:
        fleet = Fleet()
        fleet.report_all(1)
        assert not fleet.may_start(SlotRequirement(is_spare=True))
        assert fleet.may_start(SlotRequirement(within_ms=400))

    def test_late_requests_use_idle_upstreams(self) -> None:
        fleet = Fleet()
        fleet.report_all(0)
        assert fleet.may_start(SlotRequirement(is_spare=True))

    def test_no_request_is_sent_to_upstreams_known_to_be_saturated(self) -> None:
        fleet = Fleet()
        fleet.report_all(3)
        assert not fleet.may_start(SlotRequirement(within_ms=400))

    def test_a_request_waits_for_an_upstream_that_can_meet_its_target(self) -> None:
        fleet = Fleet(count=1)
        fleet.report("u0", 0, pace=7, at_ms=NOW_MS)
        assert not fleet.may_start(SlotRequirement(within_ms=400))
        assert fleet.may_start(SlotRequirement(is_spare=True))

    def test_the_margin_grows_while_requests_wait_at_upstreams_and_shrinks_afterwards(self) -> None:
        fleet = Fleet()
        for step in range(20):
            fleet.report_all(5, at_ms=NOW_MS - 100 + step)
        fleet.report_all(0)
        assert fleet.pool.margin.slots > 1
        assert not fleet.may_start(SlotRequirement(is_spare=True))
        for step in range(200):
            fleet.report_all(0, at_ms=NOW_MS + step)
        assert fleet.pool.margin.slots == 0

    def test_an_old_report_of_a_saturated_upstream_loses_its_weight(self) -> None:
        fleet = Fleet()
        fleet.report_all(9, at_ms=NOW_MS - 3_000)
        assert fleet.may_start(SlotRequirement(within_ms=400))


class TestShedRequests:
    """All upstreams of a service refuse requests, with slots free or without."""

    def _shed(self, fleet: Fleet, *, in_flight: int) -> None:
        claim = fleet.pool.acquire(fleet.kind, NOW_MS, exclude=frozenset())
        if claim is not None:
            report = LoadReport(in_flight=in_flight, slots=3, state="serving")
            fleet.pool.end_shed(claim, report, NOW_MS)

    def test_upstreams_that_refuse_with_slots_free_stay_available(self) -> None:
        fleet = Fleet()
        for _ in range(40):
            self._shed(fleet, in_flight=0)
        assert fleet.pool.count_with_free_slot(NOW_MS) == 4

    def test_upstreams_that_refuse_without_free_slots_are_paused(self) -> None:
        fleet = Fleet()
        for _ in range(4):
            self._shed(fleet, in_flight=9)
        assert fleet.pool.count_with_free_slot(NOW_MS) == 0


class TestEstimates:
    def test_latency_at_a_saturated_upstream_does_not_raise_the_typical_latency(self) -> None:
        latency = KindLatency()
        for _ in range(50):
            latency.add(WORK_MS)
            latency.add(9 * WORK_MS, is_saturated=True)
        assert latency.typical_ms == pytest.approx(WORK_MS)

    def test_the_first_answer_sets_the_typical_latency(self) -> None:
        latency = KindLatency()
        latency.add(400)
        assert latency.typical_ms == 400

    def test_the_last_slot_is_left_free_while_using_it_lowers_throughput(self) -> None:
        estimate = SaturationEstimate()
        for _ in range(100):
            estimate.record(occupancy=3, slots=3, ratio=1.7)
            estimate.record(occupancy=1, slots=3, ratio=1.0)
        assert estimate.get_cap(3) == 2
        for _ in range(100):
            estimate.record(occupancy=3, slots=3, ratio=1.0)
        assert estimate.get_cap(3) == 3

    def test_a_shorter_timeout_reveals_a_caller_that_retries(self) -> None:
        stated = StatedTimeouts()
        for _ in range(100):
            assert stated.get_age_ms(3_000) == 0
        assert stated.get_age_ms(2_000) == 1_000

    def test_varying_timeouts_reveal_no_retries(self) -> None:
        stated = StatedTimeouts()
        random = Random(1)
        ages = [stated.get_age_ms(random.uniform(100, 3_000)) for _ in range(200)]
        assert set(ages) == {0.0}


class TestHedgedRequests:
    def test_no_hedged_request_is_sent_to_an_upstream_that_cannot_meet_the_target(self) -> None:
        fleet = Fleet(count=2)
        fleet.report("u0", 0, pace=7, at_ms=NOW_MS)
        fleet.report("u1", 1, at_ms=NOW_MS)
        assert not fleet.may_start(SlotRequirement(within_ms=200, is_spare=True))


class TestRestartUnderLoad:
    """A restarted instance gets its usual load before it knows how long any request takes."""

    def _restart(self) -> Fleet:
        fleet = Fleet(6)
        fleet.pool.latency_by_kind.clear()
        service = Service(id="work", upstreams=["*"], kinds=[fleet.kind])
        records = [make_usable_record(upstream_id) for upstream_id in fleet.pool.by_id]
        fleet.pool.update(service, records, NOW_MS)
        return fleet

    def test_upstreams_are_not_ejected_for_the_usual_latency(self) -> None:
        fleet = self._restart()
        claims = [
            fleet.pool.acquire(fleet.kind, NOW_MS, exclude=frozenset({"u2", "u3", "u4", "u5"}))
            for _ in range(4)
        ]
        assert all(claims)
        assert fleet.pool.eject_outliers(NOW_MS + WORK_MS) == []
        for claim in claims:
            assert claim is not None
            fleet.pool.end_answered(claim, None, NOW_MS + WORK_MS)
        assert fleet.pool.eject_outliers(NOW_MS + WORK_MS) == []

    def test_an_upstream_that_does_not_answer_within_four_times_the_target_is_ejected(
        self,
    ) -> None:
        fleet = self._restart()
        claim = fleet.pool.acquire(fleet.kind, NOW_MS, exclude=frozenset())
        assert claim is not None and fleet.kind.target_ms is not None
        ejected = fleet.pool.eject_outliers(NOW_MS + 4 * fleet.kind.target_ms)
        assert [load.id for load in ejected] == [claim.load.id]

    def test_the_first_answer_replaces_the_expected_latency(self) -> None:
        fleet = self._restart()
        claim = fleet.pool.acquire(fleet.kind, NOW_MS, exclude=frozenset())
        assert claim is not None
        fleet.pool.end_answered(claim, None, NOW_MS + WORK_MS / 2)
        assert fleet.pool.get_latency("k").typical_ms == WORK_MS / 2
