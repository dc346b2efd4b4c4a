"""The bound of a quota over random histories of a fleet, and what lies inside it."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from testing.quotas.fleet import QuotaFleet
from testing.quotas.fleet import get_bound
from testing.quotas.fleet import make_organisation

INSTANCES_COUNT = 8
_instances = st.integers(0, INSTANCES_COUNT - 1)
_step = st.one_of(
    st.tuples(st.just("send"), _instances, st.integers(1, 400)),
    st.tuples(st.just("send-everywhere"), st.just(0), st.integers(1, 200)),
    st.tuples(st.just("reserve"), _instances, st.integers(1, 200)),
    st.tuples(st.just("send-reserved"), _instances, st.just(0)),
    st.tuples(st.just("wait"), st.just(0), st.integers(10, 6_000)),
    st.tuples(st.just("cut"), _instances, st.just(0)),
    st.tuples(st.just("cut-zone"), _instances, st.just(0)),
    st.tuples(st.just("connect"), _instances, st.just(0)),
    st.tuples(st.just("freeze"), _instances, st.just(0)),
    st.tuples(st.just("wake"), _instances, st.just(0)),
    st.tuples(st.just("restart"), _instances, st.just(0)),
    st.tuples(st.just("lose"), st.just(0), st.integers(0, 60)),
)


def _apply(fleet: QuotaFleet, name: str, number: int, amount: int) -> None:
    instance = fleet.instances[number]
    if name == "wait":
        fleet.advance(amount)
    elif name == "send" and not instance.is_frozen:
        for _ in range(amount):
            instance.send()
    elif name == "send-everywhere":
        for other in fleet.instances:
            for _ in range(0 if other.is_frozen else amount):
                other.send()
    elif name == "reserve" and not instance.is_frozen:
        for _ in range(amount):
            instance.reserve()
    elif name == "send-reserved" and not instance.is_frozen:
        instance.send_reserved()
    elif name == "cut":
        fleet.separate([instance], "alone")
    elif name == "cut-zone":
        zone = instance.record.zone
        members = [other for other in fleet.instances if other.record.zone == zone]
        if not any(other.side for other in fleet.instances):
            fleet.separate(members, zone)
    elif name == "connect":
        fleet.separate([other for other in fleet.instances if other.side], "")
    elif name in ("freeze", "wake"):
        instance.is_frozen = name == "freeze"
    elif name == "restart":
        instance.restart()
    elif name == "lose":
        random = Random(amount)
        fleet.is_lost = lambda: random.random() < amount / 100


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    rate_per_s=st.sampled_from([0.5, 1, 7, 40, 160]),
    burst=st.sampled_from([0, 1, 20, 160]),
    zones=st.integers(1, 3),
    steps=st.lists(_step, min_size=5, max_size=40),
)
def test_no_window_has_more_runs_than_the_bound(
    rate_per_s: float, burst: float, zones: int, steps: list[tuple[str, int, int]]
) -> None:
    organisation = make_organisation(rate_per_s, burst)
    fleet = QuotaFleet(organisation, instances=INSTANCES_COUNT, zones=zones)
    fleet.settle()
    for name, number, amount in steps:
        _apply(fleet, name, number, amount)
    assert fleet.get_most_in_window() <= get_bound(organisation)


@settings(max_examples=30, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    rate_per_s=st.sampled_from([1, 7, 40]),
    steps=st.lists(_step, min_size=5, max_size=20),
)
def test_a_lower_limit_binds_one_window_after_it_is_in_force(
    rate_per_s: float, steps: list[tuple[str, int, int]]
) -> None:
    fleet = QuotaFleet(make_organisation(160, 160), instances=INSTANCES_COUNT)
    fleet.settle()
    for name, number, amount in steps[::2]:
        _apply(fleet, name, number, amount)
    fleet.change_limit(rate_per_s, rate_per_s)
    fleet.advance(5_000.0)
    fleet.runs_ms.clear()
    for name, number, amount in steps[1::2]:
        _apply(fleet, name, number, amount)
    assert fleet.get_most_in_window() <= get_bound(fleet.organisation)


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

    def test_a_busy_instance_asks_less_than_once_a_request(self) -> None:
        fleet = QuotaFleet(make_organisation(200, 200), instances=100)
        fleet.settle()
        _send_evenly(fleet, per_s=150, duration_s=10, one_instance=True)
        assert fleet.questions_count < 1_500 / 5


class TestAnOrganisationThatAsksForMore:
    @pytest.mark.parametrize("one_instance", [True, False])
    def test_it_gets_its_quota_and_not_more_than_the_bound(self, one_instance: bool) -> None:
        organisation = make_organisation(40, 40)
        fleet = QuotaFleet(organisation, instances=100)
        fleet.settle()
        _send_evenly(fleet, per_s=300, duration_s=6, one_instance=one_instance)
        assert len(fleet.runs_ms) >= 0.9 * (40 * 6 + 40)
        assert fleet.get_most_in_window() <= get_bound(organisation)

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
