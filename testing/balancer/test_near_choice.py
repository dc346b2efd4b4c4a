"""The pattern: a large fleet with many upstreams in each zone, where few requests should cross."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from coltsfootrill.balancer import reported_load
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.slot_choice import NEAR_MIN_COUNT
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from testing.records import make_usable_record

NOW_MS = 10_000.0
WORK_MS = 100.0
SLOTS = 4
ZONES = ["z1", "z2", "z3", "z4"]


class Fleet:
    """A pool of upstreams in four zones that are warm, idle and have just reported so."""

    def __init__(self, count_by_zone: dict[str, int], *, target_ms: int | None = 400) -> None:
        self.kind = Kind(
            id="k", names=["web:a/x/"], idempotent=True, deadline_ms=3_000, target_ms=target_ms
        )
        service = Service(id="work", upstreams=["*"], kinds=[self.kind])
        self.pool = ServicePool(
            service,
            policy=reported_load.coltsfootrill_choice_policy(),
            random=Random(5),
            zone="z1",
            queue_limit=8,
        )
        records = [
            make_usable_record(f"{zone}-{number}", slots=SLOTS, zone=zone)
            for zone, count in count_by_zone.items()
            for number in range(count)
        ]
        self.pool.update(service, records, 0)
        self.pool.get_latency("k").add(WORK_MS)
        for record in records:
            self.report(record.announcement.id)

    def report(self, upstream_id: str, *, in_flight: int = 0, pace: float = 1.0) -> None:
        report = LoadReport(in_flight=in_flight, slots=SLOTS, state="serving", pace=pace)
        self.pool.apply_report(upstream_id, report, NOW_MS)

    def report_zone(self, zone: str, *, in_flight: int = 0, pace: float = 1.0) -> None:
        for load in self.pool.by_id.values():
            if load.zone == zone:
                load.reported_at_ms = 0.0
                self.report(load.id, in_flight=in_flight, pace=pace)

    def count_by_zone(self, requests: int) -> Counter[str]:
        """Start requests of zone ``z1`` that run at the same time; return their zones."""
        warm_ids = frozenset(self.pool.by_id)
        counts: Counter[str] = Counter()
        for _ in range(requests):
            claim = self.pool.acquire(
                self.kind, NOW_MS, exclude=frozenset(), origin=Origin("z1", warm_ids)
            )
            assert claim is not None
            counts[claim.load.zone] += 1
        return counts


class TestLargeZone:
    @pytest.mark.parametrize("target_ms", [400, None])
    def test_requests_stay_in_their_zone_while_it_has_room(self, target_ms: int | None) -> None:
        fleet = Fleet(dict.fromkeys(ZONES, 20), target_ms=target_ms)
        assert set(fleet.count_by_zone(20)) == {"z1"}

    def test_requests_leave_a_zone_whose_upstreams_are_full(self) -> None:
        fleet = Fleet(dict.fromkeys(ZONES, 20))
        fleet.report_zone("z1", in_flight=SLOTS)
        assert fleet.count_by_zone(20)["z1"] == 0

    def test_requests_leave_a_zone_whose_upstreams_are_slow(self) -> None:
        fleet = Fleet(dict.fromkeys(ZONES, 20))
        fleet.report_zone("z1", pace=3.0)
        assert fleet.count_by_zone(20)["z1"] <= 2

    def test_a_burst_beyond_the_zone_is_spread_over_the_others(self) -> None:
        fleet = Fleet(dict.fromkeys(ZONES, 20))
        counts = fleet.count_by_zone(20 * SLOTS * 2)
        assert counts["z1"] <= 20 * SLOTS
        assert all(counts[zone] >= 10 for zone in ZONES[1:])

    def test_no_upstream_is_filled_while_others_of_the_zone_have_room(self) -> None:
        fleet = Fleet(dict.fromkeys(ZONES, 20))
        fleet.count_by_zone(20)
        assert max(load.in_flight for load in fleet.pool.by_id.values()) < SLOTS

    def test_only_upstreams_of_the_zone_are_compared(self, monkeypatch: pytest.MonkeyPatch) -> None:
        fleet = Fleet(dict.fromkeys(ZONES, 90))
        compared: Counter[str] = Counter()
        estimate = reported_load.estimate_cost_ms

        def count(load: reported_load.UpstreamLoad, context: reported_load.ChoiceContext) -> float:
            compared[load.zone] += 1
            return estimate(load, context)

        monkeypatch.setattr(reported_load, "estimate_cost_ms", count)
        fleet.count_by_zone(10)
        assert set(compared) == {"z1"}


class TestSmallZone:
    def test_a_zone_with_few_upstreams_shares_with_the_others(self) -> None:
        fleet = Fleet({"z1": NEAR_MIN_COUNT - 1, "z2": 60})
        assert fleet.count_by_zone(60)["z2"] > 0
