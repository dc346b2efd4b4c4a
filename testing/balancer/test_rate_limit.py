"""The rate that an upstream in need states, and what it gets from all instances together.

The bounds are those of the promise to upstreams: in any four seconds one and a half times the
stated rate and five requests, from three seconds after the first statement on.
"""

from __future__ import annotations

import math
from random import Random

import pytest

from coltsfootrill.balancer.rate_limit import FALLBACK_SHARE
from coltsfootrill.balancer.rate_limit import WHOLE_SHARE
from coltsfootrill.balancer.rate_limit import RateLimit
from coltsfootrill.balancer.rate_limit import RateShares

STEP_MS = 5.0
SPAN_MS = 60_000.0
WINDOW_MS = 4_000.0
SETTLED_MS = 3_000.0
EXCESS_RATIO = 1.5
EXCESS_COUNT = 5
INSTANCES_COUNT = 22


def count_allowed(per_s: float) -> float:
    return EXCESS_RATIO * per_s * WINDOW_MS / 1_000 + EXCESS_COUNT


def count_most(sent_ms: list[float]) -> int:
    """Return the largest number of requests in any window from ``SETTLED_MS`` on."""
    counted = [at_ms for at_ms in sent_ms if at_ms >= SETTLED_MS]
    return max(
        (sum(start <= at_ms < start + WINDOW_MS for at_ms in counted) for start in counted),
        default=0,
    )


def make_limit(per_s: float, *, share: float = WHOLE_SHARE, seed: int = 1) -> RateLimit:
    limit = RateLimit(shares=RateShares(stated=share), random=Random(seed))
    limit.record_answer(per_s, started_ms=0, now_ms=0)
    return limit


def send(
    limits: list[RateLimit], *, from_ms: float = 0.0, until_ms: float = SPAN_MS
) -> list[float]:
    """Send from all instances whenever their limits allow it; return the times."""
    sent_ms: list[float] = []
    now_ms = from_ms
    while now_ms < until_ms:
        for limit in limits:
            if limit.allows_request(now_ms):
                limit.record_request(now_ms)
                sent_ms.append(now_ms)
        now_ms += STEP_MS
    return sent_ms


class TestStatedRate:
    @pytest.mark.parametrize("per_s", [0.0, 0.1, 2.0, 2.7, 40.0])
    def test_an_upstream_gets_no_more_than_it_states(self, per_s: float) -> None:
        sent_ms = send([make_limit(per_s)])
        assert count_most(sent_ms) <= count_allowed(per_s)
        # Most of what it takes is used, and even at a rate of 0 some requests ask again.
        assert len(sent_ms) >= max(0.9 * per_s * SPAN_MS / 1_000, 1)

    def test_a_pause_does_not_save_up_more_than_a_small_burst(self) -> None:
        limit = make_limit(2.0)
        sent_ms = send([limit], from_ms=30_000)
        assert count_most(sent_ms) <= count_allowed(2.0)

    @pytest.mark.parametrize("seed", range(20))
    def test_instances_that_all_choose_themselves_share_the_rate(self, seed: int) -> None:
        share = FALLBACK_SHARE / INSTANCES_COUNT
        limits = [make_limit(2.0, share=share, seed=seed * 100 + n) for n in range(INSTANCES_COUNT)]
        # None of them has used its share before the dispatcher is lost.
        sent_ms = [*send([make_limit(2.0)], until_ms=30_000), *send(limits, from_ms=28_000)]
        assert count_most(sent_ms) <= count_allowed(2.0)
        assert len(send(limits, from_ms=SPAN_MS, until_ms=2 * SPAN_MS)) > 0

    def test_a_dispatcher_that_takes_over_has_the_whole_rate_without_a_burst(self) -> None:
        limit = make_limit(2.0, share=FALLBACK_SHARE / INSTANCES_COUNT)
        before_ms = send([make_limit(2.0)], until_ms=30_000)
        limit.set_shares(RateShares(), 30_000)
        after_ms = send([limit], from_ms=30_000)
        assert count_most(before_ms + after_ms) <= count_allowed(2.0)
        assert len(after_ms) >= 0.9 * 2.0 * 30


class TestStatements:
    def test_a_later_answer_without_a_rate_lifts_the_limit(self) -> None:
        limit = make_limit(2.0)
        limit.record_answer(None, started_ms=10, now_ms=100)
        assert limit.per_s is None
        assert limit.allows_request(100)

    def test_an_answer_to_an_earlier_request_lifts_nothing(self) -> None:
        limit = RateLimit(random=Random(1))
        limit.record_answer(2.0, started_ms=50, now_ms=100)
        limit.record_answer(None, started_ms=40, now_ms=120)
        assert limit.per_s == 2.0

    def test_what_another_instance_was_told_counts_until_it_is_lifted(self) -> None:
        limit = RateLimit(random=Random(1))
        limit.record_shared(2.0, 100)
        assert not limit.allows_request(110)
        limit.record_answer(None, started_ms=200, now_ms=300)
        limit.record_shared(2.0, 250)
        assert limit.per_s is None
        limit.record_shared(3.0, 350)
        assert limit.per_s == 3.0

    def test_a_rate_bounds_how_many_requests_run_at_a_time(self) -> None:
        limit = make_limit(2.0)
        assert limit.get_concurrency(250, 0) == pytest.approx(0.5)
        limit.record_answer(None, started_ms=1, now_ms=2)
        assert limit.get_concurrency(250, 0) == math.inf
