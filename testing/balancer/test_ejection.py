from __future__ import annotations

import pytest

from coltsfootrill.balancer.ejection import ERRORS_TO_EJECT
from coltsfootrill.balancer.ejection import SLOWNESS_TO_EJECT
from coltsfootrill.balancer.ejection import eject_outliers
from coltsfootrill.balancer.load import record_error
from testing.balancer.loads import make_load


class TestEjection:
    def test_at_most_a_third_of_the_upstreams_is_ejected(self) -> None:
        loads = [make_load(f"u{n}") for n in range(9)]
        for load in loads[:5]:
            for _ in range(10):
                record_error(load, now_ms=0)
        assert len(eject_outliers(loads, now_ms=0)) == 3
        assert eject_outliers(loads, now_ms=1) == []

    def test_no_upstream_is_ejected_while_the_whole_service_is_slow(self) -> None:
        loads = [make_load(f"u{n}") for n in range(6)]
        for load in loads:
            load.slowness = 20
        assert eject_outliers(loads, now_ms=0) == []

    def test_no_upstream_is_ejected_while_the_whole_service_fails(self) -> None:
        loads = [make_load(f"u{n}") for n in range(9)]
        for load in loads:
            for _ in range(20):
                record_error(load, now_ms=0)
        assert eject_outliers(loads, now_ms=0) == []

    def test_upstreams_that_do_well_are_not_compared(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # The pattern: hundreds of upstreams, of which an instance uses few at a time.
        loads = [make_load(f"u{n}") for n in range(300)]
        loads[0].slowness = SLOWNESS_TO_EJECT - 0.1
        loads[1].errors = ERRORS_TO_EJECT - 0.1
        monkeypatch.delattr("coltsfootrill.balancer.ejection.estimate_errors")
        assert eject_outliers(loads, now_ms=0) == []

    def test_an_upstream_that_fails_four_times_as_often_as_the_others_is_ejected(self) -> None:
        loads = [make_load(f"u{n}") for n in range(9)]
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
        loads = [make_load(f"u{n}") for n in range(9)]
        loads[4].slowness = slowness
        for _ in range(failures):
            record_error(loads[4], now_ms=0)
        eject_outliers(loads, now_ms=0)
        score = loads[4].outlier_score
        assert (score.reason, score.limit_ratio) == (reason, pytest.approx(limit_ratio))

    def test_each_consecutive_ejection_lasts_longer(self) -> None:
        loads = [make_load(f"u{n}") for n in range(3)]
        durations = []
        now_ms = 0.0
        for _ in range(3):
            loads[0].slowness = 50
            eject_outliers(loads, now_ms=now_ms)
            durations.append(loads[0].ejected_until_ms - now_ms)
            now_ms = loads[0].ejected_until_ms
        assert durations == sorted(set(durations))

    def test_an_upstream_that_stays_slow_is_ejected_2000_times_in_a_row(self) -> None:
        loads = [make_load(f"u{n}") for n in range(3)]
        now_ms = 0.0
        for _ in range(2_000):
            loads[0].slowness = 50
            assert eject_outliers(loads, now_ms=now_ms) == [loads[0]]
            now_ms = loads[0].ejected_until_ms
        assert loads[0].ejected_until_ms - now_ms <= 10_000
