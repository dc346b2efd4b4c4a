"""Latency of one request kind: its typical value and quantiles over recent answers."""

from __future__ import annotations

WINDOW_COUNT = 256
REFRESH_COUNT = 16
SAMPLES_MIN_COUNT = 20
TYPICAL_WEIGHT = 0.05
TYPICAL_START_MS = 10.0
SAME_TIMEOUT_SHARE = 0.98
FIRST_SHARE_WEIGHT = 0.02
FIRST_SHARE_MIN = 0.4


class StatedTimeouts:
    """The timeouts that callers of a kind state, used to detect retries after a refusal.

    A caller that retries states a shorter timeout. This is conclusive only if a large share of
    the requests (``FIRST_SHARE_MIN``) state the same, longest timeout.
    """

    __slots__ = ("_first_share", "_longest_ms")

    def __init__(self) -> None:
        self._longest_ms = 0.0
        self._first_share = 0.0

    def get_age_ms(self, stated_ms: float) -> float:
        """Record a stated timeout and return for how long the caller has already been waiting."""
        if stated_ms > self._longest_ms:
            self._longest_ms = stated_ms
            self._first_share = 0.0
        is_first = stated_ms >= SAME_TIMEOUT_SHARE * self._longest_ms
        self._first_share += FIRST_SHARE_WEIGHT * (is_first - self._first_share)
        if is_first or self._first_share < FIRST_SHARE_MIN:
            return 0.0
        return self._longest_ms - stated_ms


class KindLatency:
    """The last ``WINDOW_COUNT`` latencies, and their smoothed value at normal pace, in ms."""

    __slots__ = (
        "_next",
        "_ordered",
        "_since_refresh",
        "_typical_count",
        "_window",
        "stated",
        "typical_ms",
    )

    def __init__(self) -> None:
        self.typical_ms = TYPICAL_START_MS
        self._typical_count = 0
        self.stated = StatedTimeouts()
        self._window: list[float] = []
        self._ordered: list[float] = []
        self._next = 0
        self._since_refresh = 0

    def add(self, latency_ms: float, *, pace: float = 1.0, is_saturated: bool = False) -> None:
        """Record the latency of one good answer from an upstream that had the given ``pace``.

        ``is_saturated`` means that no slot of the upstream was free, so the latency includes time
        spent waiting there. It is left out of the typical latency, since otherwise no request would
        be expected to be answered in time under load.
        """
        if not is_saturated:
            self._update_typical(latency_ms / max(pace, 1.0))
        if len(self._window) < WINDOW_COUNT:
            self._window.append(latency_ms)
        else:
            self._window[self._next] = latency_ms
            self._next = (self._next + 1) % WINDOW_COUNT
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_COUNT:
            self._since_refresh = 0
            self._ordered = sorted(self._window)

    def seed(self, typical_ms: float) -> None:
        """Use an expected latency, or that of another instance, until there is an answer."""
        if self._typical_count == 0 and typical_ms > 0:
            self.typical_ms = typical_ms

    @property
    def has_samples(self) -> bool:
        """Return whether an answer has set the typical latency."""
        return self._typical_count > 0

    def _update_typical(self, work_ms: float) -> None:
        if self._typical_count == 0:
            self.typical_ms = work_ms
        self._typical_count += 1
        # Clipped so that a single straggler does not inflate the typical latency.
        clipped_ms = min(work_ms, 4 * self.typical_ms)
        weight = max(TYPICAL_WEIGHT, 1 / self._typical_count)
        self.typical_ms += weight * (clipped_ms - self.typical_ms)

    def get_quantile_ms(self, quantile: float) -> float | None:
        """Return a quantile of recent latencies, ``None`` while there are too few."""
        count = len(self._ordered)
        if count < SAMPLES_MIN_COUNT:
            return None
        return self._ordered[min(count - 1, int(quantile * count))]
