"""The bound of a quota over random histories of a fleet, and what lies inside it."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from coltsfootrill.manifest.model import Organisation
from coltsfootrill.quotas.limits import QuotaBounds
from testing.quotas.fleet import QuotaFleet
from testing.quotas.fleet import make_organisation

INSTANCES_COUNT = 6
TICK_MS = 50.0
# What an instance does at most in a tick; more than any quota of these tests allows.
REQUESTS_PER_TICK = 100

_faults = st.sampled_from(
    ["none", "cut", "cut-zone", "connect", "freeze", "wake", "restart", "restart-all", "lose"]
)
_loads = st.sampled_from(["send", "reserve", "reserve-and-send", "idle"])
_step = st.tuples(_faults, st.integers(0, INSTANCES_COUNT - 1), _loads, st.integers(1, 80))


def _cause(fleet: QuotaFleet, fault: str, number: int) -> None:
    """Bring a fault about, at one instance or its zone."""
    instance = fleet.instances[number]
    if fault == "cut":
        fleet.separate([instance], "alone")
    elif fault == "cut-zone" and not any(other.side for other in fleet.instances):
        zone = instance.record.zone
        fleet.separate([other for other in fleet.instances if other.record.zone == zone], zone)
    elif fault == "connect":
        fleet.separate([other for other in fleet.instances if other.side], "")
    elif fault in ("freeze", "wake"):
        instance.is_frozen = fault == "freeze"
    elif fault == "restart":
        instance.restart()
    elif fault == "restart-all":
        for other in fleet.instances:
            other.restart()
    elif fault == "lose":
        random = Random(number)
        fleet.is_lost = lambda: random.random() < number / 10


def _load(fleet: QuotaFleet, load: str, ticks: int) -> None:
    """Let all instances ask for as much as they can get.

    With ``reserve`` their requests wait for an upstream, and start together with ``send``.
    """
    for tick in range(ticks):
        fleet.advance(TICK_MS)
        if load == "idle":
            continue
        for instance in fleet.instances:
            if instance.is_frozen:
                continue
            if load == "send" or (load == "reserve-and-send" and tick == ticks - 1):
                instance.send_reserved()
            act = instance.send if load == "send" else instance.reserve
            for _ in range(REQUESTS_PER_TICK):
                if not act():
                    break


def _play(fleet: QuotaFleet, steps: list[tuple[str, int, str, int]]) -> None:
    for fault, number, load, ticks in steps:
        _cause(fleet, fault, number)
        _load(fleet, load, ticks)


def _make_greedy_fleet(
    organisation: Organisation, *, zones: int = 3, slack: float = 20.0
) -> QuotaFleet:
    bounds = QuotaBounds(window_ms=5_000.0, overshoot=0.1, slack=slack)
    fleet = QuotaFleet(organisation, instances=INSTANCES_COUNT, zones=zones, bounds=bounds)
    for instance in fleet.instances:
        instance.is_greedy = True
    fleet.settle()
    return fleet


@settings(max_examples=120, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    rate_per_s=st.sampled_from([0.5, 1, 7, 40, 160]),
    burst=st.sampled_from([0, 1, 20, 160]),
    slack=st.sampled_from([0, 20]),
    zones=st.integers(1, 3),
    steps=st.lists(_step, min_size=2, max_size=12),
)
def test_no_window_has_more_runs_than_the_bound(
    rate_per_s: float,
    burst: float,
    slack: float,
    zones: int,
    steps: list[tuple[str, int, str, int]],
) -> None:
    organisation = make_organisation(rate_per_s, burst)
    fleet = _make_greedy_fleet(organisation, zones=zones, slack=slack)
    _play(fleet, steps)
    assert fleet.get_most_in_window() <= fleet.get_bound()


@settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    rate_per_s=st.sampled_from([1, 7, 40]),
    before=st.lists(_step, max_size=4),
    after=st.lists(_step, min_size=1, max_size=4),
)
def test_a_lower_limit_binds_one_window_after_it_is_in_force(
    rate_per_s: float,
    before: list[tuple[str, int, str, int]],
    after: list[tuple[str, int, str, int]],
) -> None:
    fleet = _make_greedy_fleet(make_organisation(160, 160))
    _play(fleet, before)
    fleet.change_limit(rate_per_s, rate_per_s)
    fleet.advance(fleet.bounds.window_ms)
    fleet.runs_ms.clear()
    _play(fleet, after)
    assert fleet.get_most_in_window() <= fleet.get_bound()


def _send_evenly(fleet: QuotaFleet, *, per_s: float, duration_s: int, one_instance: bool) -> None:
    random = Random(7)
    for _ in range(int(per_s * duration_s)):
        fleet.advance(1_000.0 / per_s)
        instance = fleet.instances[0] if one_instance else random.choice(fleet.instances)
        instance.send()


class TestInsideTheQuota:
    @pytest.mark.parametrize("rate_per_s", [1, 2])
    def test_a_small_organisation_spread_one_request_to_each_instance(
        self, rate_per_s: float
    ) -> None:
        fleet = QuotaFleet(make_organisation(rate_per_s, rate_per_s), instances=100)
        fleet.settle()
        for instance in fleet.instances:
            fleet.advance(1_000.0 / rate_per_s)
            assert instance.send()

    @pytest.mark.parametrize("rate_per_s", [1, 20, 160])
    def test_all_callers_at_one_instance(self, rate_per_s: float) -> None:
        fleet = QuotaFleet(make_organisation(rate_per_s, rate_per_s), instances=100)
        fleet.settle()
        _send_evenly(fleet, per_s=rate_per_s * 0.9, duration_s=20, one_instance=True)
        assert fleet.refused_count == 0

    @pytest.mark.parametrize("instances", [100, 300])
    def test_callers_spread_over_all_instances(self, instances: int) -> None:
        fleet = QuotaFleet(make_organisation(40, 40), instances=instances)
        fleet.settle()
        _send_evenly(fleet, per_s=36, duration_s=10, one_instance=False)
        assert fleet.refused_count == 0

    def test_a_whole_burst_at_one_instance(self) -> None:
        fleet = QuotaFleet(make_organisation(160, 160), instances=100)
        fleet.settle()
        for _ in range(160):
            fleet.instances[0].send()
            fleet.clock.advance(1.0)
        assert fleet.refused_count == 0

    def test_a_lost_zone_leaves_two_thirds(self) -> None:
        fleet = QuotaFleet(make_organisation(40, 40), instances=30)
        fleet.settle()
        lost = [other for other in fleet.instances if other.record.zone == "z0"]
        fleet.separate(lost, "z0")
        for other in lost:
            other.is_frozen = True
        alive = [other for other in fleet.instances if other not in lost]
        random = Random(7)
        for _ in range(25 * 10):
            fleet.advance(40.0)
            random.choice(alive).send()
        assert fleet.refused_count == 0

    def test_a_decider_that_restarts_goes_on(self) -> None:
        fleet = QuotaFleet(make_organisation(40, 40), instances=30)
        fleet.settle()
        instance = fleet.instances[0]
        _send_evenly(fleet, per_s=36, duration_s=5, one_instance=True)
        for record in instance.get_standing().deciders:
            fleet.by_id[record.id].restart()
        fleet.advance(1_000.0)
        fleet.refused_count = 0
        _send_evenly(fleet, per_s=25, duration_s=10, one_instance=True)
        # The first ones come before the seats are confirmed and the buckets have filled.
        assert fleet.refused_count <= 25

    def test_all_lose_power(self) -> None:
        fleet = QuotaFleet(make_organisation(40, 40), instances=30)
        fleet.settle()
        for instance in fleet.instances:
            instance.restart()
        # Half a second in which nobody is answered, and two in which lists are the same.
        _send_evenly(fleet, per_s=20, duration_s=3, one_instance=False)
        fleet.refused_count = 0
        _send_evenly(fleet, per_s=20, duration_s=5, one_instance=False)
        assert fleet.refused_count == 0

    def test_a_busy_instance_asks_less_than_once_a_request(self) -> None:
        fleet = QuotaFleet(make_organisation(200, 200), instances=100)
        fleet.settle()
        _send_evenly(fleet, per_s=150, duration_s=10, one_instance=True)
        assert fleet.questions_count < 1_500 / 5


class TestAnOrganisationThatAsksForMore:
    @pytest.mark.parametrize("one_instance", [True, False])
    def test_it_gets_its_quota_and_not_more_than_the_bound(self, one_instance: bool) -> None:
        fleet = QuotaFleet(make_organisation(40, 40), instances=100)
        fleet.settle()
        _send_evenly(fleet, per_s=300, duration_s=6, one_instance=one_instance)
        assert len(fleet.runs_ms) >= 0.9 * (40 * 6 + 40)
        assert fleet.get_most_in_window() <= fleet.get_bound()

    def test_the_questions_stay_within_the_rate(self) -> None:
        fleet = QuotaFleet(make_organisation(40, 40), instances=100)
        fleet.settle()
        _send_evenly(fleet, per_s=300, duration_s=6, one_instance=False)
        # About one question a token and one refusal for each instance in two seconds.
        assert fleet.questions_count <= 2 * (40 * 6 + 40) + 100 * 3


class TestRetryAfter:
    def test_a_caller_that_returns_after_it_is_served(self) -> None:
        fleet = QuotaFleet(make_organisation(10, 10), instances=3)
        fleet.settle()
        instance = fleet.instances[0]
        while instance.send():
            fleet.clock.advance(1.0)
        wait_ms = instance.holding.get_retry_after_ms(fleet.clock.now_ms())
        assert 0 < wait_ms < 1_000
        fleet.advance(wait_ms)
        assert instance.send()
