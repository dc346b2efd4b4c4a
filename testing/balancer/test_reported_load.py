"""Choice by reported load: a quarter of the upstreams is several times slower, then another.

Many callers send requests at once, and all instances have the same reports.
"""

from __future__ import annotations

from random import Random

from coltsfootrill.balancer import reported_load
from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_pace
from coltsfootrill.balancer.load import record_error
from coltsfootrill.balancer.load import record_report
from coltsfootrill.balancer.load import record_start

NOW_MS = 10_000.0


def _load(
    upstream_id: str, *, zone: str = "z1", in_flight: int = 0, pace: float = 1
) -> UpstreamLoad:
    load = UpstreamLoad(
        id=upstream_id, incarnation=1, address="127.0.0.1:1", zone=zone, slots=3, now_ms=0
    )
    load.ramp_from_ms = -1e6
    report = LoadReport(in_flight=in_flight, slots=3, state="serving", pace=pace)
    record_report(load, report, now_ms=NOW_MS)
    return load


def _choose_often(loads: list[UpstreamLoad], *, turns: int = 1_000) -> dict[str, int]:
    random = Random(3)
    counts = dict.fromkeys([load.id for load in loads], 0)
    for turn in range(turns):
        context = ChoiceContext(
            now_ms=NOW_MS, random=random, origin=Origin("z1"), typical_ms=60, turn=turn
        )
        counts[reported_load.choose(loads, context).id] += 1
    return counts


class TestPace:
    def test_an_upstream_on_a_slow_host_gets_almost_no_requests(self) -> None:
        counts = _choose_often([_load("slow", pace=7), *[_load(f"u{n}") for n in range(3)]])
        assert counts["slow"] < 5

    def test_a_slow_upstream_is_used_when_all_others_are_saturated(self) -> None:
        loads = [_load("slow", pace=2), *[_load(f"u{n}", in_flight=12) for n in range(3)]]
        assert _choose_often(loads)["slow"] > 900

    def test_the_weight_of_a_reported_pace_decays(self) -> None:
        load = _load("u", pace=7)
        assert estimate_pace(load, NOW_MS) == 7
        assert 1.9 < estimate_pace(load, NOW_MS + 10_000) < 2.1


class TestSpreading:
    def test_instances_with_the_same_reports_do_not_saturate_one_upstream(self) -> None:
        loads = [_load(f"u{n}") for n in range(8)]
        counts = _choose_often(loads)
        assert max(counts.values()) < 2 * min(counts.values())

    def test_free_slots_are_preferred_to_the_last_slot_and_that_to_queueing(self) -> None:
        counts = _choose_often(
            [_load("free"), _load("last", in_flight=2), _load("saturated", in_flight=4)]
        )
        assert counts["free"] > 4 * counts["last"] > 4 * counts["saturated"]

    def test_own_requests_count_before_any_report_shows_them(self) -> None:
        loads = [_load("mine"), _load("other")]
        for token in range(3):
            record_start(loads[0], token=token, now_ms=NOW_MS, typical_ms=60)
        assert _choose_often(loads)["other"] > 800

    def test_the_own_zone_is_preferred_only_among_equal_upstreams(self) -> None:
        counts = _choose_often([_load("near"), _load("far", zone="z2")])
        assert counts["near"] > counts["far"]
        counts = _choose_often([_load("near", pace=2), _load("far", zone="z2")])
        assert counts["far"] > counts["near"]

    def test_few_requests_cross_zones_while_the_own_zone_has_free_slots(self) -> None:
        near = [_load(f"near{n}") for n in range(3)]
        far = [_load(f"far{n}", zone=f"z{2 + n % 2}") for n in range(6)]
        counts = _choose_often([*near, *far])
        assert sum(counts[load.id] for load in near) > 800

    def test_requests_go_to_other_zones_while_the_own_zone_is_saturated(self) -> None:
        near = [_load(f"near{n}", in_flight=4) for n in range(3)]
        far = [_load(f"far{n}", zone="z2") for n in range(3)]
        counts = _choose_often([*near, *far])
        assert sum(counts[load.id] for load in far) > 800

    def test_upstreams_that_answered_recently_are_preferred_while_they_have_free_slots(
        self,
    ) -> None:
        loads = [_load(f"u{n}") for n in range(6)]
        loads[0].answered_at_ms = loads[1].answered_at_ms = NOW_MS - 1_000
        counts = _choose_often(loads)
        assert counts["u0"] + counts["u1"] > 600
        loads[0].reported_others = loads[1].reported_others = 4
        counts = _choose_often(loads)
        assert counts["u0"] + counts["u1"] < 100

    def test_an_upstream_that_fails_fast_does_not_attract_requests(self) -> None:
        loads = [_load("failing"), _load("healthy")]
        for _ in range(3):
            record_error(loads[0], now_ms=NOW_MS)
        assert _choose_often(loads)["failing"] < 10
