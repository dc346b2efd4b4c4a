"""When a second attempt starts beside the first one. All times are in milliseconds."""

from __future__ import annotations

import math

from coltsfootrill.manifest.model import Kind
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.request import RequestTimes

SILENCE_MIN_MS = 60.0
SILENCE_QUANTILE = 0.99
SILENCE_FACTOR = 3.0
# A second attempt needs about its usual time, and somewhat more for the way and for chance.
HEDGE_WORK_FACTOR = 1.3
# Earlier than this many usual times most first attempts would still be answered.
HEDGE_WAIT_FACTOR = 1.4


def get_extra_attempt_at_ms(
    controller: AdmissionController,
    kind: Kind,
    times: RequestTimes,
    *,
    sent_ms: float,
    was_idle: bool,
) -> float:
    """Return when a second attempt starts beside one of ``sent_ms``, if it is allowed then.

    ``was_idle`` tells that the first one went out on a connection that had been idle, which may
    have been lost without a sign.
    """
    if not kind.idempotent:
        return times.deadline_ms
    after_ms = math.inf
    if kind.hedge_quantile is not None:
        quantile_ms = controller.get_quantile_ms(kind, kind.hedge_quantile)
        after_ms = math.inf if quantile_ms is None else quantile_ms
    elif kind.target_ms is not None:
        after_ms = _get_hedge_delay_ms(
            controller, kind, times.arrived_ms + kind.target_ms - sent_ms
        )
    if was_idle:
        after_ms = min(after_ms, get_silence_timeout_ms(controller, kind))
    return sent_ms + after_ms


def get_silence_timeout_ms(controller: AdmissionController, kind: Kind) -> float:
    """Return how long a connection may make no progress before it is doubted."""
    typical_ms = controller.get_quantile_ms(kind, SILENCE_QUANTILE)
    if typical_ms is None:
        # Too few answers yet; a slow kind must not look silent until there are enough.
        typical_ms = float(kind.target_ms or SILENCE_MIN_MS)
    return max(SILENCE_MIN_MS, SILENCE_FACTOR * typical_ms)


def get_target_left_ms(kind: Kind, times: RequestTimes, now_ms: float) -> float:
    """Return the time left until the target; a second attempt that misses it is no use."""
    if kind.target_ms is None:
        return math.inf
    return times.arrived_ms - times.age_ms + kind.target_ms - now_ms


def _get_hedge_delay_ms(
    controller: AdmissionController, kind: Kind, target_left_ms: float
) -> float:
    """Return after how long a second attempt is the last that can still meet the target."""
    typical_ms = controller.get_typical_ms(kind)
    return max(HEDGE_WAIT_FACTOR * typical_ms, target_left_ms - HEDGE_WORK_FACTOR * typical_ms)
