"""The load: a zone returns, many of its upstreams are cold, and every instance would choose them.

The bound is that of the promise to upstreams: in any one second at most the rate of the warm-up
times the overshoot, and the slack, from all instances together, in touch or not.
"""

from __future__ import annotations

import math
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.rate_limit import BURST_COUNT
from coltsfootrill.balancer.rate_limit import COLD_MARGIN_MS
from coltsfootrill.balancer.rate_limit import FALLBACK_SHARE
from coltsfootrill.balancer.rate_limit import RATE_MIN_PER_S
from coltsfootrill.balancer.rate_limit import RateLimit
from coltsfootrill.balancer.rate_limit import RateShares
from coltsfootrill.balancer.warm_up import WarmUpBound
from coltsfootrill.manifest.model import WarmUp
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import UpstreamRecord
from coltsfootrill.zones.orders import ZoneOrders
from testing.balancer.cold_fleet import COLD_MS
from testing.balancer.cold_fleet import KIND
from testing.balancer.cold_fleet import RATE_PER_S
from testing.balancer.cold_fleet import SECOND_MS
from testing.balancer.cold_fleet import SERVICE
from testing.balancer.cold_fleet import START_MS
from testing.balancer.cold_fleet import STEP_MS
from testing.balancer.cold_fleet import ColdFleet
from testing.balancer.cold_fleet import count_allowed
from testing.balancer.cold_fleet import count_in_worst_second

INSTANCE_COUNT = 60
UPSTREAM_COUNT = 14
SEEDS = range(4)
WARM_UP = WarmUp(duration_ms=int(COLD_MS), requests_per_second=RATE_PER_S)


def choose_rate(per_s: float, *, overshoot: float = 1.5, slack: float = 8) -> float:
    warm_up = WarmUp(duration_ms=3_000, requests_per_second=per_s)
    rate = WarmUpBound(overshoot=overshoot, slack=slack).choose_rate(warm_up)
    assert rate is not None
    return rate


class TestRate:
    def test_two_dispatchers_and_all_others_together_keep_to_the_bound(self) -> None:
        rate = choose_rate(RATE_PER_S)
        dispatchers = 2 * (rate + BURST_COUNT)
        others = 2 * FALLBACK_SHARE * rate
        assert dispatchers + others + 3 * math.sqrt(others) <= count_allowed() + 1e-9

    def test_most_of_the_rate_is_used(self) -> None:
        assert choose_rate(RATE_PER_S) > 0.5 * RATE_PER_S

    def test_a_low_rate_is_used_whole(self) -> None:
        assert choose_rate(1.0) == 1.0

    @pytest.mark.parametrize("slack", [0, 3, 4])
    def test_without_room_for_two_dispatchers_some_requests_are_sent(self, slack: int) -> None:
        assert choose_rate(0.5, overshoot=1.0, slack=slack) >= RATE_MIN_PER_S

    def test_a_service_without_a_warm_up_has_no_rate(self) -> None:
        assert WarmUpBound().choose_rate(None) is None


class TestZoneReturnsUnderFullLoad:
    """Every instance has more requests than the upstreams take, all the time."""

    # Guards against idle cold upstreams that get the requests of the whole fleet.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_the_dispatcher_keeps_to_the_bound_and_uses_what_it_may(self, seed: int) -> None:
        fleet = ColdFleet(INSTANCE_COUNT, UPSTREAM_COUNT, seed=seed)
        fleet.make_dispatcher(fleet.pools[0])
        fleet.state_cold(fleet.pools)
        fleet.run(fleet.pools[:1], COLD_MS)
        assert fleet.count_most() <= choose_rate(RATE_PER_S) + BURST_COUNT
        for sent_ms in fleet.sent_ms_by_id.values():
            assert len(sent_ms) >= 0.8 * choose_rate(RATE_PER_S) * COLD_MS / SECOND_MS

    @pytest.mark.parametrize("seed", SEEDS)
    def test_two_dispatchers_and_all_others_at_once_keep_to_the_bound(self, seed: int) -> None:
        fleet = ColdFleet(INSTANCE_COUNT, UPSTREAM_COUNT, seed=seed)
        fleet.make_dispatcher(fleet.pools[0])
        fleet.make_dispatcher(fleet.pools[1])
        fleet.state_cold(fleet.pools)
        fleet.run(fleet.pools, COLD_MS)
        assert fleet.count_most() <= count_allowed()

    @pytest.mark.parametrize("seed", SEEDS)
    def test_the_loss_of_the_dispatcher_and_its_return_keep_to_the_bound(self, seed: int) -> None:
        fleet = ColdFleet(INSTANCE_COUNT, UPSTREAM_COUNT, seed=seed)
        first, second, *others = fleet.pools
        fleet.make_dispatcher(first)
        fleet.make_dispatcher(second)
        fleet.state_cold(fleet.pools)
        fleet.run([first], 900)
        # Some choose themselves, the others ask the next in rank; then the first is back.
        lost_ms = fleet.now_ms
        fleet.run([second, *others], 1_000)
        fleet.run([first, second], 900)
        assert fleet.count_most() <= count_allowed()
        # The cold ones are still used while the first one is lost.
        for sent_ms in fleet.sent_ms_by_id.values():
            used_count = sum(lost_ms <= at_ms < lost_ms + SECOND_MS for at_ms in sent_ms)
            assert used_count >= choose_rate(RATE_PER_S) - 1

    @pytest.mark.parametrize("seed", SEEDS)
    def test_instances_that_have_not_heard_send_what_their_callers_ask(self, seed: int) -> None:
        fleet = ColdFleet(INSTANCE_COUNT, UPSTREAM_COUNT, seed=seed)
        fleet.make_dispatcher(fleet.pools[0])
        # A third of the fleet is cut off, and has not heard that its upstreams are cold.
        cut_off = fleet.pools[-INSTANCE_COUNT // 3 :]
        fleet.state_cold(fleet.pools[: -INSTANCE_COUNT // 3])
        while fleet.now_ms < START_MS + COLD_MS:
            # Their callers send as many requests as a third of the normal load, 5 a second and
            # upstream.
            if fleet.random.random() < STEP_MS / SECOND_MS * 5 / 3 * UPSTREAM_COUNT:
                pool = fleet.random.choice(cut_off)
                claim = pool.acquire(KIND, fleet.now_ms, exclude=frozenset())
                assert claim is not None
                fleet.sent_ms_by_id[claim.load.id].append(fleet.now_ms)
                pool.end(claim, "answered", None, fleet.now_ms)
            fleet.run(fleet.pools[:1], STEP_MS)
        assert fleet.count_most() <= count_allowed()

    def test_what_the_cold_ones_cannot_take_goes_to_the_warm_ones(self) -> None:
        fleet = ColdFleet(2, 4)
        first, _ = fleet.pools
        fleet.make_dispatcher(first)
        for upstream_id in ("u0", "u1", "u2"):
            first.apply_cold(upstream_id, COLD_MS, stated_ms=fleet.now_ms, now_ms=fleet.now_ms)
        fleet.run([first], COLD_MS)
        sent_count = {key: len(sent_ms) for key, sent_ms in fleet.sent_ms_by_id.items()}
        assert max(sent_count["u0"], sent_count["u1"], sent_count["u2"]) < 20
        assert sent_count["u3"] > 100


class TestAllUpstreamsCold:
    def test_what_they_have_no_room_for_is_no_longer_expected_to_be_answered(self) -> None:
        fleet = ColdFleet(2, UPSTREAM_COUNT)
        pool = fleet.pools[0]
        fleet.make_dispatcher(pool)
        room_warm = count_answerable(pool, fleet.now_ms)
        fleet.state_cold(fleet.pools)
        assert count_answerable(pool, fleet.now_ms) < room_warm / 4

    def test_short_work_goes_to_the_dispatcher_while_many_are_cold(self) -> None:
        fleet = ColdFleet(2, 8)
        pool = fleet.pools[0]
        assert not pool.has_rate_limits(fleet.now_ms)
        pool.apply_cold("u0", COLD_MS, stated_ms=fleet.now_ms, now_ms=fleet.now_ms)
        assert not pool.has_rate_limits(fleet.now_ms)
        pool.apply_cold("u1", COLD_MS, stated_ms=fleet.now_ms, now_ms=fleet.now_ms)
        assert pool.has_rate_limits(fleet.now_ms)
        assert not pool.has_rate_limits(fleet.now_ms + COLD_MS + COLD_MARGIN_MS)


def count_answerable(pool: ServicePool, now_ms: float) -> int:
    """Return how many requests in the queue of a pool would be answered by their deadline."""
    parallel = 0.0
    for load in pool.by_id.values():
        parallel += min(load.slots, load.rate_limit.get_concurrency(120.0, now_ms))
    return int(parallel * KIND.deadline_ms / 120.0)


class TestStatements:
    """What ends a warm-up, and what begins another."""

    def make(self, *, started_ms: float = 0.0) -> RateLimit:
        limit = RateLimit(random=Random(1), started_ms=started_ms)
        limit.set_warm_up(5.0, started_ms)
        return limit

    def test_a_warm_up_ends_by_itself_when_it_was_stated_to(self) -> None:
        limit = self.make()
        limit.record_cold(3_000, stated_ms=100, now_ms=150)
        assert limit.is_warming_up(3_100)
        assert not limit.is_warming_up(3_100 + COLD_MARGIN_MS)
        assert count_sent(limit, from_ms=3_100 + COLD_MARGIN_MS, until_ms=3_500, most=50) == 50

    def test_an_upstream_that_is_cold_again_is_limited_again(self) -> None:
        limit = self.make()
        limit.record_cold(500, stated_ms=0, now_ms=0)
        limit.record_cold(0, stated_ms=700, now_ms=700)
        assert limit.allows_request(700)
        limit.record_cold(3_000, stated_ms=5_000, now_ms=5_040)
        assert not limit.allows_request(5_040)
        assert count_sent(limit, from_ms=5_040, until_ms=6_040, most=50) <= 5 + BURST_COUNT

    def test_a_later_statement_shortens_it_and_an_earlier_one_does_not_count(self) -> None:
        limit = self.make()
        limit.record_cold(3_000, stated_ms=100, now_ms=150)
        limit.record_cold(0, stated_ms=50, now_ms=160)
        assert limit.is_warming_up(160)
        limit.record_cold(0, stated_ms=170, now_ms=180)
        assert not limit.is_warming_up(180)

    def test_an_announcement_that_arrives_late_shortens_nothing(self) -> None:
        limit = self.make()
        limit.record_cold(3_000, stated_ms=100, now_ms=100)
        limit.record_announced_cold(600, 150)
        assert limit.is_warming_up(3_000)
        limit.record_announced_cold(9_000, 200)
        assert limit.is_warming_up(9_000)

    def test_an_announcement_that_a_later_answer_corrected_does_not_count_again(self) -> None:
        limit = self.make()
        limit.record_announced_cold(9_000, 150)
        limit.record_cold(0, stated_ms=200, now_ms=200)
        limit.record_announced_cold(9_000, 250)
        assert not limit.is_warming_up(250)

    def test_what_may_be_of_an_earlier_start_shortens_nothing(self) -> None:
        limit = self.make(started_ms=1_000)
        limit.record_announced_cold(4_000, 1_000)
        limit.record_cold(0, stated_ms=990, now_ms=1_010)
        assert limit.is_warming_up(1_010)
        limit.record_cold(5_000, stated_ms=995, now_ms=1_020)
        assert limit.is_warming_up(5_990)

    def test_the_lower_of_a_stated_rate_and_a_warm_up_binds(self) -> None:
        for stated_per_s, expected_per_s in [(2.0, 2.0), (40.0, 5.0)]:
            limit = self.make()
            limit.record_answer(stated_per_s, started_ms=0, now_ms=0)
            limit.record_cold(10_000, stated_ms=0, now_ms=0)
            sent_count = count_sent(limit, from_ms=0, until_ms=10_000, most=1_000)
            assert sent_count == pytest.approx(10 * expected_per_s, abs=BURST_COUNT)

    def test_the_next_dispatcher_has_no_more_of_a_stated_rate_while_its_upstream_is_cold(
        self,
    ) -> None:
        limit = self.make()
        limit.set_shares(RateShares(stated=0.01), 0)
        limit.record_answer(5.0, started_ms=0, now_ms=0)
        limit.record_cold(60_000, stated_ms=0, now_ms=0)
        assert count_sent(limit, from_ms=0, until_ms=10_000, most=1_000) <= 2

    def test_an_answer_that_lifts_the_stated_rate_leaves_the_warm_up(self) -> None:
        limit = self.make()
        limit.record_answer(2.0, started_ms=0, now_ms=0)
        limit.record_cold(3_000, stated_ms=0, now_ms=0)
        limit.record_answer(None, started_ms=10, now_ms=100)
        assert limit.per_s is None
        assert limit.is_warming_up(100)
        assert count_sent(limit, from_ms=100, until_ms=1_100, most=50) <= 5 + BURST_COUNT

    def test_a_process_that_was_frozen_neither_forgets_nor_saves_up(self) -> None:
        limit = self.make()
        limit.record_cold(20_000, stated_ms=0, now_ms=0)
        count_sent(limit, from_ms=0, until_ms=1_000, most=50)
        # Frozen for 15 s, after which the upstream is still cold.
        assert count_sent(limit, from_ms=16_000, until_ms=17_000, most=50) <= 5 + BURST_COUNT
        # Frozen again, beyond the end.
        assert not limit.is_warming_up(21_000)

    def test_without_a_warm_up_of_the_service_nothing_is_limited(self) -> None:
        limit = RateLimit(random=Random(1))
        limit.record_cold(3_000, stated_ms=0, now_ms=0)
        assert count_sent(limit, from_ms=0, until_ms=100, most=50) == 50


def count_sent(limit: RateLimit, *, from_ms: float, until_ms: float, most: int) -> int:
    """Send whenever the limit allows it, up to ``most`` requests; return how many were sent."""
    count = 0
    now_ms = from_ms
    while now_ms < until_ms and count < most:
        while limit.allows_request(now_ms) and count < most:
            limit.record_request(now_ms)
            count += 1
        now_ms += STEP_MS
    return count


class TestAnnouncements:
    """An announcement reaches the pool with the record of the upstream."""

    def test_a_start_that_is_cold_is_limited_from_its_first_request_on(self) -> None:
        fleet = ColdFleet(1, 0)
        pool = fleet.pools[0]
        pool.update(SERVICE, [make_cold_record(fleet.now_ms, cold_ms=3_000)], fleet.now_ms)
        assert pool.acquire(KIND, fleet.now_ms, exclude=frozenset()) is None

    def test_a_known_upstream_that_is_cold_again_is_limited(self) -> None:
        fleet = ColdFleet(1, 0)
        pool = fleet.pools[0]
        record = make_cold_record(fleet.now_ms, cold_ms=0)
        pool.update(SERVICE, [record], fleet.now_ms)
        assert pool.acquire(KIND, fleet.now_ms, exclude=frozenset()) is not None
        record.cold_until_ms = fleet.now_ms + 2_000
        pool.update(SERVICE, [record], fleet.now_ms)
        assert pool.acquire(KIND, fleet.now_ms, exclude=frozenset()) is None

    def test_a_zone_that_is_restored_comes_back_by_warm_up(self) -> None:
        fleet = ColdFleet(1, 0)
        pool = fleet.pools[0]
        records = [make_cold_record(fleet.now_ms, cold_ms=0)]
        pool.update(SERVICE, records, fleet.now_ms)
        for number, evacuated in ((1, {"z1": 1}), (2, {})):
            pool.zones.adopt(ZoneOrders(number, evacuated))
            pool.update(SERVICE, records, fleet.now_ms)
        assert pool.acquire(KIND, fleet.now_ms, exclude=frozenset()) is None
        pool.apply_cold("u0", 0, stated_ms=fleet.now_ms + 80, now_ms=fleet.now_ms + 80)
        assert pool.acquire(KIND, fleet.now_ms + 80, exclude=frozenset()) is not None

    def test_a_manifest_may_state_and_drop_a_warm_up(self) -> None:
        fleet = ColdFleet(1, 0)
        pool = fleet.pools[0]
        records = [make_cold_record(fleet.now_ms, cold_ms=3_000)]
        pool.update(SERVICE, records, fleet.now_ms)
        pool.update(msgspec.structs.replace(SERVICE, warm_up=None), records, fleet.now_ms)
        assert pool.acquire(KIND, fleet.now_ms, exclude=frozenset()) is not None
        pool.update(SERVICE, records, fleet.now_ms)
        assert pool.acquire(KIND, fleet.now_ms, exclude=frozenset()) is None


def make_cold_record(now_ms: float, *, cold_ms: int) -> UpstreamRecord:
    announcement = Announcement(
        id="u0",
        incarnation=1,
        sequence=1,
        address="10.0.0.1:80",
        zone="z1",
        services=["work"],
        slots=6,
        state="serving",
        cold_ms=cold_ms,
    )
    return UpstreamRecord(announcement, origin="", last_confirmed_ms=now_ms)


class TestHistories:
    @settings(max_examples=200, deadline=None)
    @given(
        rate_per_s=st.floats(0.3, 300),
        overshoot=st.floats(1, 3),
        slack=st.floats(6, 50),
        steps=st.lists(
            st.tuples(st.sampled_from(["first", "second", "both", "stated"]), st.floats(0, 900)),
            max_size=60,
        ),
    )
    def test_two_dispatchers_leave_room_for_all_others_in_any_history(
        self,
        rate_per_s: float,
        overshoot: float,
        slack: float,
        steps: list[tuple[str, float]],
    ) -> None:
        bound = WarmUpBound(overshoot=overshoot, slack=slack)
        warm_up = WarmUp(duration_ms=3_000, requests_per_second=rate_per_s)
        rate = bound.choose_rate(warm_up)
        assert rate is not None
        limits = [RateLimit(random=Random(n)) for n in range(2)]
        for limit in limits:
            limit.set_warm_up(rate, 0.0)
            limit.record_cold(3_600_000, stated_ms=0.0, now_ms=0.0)
        sent_ms: list[float] = []
        now_ms = 0.0
        for step, pause_ms in steps:
            now_ms += pause_ms
            if step == "stated":
                limits[0].record_cold(3_600_000, stated_ms=now_ms, now_ms=now_ms)
            chosen = {"first": limits[:1], "second": limits[1:], "both": limits}.get(step, [])
            for limit in chosen:
                while limit.allows_request(now_ms):
                    limit.record_request(now_ms)
                    sent_ms.append(now_ms)
        others = 2 * FALLBACK_SHARE * rate
        room = bound.count_allowed(rate_per_s) - others - 3 * math.sqrt(others)
        assert count_in_worst_second(sent_ms) <= room + 1e-6
