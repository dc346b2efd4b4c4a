from __future__ import annotations

from random import Random
from typing import Any

import pytest

from coltsfootrill.balancer import least_expected_wait
from coltsfootrill.balancer.admission import AdmissionQueue
from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.admission import can_meet_deadline
from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.ejection import ERRORS_TO_EJECT
from coltsfootrill.balancer.ejection import SLOWNESS_TO_EJECT
from coltsfootrill.balancer.ejection import eject_outliers
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_in_flight
from coltsfootrill.balancer.load import is_available
from coltsfootrill.balancer.load import record_end
from coltsfootrill.balancer.load import record_error
from coltsfootrill.balancer.load import record_report
from coltsfootrill.balancer.load import record_shed
from coltsfootrill.balancer.load import record_start
from coltsfootrill.balancer.load import record_success
from coltsfootrill.balancer.probe_budget import ProbeBudget
from coltsfootrill.balancer.probe_budget import get_divisor
from coltsfootrill.balancer.retry import AttemptHistory
from coltsfootrill.balancer.retry import RetryBudget
from coltsfootrill.balancer.retry import may_hedge
from coltsfootrill.balancer.retry import may_retry
from coltsfootrill.manifest.model import Kind


def _load(upstream_id: str = "u1", zone: str = "z1") -> UpstreamLoad:
    load = UpstreamLoad(
        id=upstream_id, incarnation=1, address="127.0.0.1:1", zone=zone, slots=3, now_ms=0
    )
    load.ramp_from_ms = -1e6
    return load


def _kind(**changes: Any) -> Kind:
    fields: dict[str, Any] = {
        "id": "k",
        "names": ["path:/x"],
        "idempotent": True,
        "deadline_ms": 1000,
        "retries": 2,
    }
    return Kind(**(fields | changes))


def _choose_often(loads: list[UpstreamLoad], now_ms: float = 10_000) -> dict[str, int]:
    random = Random(3)
    counts: dict[str, int] = {}
    for turn in range(1_000):
        context = ChoiceContext(
            now_ms=now_ms, random=random, origin=Origin("z1"), typical_ms=10, turn=turn
        )
        chosen = least_expected_wait.choose(loads, context)
        counts[chosen.id] = counts.get(chosen.id, 0) + 1
    return counts


class TestLeastExpectedWait:
    def test_the_own_zone_is_preferred_until_it_is_busy(self) -> None:
        near = _load("near")
        far = _load("far", zone="z2")
        assert _choose_often([near, far]) == {"near": 1_000}
        for token in range(6):
            record_start(near, token=token, now_ms=10_000, typical_ms=10)
        assert _choose_often([near, far]) == {"far": 1_000}

    def test_an_upstream_that_fails_fast_does_not_attract_requests(self) -> None:
        failing = _load("failing")
        healthy = _load("healthy")
        for _ in range(5):
            record_error(failing, now_ms=10_000)
            record_success(healthy, latency_ms=12, typical_ms=10)
        assert _choose_often([failing, healthy]) == {"healthy": 1_000}

    def test_a_long_open_request_marks_its_upstream_as_slow(self) -> None:
        stuck = _load("stuck")
        healthy = _load("healthy")
        record_start(stuck, token=1, now_ms=9_000, typical_ms=10)
        record_start(healthy, token=2, now_ms=9_999, typical_ms=10)
        assert _choose_often([stuck, healthy]) == {"healthy": 1_000}

    def test_a_cold_upstream_is_used_less_during_its_slow_start(self) -> None:
        cold = _load("cold")
        warm = _load("warm")
        cold.ramp_from_ms = 10_000
        record_start(warm, token=1, now_ms=10_000, typical_ms=10)
        assert _choose_often([cold, warm]) == {"warm": 1_000}

    def test_equal_upstreams_get_similar_numbers_of_requests(self) -> None:
        counts = _choose_often([_load(f"u{n}") for n in range(8)])
        assert set(counts) == {f"u{n}" for n in range(8)}
        assert max(counts.values()) < 4 * min(counts.values())


class TestLoadReports:
    def test_the_weight_of_a_report_decays_with_its_age(self) -> None:
        load = _load()
        record_report(load, LoadReport(in_flight=6, slots=3, state="serving"), now_ms=0)
        fresh = estimate_in_flight(load, 0, typical_ms=10)
        stale = estimate_in_flight(load, 1_000, typical_ms=10)
        assert fresh == 6
        assert stale == pytest.approx(load.others_typical, abs=0.01)

    def test_own_requests_are_not_counted_twice(self) -> None:
        load = _load()
        record_start(load, token=1, now_ms=0, typical_ms=10)
        record_report(load, LoadReport(in_flight=1, slots=3, state="serving"), now_ms=0)
        assert estimate_in_flight(load, 0, typical_ms=10) == 1

    def test_a_shed_request_lowers_the_limit_and_pauses_the_upstream(self) -> None:
        load = _load()
        record_shed(load, now_ms=0)
        assert not is_available(load, 5)
        assert is_available(load, 20)
        assert load.limit < 3

    def test_a_report_with_state_leaving_stops_new_work_at_once(self) -> None:
        load = _load()
        record_report(load, LoadReport(in_flight=0, slots=3, state="leaving"), now_ms=0)
        assert not is_available(load, 1)

    def test_the_end_of_a_request_is_recorded_once(self) -> None:
        load = _load()
        record_start(load, token=1, now_ms=5, typical_ms=10)
        assert record_end(load, token=1) == 5
        assert record_end(load, token=1) is None


class TestEjection:
    def test_at_most_a_third_of_the_upstreams_is_ejected(self) -> None:
        loads = [_load(f"u{n}") for n in range(9)]
        for load in loads[:5]:
            for _ in range(10):
                record_error(load, now_ms=0)
        assert len(eject_outliers(loads, now_ms=0)) == 3
        assert eject_outliers(loads, now_ms=1) == []

    def test_no_upstream_is_ejected_while_the_whole_service_is_slow(self) -> None:
        loads = [_load(f"u{n}") for n in range(6)]
        for load in loads:
            load.slowness = 20
        assert eject_outliers(loads, now_ms=0) == []

    def test_no_upstream_is_ejected_while_the_whole_service_fails(self) -> None:
        loads = [_load(f"u{n}") for n in range(9)]
        for load in loads:
            for _ in range(20):
                record_error(load, now_ms=0)
        assert eject_outliers(loads, now_ms=0) == []

    def test_upstreams_that_do_well_are_not_compared(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # The pattern: hundreds of upstreams, of which an instance uses few at a time.
        loads = [_load(f"u{n}") for n in range(300)]
        loads[0].slowness = SLOWNESS_TO_EJECT - 0.1
        loads[1].errors = ERRORS_TO_EJECT - 0.1
        monkeypatch.delattr("coltsfootrill.balancer.ejection.estimate_errors")
        assert eject_outliers(loads, now_ms=0) == []

    def test_an_upstream_that_fails_four_times_as_often_as_the_others_is_ejected(self) -> None:
        loads = [_load(f"u{n}") for n in range(9)]
        for number, load in enumerate(loads):
            for _ in range(40 if number == 4 else 10):
                record_error(load, now_ms=0)
        assert eject_outliers(loads, now_ms=0) == [loads[4]]

    @pytest.mark.parametrize(
        ("failures", "slowness", "reason", "limit_ratio"),
        [(6, 1.0, "errors", 2.0), (0, 12.0, "latency", 3.0), (3, 12.0, "latency", 3.0)],
    )
    def test_the_reason_is_the_limit_that_is_exceeded_most(
        self, failures: int, slowness: float, reason: str, limit_ratio: float
    ) -> None:
        loads = [_load(f"u{n}") for n in range(9)]
        loads[4].slowness = slowness
        for _ in range(failures):
            record_error(loads[4], now_ms=0)
        eject_outliers(loads, now_ms=0)
        score = loads[4].outlier_score
        assert (score.reason, score.limit_ratio) == (reason, pytest.approx(limit_ratio))

    def test_each_consecutive_ejection_lasts_longer(self) -> None:
        loads = [_load(f"u{n}") for n in range(3)]
        durations = []
        now_ms = 0.0
        for _ in range(3):
            loads[0].slowness = 50
            eject_outliers(loads, now_ms=now_ms)
            durations.append(loads[0].ejected_until_ms - now_ms)
            now_ms = loads[0].ejected_until_ms
        assert durations == sorted(set(durations))

    def test_an_upstream_that_stays_slow_is_ejected_2000_times_in_a_row(self) -> None:
        loads = [_load(f"u{n}") for n in range(3)]
        now_ms = 0.0
        for _ in range(2_000):
            loads[0].slowness = 50
            assert eject_outliers(loads, now_ms=now_ms) == [loads[0]]
            now_ms = loads[0].ejected_until_ms
        assert loads[0].ejected_until_ms - now_ms <= 10_000


class TestRetries:
    def test_a_non_idempotent_request_is_retried_only_if_it_cannot_have_run(self) -> None:
        kind = _kind(idempotent=False)
        allowed = {
            failure: may_retry(
                AttemptHistory(is_retried=False), failure, kind=kind, budget=RetryBudget(0.1)
            )
            for failure in ("refused", "shed", "failed-answer", "lost")
        }
        assert allowed == {"refused": True, "shed": True, "failed-answer": False, "lost": False}

    def test_retries_stay_within_a_share_of_first_attempts(self) -> None:
        budget = RetryBudget(0.1)
        retried = 0
        for _ in range(1_000):
            budget.earn()
            history = AttemptHistory(is_retried=False)
            retried += may_retry(history, "lost", kind=_kind(), budget=budget)
        assert retried <= 1_000 * 0.1 + 3

    def test_a_request_of_a_retried_call_is_neither_retried_nor_hedged(self) -> None:
        history = AttemptHistory(is_retried=True)
        budget = RetryBudget(1.0)
        assert not may_retry(history, "lost", kind=_kind(), budget=budget)
        assert not may_hedge(history, kind=_kind(hedge_quantile=0.9), budget=budget)

    def test_retries_do_not_multiply_along_a_chain_of_17_calls(self) -> None:
        attempts = 1
        is_retried = False
        for _ in range(17):
            history = AttemptHistory(is_retried=is_retried)
            budget = RetryBudget(1.0)
            while may_retry(history, "lost", kind=_kind(), budget=budget):
                attempts += 1
            is_retried = True
        assert attempts == 1 + 2

    def test_retries_after_refused_connections_are_bounded(self) -> None:
        history = AttemptHistory(is_retried=True)
        budget = RetryBudget(0.0)
        allowed = [
            may_retry(history, "refused", kind=_kind(idempotent=False), budget=budget)
            for _ in range(5)
        ]
        assert allowed == [True, True, True, False, False]


def _waiter(priority: Any, order: int, urgent_at_ms: float = 0.0) -> Waiter:
    return Waiter(priority=priority, deadline_ms=1e9, urgent_at_ms=urgent_at_ms, order=order)


class TestAdmission:
    def test_requests_are_served_in_order_of_priority(self) -> None:
        queue = AdmissionQueue(10)
        waiters = [
            _waiter("deferrable", 0, urgent_at_ms=1e6),
            _waiter("normal", 1),
            _waiter("interactive", 2),
        ]
        for waiter in waiters:
            queue.add(waiter, now_ms=0)
        served = []
        while (waiter := queue.get_next(0)) is not None:
            queue.remove(waiter)
            served.append(waiter.priority)
        assert served == ["interactive", "normal", "deferrable"]

    def test_a_deferrable_request_becomes_urgent_at_its_latest_start_time(self) -> None:
        queue = AdmissionQueue(10)
        deferred = _waiter("deferrable", 0, urgent_at_ms=500)
        queue.add(deferred, now_ms=0)
        queue.add(_waiter("interactive", 1), now_ms=0)
        assert queue.get_next(499) is not deferred
        assert queue.get_next(500) is deferred

    def test_a_full_queue_evicts_the_least_urgent_request(self) -> None:
        queue = AdmissionQueue(2)
        normal = _waiter("normal", 0)
        queue.add(normal, now_ms=0)
        queue.add(_waiter("interactive", 1), now_ms=0)
        assert queue.add(_waiter("interactive", 2), now_ms=0) is normal
        late = _waiter("normal", 3)
        assert queue.add(late, now_ms=0) is late

    def test_deferrable_requests_get_at_most_half_of_the_queue(self) -> None:
        queue = AdmissionQueue(4)
        evicted = [queue.add(_waiter("deferrable", n, 1e6), now_ms=0) for n in range(3)]
        assert evicted[:2] == [None, None]
        assert evicted[2] is not None

    def test_a_wait_beyond_the_deadline_is_predicted(self) -> None:
        assert can_meet_deadline(ahead=10, parallel=10, typical_ms=10, remaining_ms=25)
        assert not can_meet_deadline(ahead=20, parallel=10, typical_ms=10, remaining_ms=25)


class TestProbeBudget:
    @pytest.mark.parametrize("restart_every_ms", [None, 700])
    def test_the_fleet_stays_within_the_budget(self, restart_every_ms: int | None) -> None:
        instances = 20
        rate_per_ms = 0.5 / 1000
        divisor = get_divisor(
            count=instances, stable_for_ms=0, is_isolated=False, fleet_max_count=22
        )
        assert divisor == 22
        budgets = [ProbeBudget(Random(n)) for n in range(instances)]
        probes = []
        for now_ms in range(0, 200_000, 50):
            for number in range(instances):
                if restart_every_ms and (now_ms + 50 * number) % restart_every_ms == 0:
                    budgets[number] = ProbeBudget(Random(now_ms + number))
                budget = budgets[number]
                budget.earn("u", rate_per_ms=rate_per_ms / divisor, now_ms=now_ms)
                if budget.spend("u"):
                    probes.append(now_ms)
        window_ms = int(divisor / rate_per_ms)
        for start_ms in range(0, 200_000, 1_000):
            count = sum(start_ms <= at_ms < start_ms + window_ms for at_ms in probes)
            assert count <= rate_per_ms * window_ms

    def test_probes_do_not_accumulate_while_none_is_needed(self) -> None:
        budget = ProbeBudget(Random(1))
        budget.earn("u", rate_per_ms=1, now_ms=0)
        budget.earn("u", rate_per_ms=1, now_ms=1_000)
        budget.drop("u")
        budget.earn("u", rate_per_ms=1, now_ms=2_000)
        assert not budget.spend("u")

    def test_an_isolated_instance_does_not_probe(self) -> None:
        divisor = get_divisor(count=9, stable_for_ms=1e9, is_isolated=True, fleet_max_count=22)
        assert divisor is None
