from __future__ import annotations

from random import Random

from coltsfootrill.balancer import least_expected_wait
from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import record_error
from coltsfootrill.balancer.load import record_start
from coltsfootrill.balancer.load import record_success
from testing.balancer.loads import make_load


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
        near = make_load("near")
        far = make_load("far", zone="z2")
        assert _choose_often([near, far]) == {"near": 1_000}
        for token in range(6):
            record_start(near, token=token, now_ms=10_000, typical_ms=10)
        assert _choose_often([near, far]) == {"far": 1_000}

    def test_an_upstream_that_fails_fast_does_not_attract_requests(self) -> None:
        failing = make_load("failing")
        healthy = make_load("healthy")
        for _ in range(5):
            record_error(failing, now_ms=10_000)
            record_success(healthy, latency_ms=12, typical_ms=10)
        assert _choose_often([failing, healthy]) == {"healthy": 1_000}

    def test_a_long_open_request_marks_its_upstream_as_slow(self) -> None:
        stuck = make_load("stuck")
        healthy = make_load("healthy")
        record_start(stuck, token=1, now_ms=9_000, typical_ms=10)
        record_start(healthy, token=2, now_ms=9_999, typical_ms=10)
        assert _choose_often([stuck, healthy]) == {"healthy": 1_000}

    def test_a_cold_upstream_is_used_less_during_its_slow_start(self) -> None:
        cold = make_load("cold")
        warm = make_load("warm")
        cold.ramp_from_ms = 10_000
        record_start(warm, token=1, now_ms=10_000, typical_ms=10)
        assert _choose_often([cold, warm]) == {"warm": 1_000}

    def test_equal_upstreams_get_similar_numbers_of_requests(self) -> None:
        counts = _choose_often([make_load(f"u{n}") for n in range(8)])
        assert set(counts) == {f"u{n}" for n in range(8)}
        assert max(counts.values()) < 4 * min(counts.values())
