"""Outlier ejection of slow and failing upstreams, with a cap and a slow start on return."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from coltsfootrill.balancer.load import OutlierScore
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_errors
from coltsfootrill.balancer.load import estimate_slowness

EJECTED_SHARE_MAX = 1 / 3
ERRORS_TO_EJECT = 3.0
# This multiple of the error count at the first third is added to ERRORS_TO_EJECT.
ERRORS_FACTOR = 2.0
SLOWNESS_TO_EJECT = 4.0
EJECTION_MS = 250.0
EJECTION_MAX_MS = 10_000.0
SUCCESSES_TO_RESET = 20
DOUBLINGS_MAX_COUNT = 16


def get_cap(count: int) -> int:
    """Return how many of ``count`` upstreams may be ejected at a time."""
    return int(count * EJECTED_SHARE_MAX)


def eject_outliers(loads: Sequence[UpstreamLoad], *, now_ms: float) -> list[UpstreamLoad]:
    """Eject the worst upstreams of one service, up to the cap, and return those ejected.

    Slowness is compared with the median and the error count with that at the first third, so
    that no upstream is ejected while the whole service is slow or failing.
    """
    if not any(_may_be_outlier(load, now_ms) for load in loads):
        return []
    free_count = get_cap(len(loads)) - sum(now_ms < load.ejected_until_ms for load in loads)
    if free_count <= 0:
        return []
    slowness_by_id = {load.id: estimate_slowness(load, now_ms) for load in loads}
    median_slowness = max(_find_quantile(slowness_by_id.values(), 1 / 2), 1.0)
    errors_by_id = {load.id: estimate_errors(load, now_ms) for load in loads}
    baseline_errors = _find_quantile(errors_by_id.values(), EJECTED_SHARE_MAX)
    errors_to_eject = ERRORS_TO_EJECT + ERRORS_FACTOR * baseline_errors

    candidates = [load for load in loads if now_ms >= load.ejected_until_ms]
    for load in candidates:
        load.outlier_score = OutlierScore(
            by_errors=errors_by_id[load.id] / errors_to_eject,
            by_latency=slowness_by_id[load.id] / (median_slowness * SLOWNESS_TO_EJECT),
        )
    outliers = [load for load in candidates if load.outlier_score.limit_ratio >= 1]
    outliers.sort(key=lambda load: load.outlier_score.limit_ratio, reverse=True)
    for load in outliers[:free_count]:
        eject(load, now_ms=now_ms)
    return outliers[:free_count]


def _may_be_outlier(load: UpstreamLoad, now_ms: float) -> bool:
    """Return whether the upstream exceeds a limit that applies while all others do well.

    The limits are never lower, and this is much cheaper than the comparison with the others.
    """
    return load.errors >= ERRORS_TO_EJECT or estimate_slowness(load, now_ms) >= SLOWNESS_TO_EJECT


def _find_quantile(values: Iterable[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * quantile)]


def eject(load: UpstreamLoad, *, now_ms: float) -> None:
    """Eject one upstream; each consecutive ejection doubles the duration.

    ``SUCCESSES_TO_RESET`` good answers since the last ejection reset the duration.
    """
    if load.successes >= SUCCESSES_TO_RESET:
        load.ejection_count = 0
    duration_ms = min(
        EJECTION_MS * 2 ** min(load.ejection_count, DOUBLINGS_MAX_COUNT), EJECTION_MAX_MS
    )
    load.ejection_count += 1
    load.successes = 0
    load.ejected_until_ms = now_ms + duration_ms
    load.needs_probe = True
    # It returns with a slow start. Errors are reset and slowness is capped at half the threshold,
    # so that its first requests decide whether it is ejected again.
    load.ramp_from_ms = load.ejected_until_ms
    load.slowness = min(load.slowness, SLOWNESS_TO_EJECT / 2)
    load.errors = 0.0
