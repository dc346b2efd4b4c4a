"""Latency of one request kind: its usual value and its quantiles over recent answers."""

from __future__ import annotations

WINDOW_COUNT = 256
REFRESH_COUNT = 16
SAMPLES_MIN_COUNT = 20
USUAL_WEIGHT = 0.05
USUAL_START_MS = 10.0
SAME_TIME_SHARE = 0.98
FIRST_WEIGHT = 0.02
FIRST_SHARE_MIN = 0.4


class StatedTimeouts:
    """The time that callers of a kind state, to tell those that come back after a refusal.

    A caller that comes back has less time left. That shows only where nearly all state the same
    time at first.
    """

    __slots__ = ("_is_first_share", "_longest_ms")

    def __init__(self) -> None:
        self._longest_ms = 0.0
        self._is_first_share = 0.0

    def get_age_ms(self, stated_ms: float) -> float:
        """Take in a stated time; return how long the caller has been waiting already."""
        if stated_ms > self._longest_ms:
            self._longest_ms = stated_ms
            self._is_first_share = 0.0
        is_first = stated_ms >= SAME_TIME_SHARE * self._longest_ms
        self._is_first_share += FIRST_WEIGHT * (is_first - self._is_first_share)
        if is_first or self._is_first_share < FIRST_SHARE_MIN:
            return 0.0
        return self._longest_ms - stated_ms


class KindLatency:
    """The last ``WINDOW_COUNT`` latencies, and the smoothed one at the usual pace, in ms."""

    __slots__ = (
        "_next",
        "_ordered",
        "_since_refresh",
        "_usual_count",
        "_window",
        "stated",
        "usual_ms",
    )

    def __init__(self) -> None:
        self.usual_ms = USUAL_START_MS
        self._usual_count = 0
        self.stated = StatedTimeouts()
        self._window: list[float] = []
        self._ordered: list[float] = []
        self._next = 0
        self._since_refresh = 0

    def add(self, latency_ms: float, *, pace: float = 1.0, is_saturated: bool = False) -> None:
        """Take in the latency of one good answer, got at ``pace`` times the usual time.

        ``is_saturated`` tells that the upstream was full: the time that the request waited there
        must not count as its work, or under load nothing would seem to be answered in time.
        """
        if not is_saturated:
            self._add_usual(latency_ms / max(pace, 1.0))
        if len(self._window) < WINDOW_COUNT:
            self._window.append(latency_ms)
        else:
            self._window[self._next] = latency_ms
            self._next = (self._next + 1) % WINDOW_COUNT
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_COUNT:
            self._since_refresh = 0
            self._ordered = sorted(self._window)

    def seed(self, usual_ms: float) -> None:
        """Take the usual latency that another instance has learnt, until there are answers."""
        if self._usual_count == 0 and usual_ms > 0:
            self.usual_ms = usual_ms

    @property
    def is_learnt(self) -> bool:
        """Return whether there were answers."""
        return self._usual_count > 0

    def _add_usual(self, work_ms: float) -> None:
        if self._usual_count == 0:
            self.usual_ms = work_ms
        self._usual_count += 1
        # The clip keeps one straggler from making the usual latency look large.
        clipped_ms = min(work_ms, 4 * self.usual_ms)
        weight = max(USUAL_WEIGHT, 1 / self._usual_count)
        self.usual_ms += weight * (clipped_ms - self.usual_ms)

    def get_quantile_ms(self, quantile: float) -> float | None:
        """Return a quantile of recent latencies, ``None`` while there are too few."""
        count = len(self._ordered)
        if count < SAMPLES_MIN_COUNT:
            return None
        return self._ordered[min(count - 1, int(quantile * count))]
