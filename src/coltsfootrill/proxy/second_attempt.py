"""When to send a second attempt while the first is in progress. All times in milliseconds."""

from __future__ import annotations

import math

from coltsfootrill.manifest.model import Kind
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.request import RequestTimes

SILENCE_MIN_MS = 60.0
SILENCE_QUANTILE = 0.99
SILENCE_FACTOR = 3.0
# A second attempt takes about the typical latency, plus a margin for the network and variance.
HEDGE_WORK_FACTOR = 1.3
# Before this multiple of the typical latency, most first attempts would still be answered.
HEDGE_WAIT_FACTOR = 1.4


def get_second_attempt_at_ms(
    controller: AdmissionController,
    kind: Kind,
    times: RequestTimes,
    *,
    sent_ms: float,
    was_idle: bool,
) -> float:
    """Return when to send a second attempt, if one is allowed, for a first sent at ``sent_ms``.

    ``was_idle`` states that the first attempt was sent on a connection that had been idle. Such a
    connection may have been lost without an error.
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
    """Return how long a connection may make no progress before it is treated as lost."""
    quantile_ms = controller.get_quantile_ms(kind, SILENCE_QUANTILE)
    if quantile_ms is None:
        # With too few answers for a quantile, the target is used instead, so that connections are
        # not treated as lost while a slow kind is processed.
        quantile_ms = float(kind.target_ms or SILENCE_MIN_MS)
    return max(SILENCE_MIN_MS, SILENCE_FACTOR * quantile_ms)


def get_target_left_ms(kind: Kind, times: RequestTimes, now_ms: float) -> float:
    """Return the time left until the target; a second attempt is useful only within it."""
    if kind.target_ms is None:
        return math.inf
    return times.arrived_ms - times.age_ms + kind.target_ms - now_ms


def _get_hedge_delay_ms(
    controller: AdmissionController, kind: Kind, target_left_ms: float
) -> float:
    """Return the longest delay after which a second attempt can still meet the target.

    The delay is never shorter than ``HEDGE_WAIT_FACTOR`` typical latencies.
    """
    typical_ms = controller.get_typical_ms(kind)
    return max(HEDGE_WAIT_FACTOR * typical_ms, target_left_ms - HEDGE_WORK_FACTOR * typical_ms)
