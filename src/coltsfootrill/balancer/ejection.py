"""Ejection of stragglers and failing upstreams, with a cap, and their return in steps."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_errors
from coltsfootrill.balancer.load import estimate_slowness

EJECTED_SHARE_MAX = 1 / 3
ERRORS_TO_EJECT = 3.0
# So many times the errors of the better third are added to that.
ERRORS_FACTOR = 2.0
SLOWNESS_TO_EJECT = 4.0
EJECTION_MS = 250.0
EJECTION_MAX_MS = 10_000.0
CLEAN_SUCCESSES = 20
DOUBLINGS_MAX_COUNT = 16


def get_cap(count: int) -> int:
    """Return how many of ``count`` upstreams may be ejected at a time."""
    return int(count * EJECTED_SHARE_MAX)


def eject_outliers(loads: Sequence[UpstreamLoad], *, now_ms: float) -> list[UpstreamLoad]:
    """Eject the worst upstreams of one service, up to the cap, and return them as they are then.

    Slowness is compared with the median, and errors with those of the better third, so that a
    service that is slow or fails as a whole ejects none.
    """
    room = get_cap(len(loads)) - sum(now_ms < load.ejected_until_ms for load in loads)
    if room <= 0:
        return []
    slowness_by_id = {load.id: estimate_slowness(load, now_ms) for load in loads}
    usual_slowness = max(_find_quantile(slowness_by_id.values(), 1 / 2), 1.0)
    errors_by_id = {load.id: estimate_errors(load, now_ms) for load in loads}
    usual_errors = _find_quantile(errors_by_id.values(), EJECTED_SHARE_MAX)
    errors_to_eject = ERRORS_TO_EJECT + ERRORS_FACTOR * usual_errors

    def get_badness(load: UpstreamLoad) -> float:
        by_errors = errors_by_id[load.id] / errors_to_eject
        by_slowness = slowness_by_id[load.id] / (usual_slowness * SLOWNESS_TO_EJECT)
        return max(by_errors, by_slowness)

    outliers = [
        load for load in loads if now_ms >= load.ejected_until_ms and get_badness(load) >= 1
    ]
    outliers.sort(key=get_badness, reverse=True)
    for load in outliers[:room]:
        eject(load, now_ms=now_ms)
    return outliers[:room]


def _find_quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * quantile)]


def eject(load: UpstreamLoad, *, now_ms: float) -> None:
    """Eject one upstream; each ejection in a row doubles the time."""
    if load.successes >= CLEAN_SUCCESSES:
        load.ejection_count = 0
    duration_ms = min(
        EJECTION_MS * 2 ** min(load.ejection_count, DOUBLINGS_MAX_COUNT), EJECTION_MAX_MS
    )
    load.ejection_count += 1
    load.successes = 0
    load.ejected_until_ms = now_ms + duration_ms
    load.needs_probe = True
    # It returns in steps, and is judged anew from what its first requests show.
    load.ramp_from_ms = load.ejected_until_ms
    load.slowness = min(load.slowness, SLOWNESS_TO_EJECT / 2)
    load.errors = 0.0
