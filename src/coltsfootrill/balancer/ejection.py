"""Ejection of stragglers and failing upstreams, with a cap, and their return in steps."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_errors
from coltsfootrill.balancer.load import estimate_slowness

EJECTED_SHARE_MAX = 1 / 3
ERRORS_TO_EJECT = 3.0
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

    Slowness is compared with the median, so that a service that is slow as a whole ejects none.
    """
    room = get_cap(len(loads)) - sum(now_ms < load.ejected_until_ms for load in loads)
    if room <= 0:
        return []
    slowness_by_id = {load.id: estimate_slowness(load, now_ms) for load in loads}
    ordered = sorted(slowness_by_id.values())
    median = max(ordered[len(ordered) // 2], 1.0)

    def get_badness(load: UpstreamLoad) -> float:
        by_errors = estimate_errors(load, now_ms) / ERRORS_TO_EJECT
        by_slowness = slowness_by_id[load.id] / (median * SLOWNESS_TO_EJECT)
        return max(by_errors, by_slowness)

    outliers = [
        load for load in loads if now_ms >= load.ejected_until_ms and get_badness(load) >= 1
    ]
    outliers.sort(key=get_badness, reverse=True)
    for load in outliers[:room]:
        eject(load, now_ms=now_ms)
    return outliers[:room]


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
