from __future__ import annotations

import pytest

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load import estimate_in_flight
from coltsfootrill.balancer.load import is_available
from coltsfootrill.balancer.load import record_end
from coltsfootrill.balancer.load import record_report
from coltsfootrill.balancer.load import record_shed
from coltsfootrill.balancer.load import record_start
from testing.balancer.loads import make_load


class TestLoadReports:
    def test_the_weight_of_a_report_decays_with_its_age(self) -> None:
        load = make_load()
        record_report(load, LoadReport(in_flight=6, slots=3, state="serving"), now_ms=0)
        fresh = estimate_in_flight(load, 0, typical_ms=10)
        stale = estimate_in_flight(load, 1_000, typical_ms=10)
        assert fresh == 6
        assert stale == pytest.approx(load.others_typical, abs=0.01)

    def test_own_requests_are_not_counted_twice(self) -> None:
        load = make_load()
        record_start(load, token=1, now_ms=0, typical_ms=10)
        record_report(load, LoadReport(in_flight=1, slots=3, state="serving"), now_ms=0)
        assert estimate_in_flight(load, 0, typical_ms=10) == 1

    def test_a_shed_request_lowers_the_limit_and_pauses_the_upstream(self) -> None:
        load = make_load()
        record_shed(load, now_ms=0)
        assert not is_available(load, 5)
        assert is_available(load, 20)
        assert load.limit < 3

    def test_a_report_with_state_leaving_stops_new_work_at_once(self) -> None:
        load = make_load()
        record_report(load, LoadReport(in_flight=0, slots=3, state="leaving"), now_ms=0)
        assert not is_available(load, 1)

    def test_the_end_of_a_request_is_recorded_once(self) -> None:
        load = make_load()
        record_start(load, token=1, now_ms=5, typical_ms=10)
        assert record_end(load, token=1) == 5
        assert record_end(load, token=1) is None
