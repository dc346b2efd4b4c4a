"""Which ended requests get a line of their own, and the sum of the others."""

from __future__ import annotations

import threading

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.events.catalog import RequestsSummed
from coltsfootrill.events.log import EventLog

SUMMARY_INTERVAL_MS = 1_000.0
LINES_PER_INTERVAL_MAX_COUNT = 100
# An answer that took longer than this share of its time tells something about the load.
ORDINARY_DEADLINE_SHARE_MAX = 0.5


class RequestLog:
    """Logs every request that was refused, repeated, late or cut; sums up the ordinary ones."""

    def __init__(self, log: EventLog, *, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._lock = threading.Lock()
        self._answered = 0
        self._took_ms = 0.0
        self._lines = 0
        self._summed_ms = clock.now_ms()

    def record(self, event: RequestEnded) -> None:
        """Take in a request that has ended."""
        with self._lock:
            self._log_summary()
            if is_ordinary(event):
                self._answered += 1
                self._took_ms += event.took_ms
                return
            self._lines += 1
            if self._lines > LINES_PER_INTERVAL_MAX_COUNT:
                self._log.dropped += 1
                return
        self._log.emit(event)

    def _log_summary(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._summed_ms < SUMMARY_INTERVAL_MS:
            return
        if self._answered:
            mean_ms = round(self._took_ms / self._answered, 1)
            self._log.emit(RequestsSummed(answered=self._answered, took_ms=mean_ms))
        self._answered = 0
        self._took_ms = 0.0
        self._lines = 0
        self._summed_ms = now_ms


def is_ordinary(event: RequestEnded) -> bool:
    """Return whether a request was answered in time by the first upstream asked."""
    return (
        event.outcome == "answered"
        and event.status.startswith("2")
        and len(event.attempts) <= 1
        and event.took_ms <= ORDINARY_DEADLINE_SHARE_MAX * event.deadline_ms
    )
