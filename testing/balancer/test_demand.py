"""Hard load on one service: who goes first, and who is turned away, by what it costs callers."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from coltsfootrill.balancer.admission import AdmissionQueue
from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.demand import ServiceDemand
from coltsfootrill.manifest.model import Kind

STEP_MS = 10.0
TARGET_MS = 400.0
LOOKUP = Kind(id="lookup", names=["web:a/x/"], idempotent=True, deadline_ms=2_000, rank=0)
REPORT = Kind(id="report", names=["web:a/y/"], idempotent=True, deadline_ms=2_000, rank=1)


class Desk:
    """A queue before one slot; each step, callers ask and the slot serves those that wait."""

    def __init__(self, *, limit: int = 32) -> None:
        self.demand = ServiceDemand()
        self.queue = AdmissionQueue(limit)
        self.now_ms = 0.0
        self.asked_by_name: dict[str, int] = {}
        self.served_by_name: dict[str, int] = {}
        self._owner_by_order: dict[int, tuple[str, str, Kind]] = {}

    def ask(
        self, name: str, *, organisation: str = "", kind: Kind = LOOKUP, **changes: Any
    ) -> None:
        """Let a caller ask once; ``name`` is what its results are counted under."""
        order = len(self._owner_by_order)
        self._owner_by_order[order] = (name, organisation, kind)
        self.asked_by_name[name] = self.asked_by_name.get(name, 0) + 1
        self.demand.record_asked(organisation, kind, self.now_ms)
        fields: dict[str, Any] = {
            "priority": "normal",
            "deadline_ms": self.now_ms + kind.deadline_ms,
            "urgent_at_ms": 0.0,
            "order": order,
            "rank": kind.rank,
            "target_at_ms": self.now_ms + TARGET_MS,
            "work_ms": 20.0,
            "is_starved": self.demand.is_starved(organisation, kind, self.now_ms),
            "is_above_usual": self.demand.is_above_usual(organisation, self.now_ms),
        }
        self.queue.add(Waiter(**(fields | changes)), now_ms=self.now_ms)

    def serve(self, count: int) -> None:
        """Serve the first ``count`` that wait, and let a step of time pass."""
        for _ in range(count):
            waiter = self.queue.get_next(self.now_ms, is_late=False)
            if waiter is None:
                break
            self.queue.remove(waiter)
            name, organisation, kind = self._owner_by_order[waiter.order]
            self.served_by_name[name] = self.served_by_name.get(name, 0) + 1
            self.demand.record_served(organisation, kind, self.now_ms)
        self.now_ms += STEP_MS

    def get_share(self, name: str) -> float:
        """Return the share of the requests under ``name`` that were served."""
        return self.served_by_name.get(name, 0) / self.asked_by_name[name]


def make_waiter(order: int, **changes: Any) -> Waiter:
    fields: dict[str, Any] = {
        "priority": "normal",
        "deadline_ms": 2_000.0,
        "urgent_at_ms": 0.0,
        "order": order,
        "target_at_ms": TARGET_MS,
        "work_ms": 20.0,
    }
    return Waiter(**(fields | changes))


class TestOrder:
    """The first of two that wait, all else being equal."""

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            ({}, {"target_at_ms": 10.0}),
            ({"is_starved": True, "rank": 3}, {"rank": 0}),
            ({"organisation_rank": 1, "rank": 2}, {"organisation_rank": 2, "rank": 0}),
            ({"organisation_rank": 1, "rank": 0}, {"organisation_rank": 1, "rank": 2}),
            ({"rank": 1, "organisation_rank": None}, {"rank": 0, "organisation_rank": 2}),
            ({"work_ms": 80.0}, {"is_above_usual": True}),
            ({"is_returning": True, "work_ms": 80.0}, {}),
            ({"work_ms": 20.0}, {"work_ms": 80.0}),
            ({"rank": 0, "work_ms": 300.0}, {"rank": 1, "work_ms": 20.0}),
            ({"rank": 0, "is_above_usual": True}, {"rank": 1}),
        ],
        ids=[
            "on time before late",
            "starved before its betters",
            "organisation before kind",
            "kind among equal organisations",
            "kind where the organisation has no rank",
            "excess last",
            "returned before first try",
            "short before long",
            "rank before work",
            "rank before excess",
        ],
    )
    def test_what_costs_callers_most_goes_first(
        self, first: dict[str, Any], second: dict[str, Any]
    ) -> None:
        for orders in ((1, 2), (2, 1)):
            queue = AdmissionQueue(4)
            expected = make_waiter(orders[0], **first)
            queue.add(expected, now_ms=0)
            queue.add(make_waiter(orders[1], **second), now_ms=0)
            assert queue.get_next(0) is expected

    def test_a_full_queue_turns_away_what_costs_callers_least(self) -> None:
        queue = AdmissionQueue(2)
        excess = make_waiter(1, is_above_usual=True)
        queue.add(excess, now_ms=0)
        queue.add(make_waiter(2), now_ms=0)
        assert queue.add(make_waiter(3), now_ms=0) is excess

    def test_estimates_that_differ_little_change_no_order(self) -> None:
        queue = AdmissionQueue(2)
        queue.add(make_waiter(1, work_ms=20.0), now_ms=0)
        newest = make_waiter(2, work_ms=24.0)
        queue.add(newest, now_ms=0)
        assert queue.get_next(0) is newest


class TestPatterns:
    """One pattern of load each, at a slot that serves one request a step."""

    def test_one_large_organisation_bursts_beside_small_ones(self) -> None:
        desk = Desk()
        for step in range(3_400):
            is_burst = step >= 3_000
            if step % 4 == 0:
                name = "small-burst" if is_burst else "small"
                desk.ask(name, organisation=f"s{step // 4 % 10}")
            for _ in range(3 if is_burst else step % 2):
                desk.ask("large", organisation="large")
            desk.serve(1)
        assert desk.get_share("small-burst") > 0.9
        assert desk.get_share("large") < 0.9

    def test_all_organisations_burst_and_are_served_alike(self) -> None:
        desk, random = Desk(), Random(1)
        for step in range(2_000):
            for _ in range(2 if step >= 1_000 else 1):
                name = random.choice(["a", "b", "c"])
                desk.ask(name, organisation=name)
            desk.serve(1)
        shares = [desk.get_share(name) for name in "abc"]
        assert max(shares) - min(shares) < 0.1

    def test_a_kind_of_high_rank_bursts_and_the_lowest_is_not_starved(self) -> None:
        desk = Desk()
        for step in range(3_000):
            desk.ask("lookup")
            desk.ask("lookup")
            if step % 2:
                desk.ask("report", kind=REPORT)
            desk.serve(1)
        share_of_all = 3_000 / sum(desk.asked_by_name.values())
        assert desk.get_share("report") >= 0.25 * share_of_all
        assert desk.get_share("lookup") > desk.get_share("report")

    def test_callers_return_in_a_wave_and_go_before_first_tries(self) -> None:
        desk = Desk()
        for step in range(500):
            if step >= 250:
                desk.ask("returned", is_returning=True)
            desk.ask("first")
            desk.serve(1)
        assert desk.get_share("returned") > 0.95

    def test_a_service_loses_a_third_and_short_work_goes_on(self) -> None:
        desk = Desk()
        for step in range(900):
            desk.ask("short", work_ms=10.0)
            desk.ask("long", work_ms=90.0)
            desk.serve(2 if step < 300 or step % 3 else 1)
        assert desk.get_share("short") > 0.95
        assert desk.get_share("long") > 0.5


class TestUsualDemand:
    def test_single_requests_of_a_small_organisation_are_no_burst(self) -> None:
        demand = ServiceDemand()
        demand.record_asked("small", LOOKUP, 60_000.0)
        assert not demand.is_above_usual("small", 60_000.0)

    def test_a_demand_that_lasts_becomes_usual(self) -> None:
        demand = ServiceDemand()
        for step in range(60_000):
            demand.record_asked("a", LOOKUP, step * 2.0)
        assert not demand.is_above_usual("a", 120_000.0)

    def test_many_names_are_forgotten(self) -> None:
        demand = ServiceDemand()
        for number in range(5_000):
            demand.record_asked(f"o{number}", LOOKUP, number * 1_000.0)
        assert len(demand._use_by_organisation) <= 1_001
