"""The load of one upstream: what was observed and reported, and estimates of its present value.

Every report is stale when it is read, since requests in flight there end within about the typical
latency. The weight of a report therefore has that latency as its half-life, and the upstream's
typical load replaces it.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random
from typing import Literal

from coltsfootrill.balancer.rate_limit import RateLimit

REPORT_HALF_LIFE_MIN_MS = 10.0
TYPICAL_WEIGHT = 0.05
SLOWNESS_WEIGHT = 0.2
SLOWNESS_MAX = 100.0
PACE_HALF_LIFE_MS = 400.0
# Without a fresh report the upstream may be slowed down by other work on its host.
PACE_UNKNOWN = 2.0
ERROR_HALF_LIFE_MS = 2_000.0
LIMIT_STEP = 0.2
LEAVING_PAUSE_MS = 1_000.0
LIMIT_SHED_FACTOR = 0.7
RAMP_MS = 2_000.0
RAMP_SHARE_MIN = 0.1
SHED_PAUSE_MS = 10.0
SHED_PAUSE_MAX_MS = 160.0
# An upstream that answered within this time is assumed to have an idle connection.
WARM_MS = 4_000.0
# More requests than this rarely end at one upstream while a report is in transit.
RECENT_ENDS_MAX_COUNT = 32
# A request of another instance may take up to this long from the choice to its upstream.
REMOTE_TRANSIT_MAX_MS = 100.0

OutlierReason = Literal["errors", "latency"]


class LoadReport:
    """Load that an upstream states on an answer: requests in flight there, and its slots.

    ``pace`` is the present latency there relative to the typical one, or ``None`` if the upstream
    does not report it.
    """

    __slots__ = ("in_flight", "pace", "slots", "state")

    def __init__(
        self, *, in_flight: int, slots: int, state: str, pace: float | None = None
    ) -> None:
        self.in_flight = in_flight
        self.slots = slots
        self.state = state
        self.pace = pace


class OutlierScore:
    """How the errors and the latency of an upstream compare with their limits in its service.

    ``by_errors`` and ``by_latency`` are multiples of the limit; from 1 on it may be ejected.
    """

    __slots__ = ("by_errors", "by_latency")

    def __init__(self, *, by_errors: float, by_latency: float) -> None:
        self.by_errors = by_errors
        self.by_latency = by_latency

    @property
    def limit_ratio(self) -> float:
        """Return the multiple of the limit that is exceeded most."""
        return max(self.by_errors, self.by_latency)

    @property
    def reason(self) -> OutlierReason:
        """Return what the limit that is exceeded most applies to."""
        return "errors" if self.by_errors > self.by_latency else "latency"


class UpstreamLoad:
    """State of one upstream incarnation as seen from this instance.

    ``slowness`` is the smoothed ratio of its latency to the typical latency of each kind.
    ``errors`` is a count that decays with the half-life ``ERROR_HALF_LIFE_MS``. ``limit`` bounds
    own requests in flight. ``pace`` is its last reported latency relative to the typical one.
    ``answered_at_ms`` is when it last answered a request of this instance. ``remote_tokens``
    identifies the requests that other instances sent; ``recent_ends`` holds the start and end
    times of the latest requests that ended. ``outlier_score`` is that of the last comparison with
    the others; it stays while the upstream is ejected. ``rate_limit`` holds the rate of requests
    that the upstream states, and that of its warm-up.
    """

    __slots__ = (
        "address",
        "answered_at_ms",
        "confirmed_at_ms",
        "consecutive_sheds",
        "ejected_until_ms",
        "ejection_count",
        "errors",
        "errors_at_ms",
        "id",
        "incarnation",
        "is_replaced",
        "limit",
        "needs_probe",
        "others_typical",
        "outlier_score",
        "pace",
        "pace_at_ms",
        "paused_until_ms",
        "ramp_from_ms",
        "rate_limit",
        "recent_ends",
        "remote_tokens",
        "reported_at_ms",
        "reported_others",
        "slots",
        "slowness",
        "started_by_token",
        "successes",
        "zone",
    )

    def __init__(
        self,
        *,
        id: str,
        incarnation: int,
        address: str,
        zone: str,
        slots: int,
        now_ms: float,
        rate_limit: RateLimit | None = None,
    ) -> None:
        self.rate_limit = rate_limit or RateLimit(random=Random(0))
        self.id = id
        self.incarnation = incarnation
        self.address = address
        self.zone = zone
        self.slots = slots
        self.limit = float(slots)
        # Set when another upstream answers at this address; the directory may show this only later.
        self.is_replaced = False
        self.started_by_token: dict[int, tuple[float, float]] = {}
        self.remote_tokens: set[int] = set()
        self.recent_ends: deque[tuple[float, float]] = deque(maxlen=RECENT_ENDS_MAX_COUNT)
        self.reported_others = 0.0
        self.reported_at_ms = now_ms
        self.others_typical = 0.0
        self.pace = 1.0
        self.pace_at_ms = float("-inf")
        self.slowness = 1.0
        self.errors = 0.0
        self.errors_at_ms = now_ms
        self.successes = 0
        self.consecutive_sheds = 0
        self.paused_until_ms = 0.0
        self.ejected_until_ms = 0.0
        self.ejection_count = 0
        self.outlier_score = OutlierScore(by_errors=0.0, by_latency=0.0)
        self.needs_probe = False
        self.confirmed_at_ms = 0.0
        self.answered_at_ms = float("-inf")
        self.ramp_from_ms = now_ms

    @property
    def in_flight(self) -> int:
        """Return the number of own requests in flight."""
        return len(self.started_by_token)


def estimate_in_flight(load: UpstreamLoad, now_ms: float, *, typical_ms: float) -> float:
    """Return the requests expected in flight at the upstream, own ones included."""
    age_ms = max(0.0, now_ms - load.reported_at_ms)
    weight = math.pow(0.5, age_ms / max(typical_ms, REPORT_HALF_LIFE_MIN_MS))
    others = weight * load.reported_others + (1 - weight) * load.others_typical
    return load.in_flight + others


def estimate_pace(load: UpstreamLoad, now_ms: float) -> float:
    """Return the expected pace of the upstream, from its last report and ``PACE_UNKNOWN``.

    The pace of a host changes every few hundred milliseconds, so a report soon loses its value.
    """
    weight = math.pow(0.5, (now_ms - load.pace_at_ms) / PACE_HALF_LIFE_MS)
    return weight * load.pace + (1 - weight) * PACE_UNKNOWN


def estimate_slowness(load: UpstreamLoad, now_ms: float) -> float:
    """Return the slowness, at least that of the longest wait still in progress.

    An upstream that stops answering yields no new latencies; the age of its open requests is the
    first evidence of that.
    """
    slowness = load.slowness
    for started_ms, typical_ms in load.started_by_token.values():
        slowness = max(slowness, (now_ms - started_ms) / typical_ms)
    return min(slowness, SLOWNESS_MAX)


def estimate_errors(load: UpstreamLoad, now_ms: float) -> float:
    """Return the decayed count of errors."""
    return load.errors * math.pow(0.5, (now_ms - load.errors_at_ms) / ERROR_HALF_LIFE_MS)


def get_ramp_share(load: UpstreamLoad, now_ms: float) -> float:
    """Return the slow-start share of its normal work that a cold or returning upstream gets."""
    share = (now_ms - load.ramp_from_ms) / RAMP_MS
    return min(1.0, max(RAMP_SHARE_MIN, share))


def is_available(load: UpstreamLoad, now_ms: float) -> bool:
    """Return whether a request may start now: not blocked, and below all limits."""
    return (
        not is_blocked(load, now_ms)
        and load.in_flight < max(1, int(load.limit))
        and load.rate_limit.allows_request(now_ms)
    )


def get_parallel(load: UpstreamLoad, now_ms: float, *, typical_ms: float) -> float:
    """Return how many requests of this instance may run there at a time, within its limits."""
    return min(max(1, int(load.limit)), load.rate_limit.get_concurrency(typical_ms, now_ms))


def is_blocked(load: UpstreamLoad, now_ms: float) -> bool:
    """Return whether this instance sends no new work there, even if slots are free."""
    return load.is_replaced or now_ms < load.ejected_until_ms or now_ms < load.paused_until_ms


def is_warm(load: UpstreamLoad, now_ms: float) -> bool:
    """Return whether the upstream answered this instance within ``WARM_MS``."""
    return now_ms - load.answered_at_ms <= WARM_MS


def record_start(load: UpstreamLoad, *, token: int, now_ms: float, typical_ms: float) -> None:
    """Record the start of a request; ``typical_ms`` is the latency expected of it."""
    load.started_by_token[token] = (now_ms, max(typical_ms, 0.1))


def record_end(load: UpstreamLoad, *, token: int, now_ms: float | None = None) -> float | None:
    """Record the end of a request, whatever its result, and return when it started.

    Return ``None`` if its end is already recorded. Without ``now_ms`` the request counts as one
    that never reached the upstream.
    """
    started = load.started_by_token.pop(token, None)
    load.remote_tokens.discard(token)
    if started is None:
        return None
    if now_ms is not None:
        load.recent_ends.append((started[0], now_ms))
    return started[0]


def count_own_in_flight_at(load: UpstreamLoad, at_ms: float) -> int:
    """Return how many own requests were in flight at a recent time ``at_ms``."""
    running = sum(started_ms <= at_ms for started_ms, _ in load.started_by_token.values())
    ended = sum(started_ms <= at_ms < ended_ms for started_ms, ended_ms in load.recent_ends)
    return running + ended


def drop_excess_remote(load: UpstreamLoad, *, reported: int, at_ms: float) -> None:
    """Drop remote requests in excess of the ``reported`` number of requests at the upstream.

    The datagrams that reported their ends were lost. The oldest requests are dropped first.
    """
    if not load.remote_tokens:
        return
    settled = [
        (started_ms, token)
        for token, (started_ms, _) in load.started_by_token.items()
        if started_ms <= at_ms - REMOTE_TRANSIT_MAX_MS
    ]
    excess = len(settled) - reported
    if excess <= 0:
        return
    remote = sorted(item for item in settled if item[1] in load.remote_tokens)
    for _, token in remote[:excess]:
        record_end(load, token=token)


def record_report(load: UpstreamLoad, report: LoadReport, *, now_ms: float) -> None:
    """Record the load that an upstream stated at ``now_ms``.

    A report that came with an answer must be recorded before the end of that request.
    """
    load.slots = report.slots
    if report.pace is not None:
        load.pace = report.pace
        load.pace_at_ms = now_ms
    drop_excess_remote(load, reported=report.in_flight, at_ms=now_ms)
    others = max(0.0, float(report.in_flight - count_own_in_flight_at(load, now_ms)))
    load.reported_others = others
    load.reported_at_ms = now_ms
    load.others_typical += TYPICAL_WEIGHT * (others - load.others_typical)
    if report.state == "leaving":
        # Send no new work there until its announcement arrives.
        load.paused_until_ms = max(load.paused_until_ms, now_ms + LEAVING_PAUSE_MS)


def record_success(load: UpstreamLoad, *, latency_ms: float, typical_ms: float) -> None:
    """Record a good answer."""
    ratio = min(latency_ms / max(typical_ms, 0.1), SLOWNESS_MAX)
    load.slowness += SLOWNESS_WEIGHT * (ratio - load.slowness)
    load.limit = min(float(load.slots), load.limit + LIMIT_STEP)
    load.consecutive_sheds = 0
    load.successes += 1


def record_error(load: UpstreamLoad, *, now_ms: float) -> None:
    """Record a failed attempt.

    Its latency is ignored, so that an upstream that fails fast does not appear to be fast.
    """
    load.errors = estimate_errors(load, now_ms) + 1
    load.errors_at_ms = now_ms


def record_shed(load: UpstreamLoad, *, now_ms: float) -> None:
    """Record that the upstream refused a request for lack of capacity."""
    load.limit = max(1.0, load.limit * LIMIT_SHED_FACTOR)
    pause_ms = SHED_PAUSE_MS * 2 ** min(load.consecutive_sheds, 10)
    load.consecutive_sheds += 1
    load.paused_until_ms = now_ms + min(pause_ms, SHED_PAUSE_MAX_MS)


def record_straggle(load: UpstreamLoad, *, waited_ms: float, typical_ms: float) -> None:
    """Record that a request was abandoned after ``waited_ms`` without an answer."""
    ratio = min(waited_ms / max(typical_ms, 0.1), SLOWNESS_MAX)
    load.slowness += SLOWNESS_WEIGHT * max(0.0, ratio - load.slowness)
