from __future__ import annotations

import pytest

from coltsfootrill.quotas.limits import QuotaBounds
from coltsfootrill.quotas.limits import count_deciders_max
from coltsfootrill.quotas.limits import make_bucket_limit
from testing.quotas.fleet import BOUNDS
from testing.quotas.fleet import make_organisation


@pytest.mark.parametrize("window_ms", [1_000.0, 5_000.0, 60_000.0])
@pytest.mark.parametrize("overshoot", [0.0, 0.1, 0.5])
@pytest.mark.parametrize("slack", [0.0, 3.0, 20.0])
@pytest.mark.parametrize("rate_per_s", [0.1, 1.0, 160.0, 5_000.0])
@pytest.mark.parametrize("burst", [0.0, 1.0, 160.0])
def test_the_parts_of_all_deciders_stay_inside_the_bound(
    window_ms: float, overshoot: float, slack: float, rate_per_s: float, burst: float
) -> None:
    bounds = QuotaBounds(window_ms=window_ms, overshoot=overshoot, slack=slack)
    organisation = make_organisation(rate_per_s, burst)
    deciders = count_deciders_max(organisation, bounds)
    limit = make_bucket_limit(organisation, bounds, deciders=deciders)
    span_ms = window_ms + limit.valid_ms
    most = limit.capacity + limit.rate_per_ms * span_ms
    allowed = bounds.get_quota(organisation) + bounds.get_margin(organisation)
    assert deciders * most <= allowed * (1 + 1e-9)


def test_the_rate_and_the_burst_of_a_usual_quota_are_handed_out_whole() -> None:
    limit = make_bucket_limit(make_organisation(160, 160), BOUNDS, deciders=3)
    assert limit.rate_per_ms * 3 == pytest.approx(0.16)
    assert limit.capacity * 3 >= 160


def test_a_quota_without_a_burst_lets_whole_requests_through() -> None:
    bounds = QuotaBounds(window_ms=5_000.0, overshoot=0.1, slack=0.0)
    organisation = make_organisation(0.5, 0)
    assert count_deciders_max(organisation, bounds) == 1
    assert make_bucket_limit(organisation, bounds, deciders=1).capacity == 1


def test_a_small_quota_has_fewer_deciders() -> None:
    bounds = QuotaBounds(window_ms=5_000.0, overshoot=0.1, slack=0.0)
    assert count_deciders_max(make_organisation(1, 4), bounds) == 2
    assert count_deciders_max(make_organisation(160, 160), bounds) == 3
