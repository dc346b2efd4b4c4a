"""Latency of one request kind: its usual value and its quantiles over recent answers."""

from __future__ import annotations

WINDOW_COUNT = 256
REFRESH_COUNT = 16
SAMPLES_MIN_COUNT = 20
USUAL_WEIGHT = 0.05
USUAL_START_MS = 10.0


class KindLatency:
    """The last ``WINDOW_COUNT`` latencies, and the smoothed one at the usual pace, in ms."""

    __slots__ = ("_next", "_ordered", "_since_refresh", "_window", "usual_ms")

    def __init__(self) -> None:
        self.usual_ms = USUAL_START_MS
        self._window: list[float] = []
        self._ordered: list[float] = []
        self._next = 0
        self._since_refresh = 0

    def add(self, latency_ms: float, *, pace: float = 1.0) -> None:
        """Take in the latency of one good answer, got at ``pace`` times the usual time."""
        # The clip keeps one straggler from making the usual latency look large.
        clipped_ms = min(latency_ms / max(pace, 1.0), 4 * self.usual_ms)
        self.usual_ms += USUAL_WEIGHT * (clipped_ms - self.usual_ms)
        if len(self._window) < WINDOW_COUNT:
            self._window.append(latency_ms)
        else:
            self._window[self._next] = latency_ms
            self._next = (self._next + 1) % WINDOW_COUNT
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_COUNT:
            self._since_refresh = 0
            self._ordered = sorted(self._window)

    def get_quantile_ms(self, quantile: float) -> float | None:
        """Return a quantile of recent latencies, ``None`` while there are too few."""
        count = len(self._ordered)
        if count < SAMPLES_MIN_COUNT:
            return None
        return self._ordered[min(count - 1, int(quantile * count))]
