"""Logs ended requests: a line each for the notable ones, a summary for the ordinary ones."""

from __future__ import annotations

import threading

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.events.catalog import RequestsSummed
from coltsfootrill.events.log import EventLog

SUMMARY_INTERVAL_MS = 1_000.0
LINES_PER_INTERVAL_MAX_COUNT = 100
# A longer share of the deadline is a sign of load, so the request gets a line of its own.
ORDINARY_DEADLINE_SHARE_MAX = 0.5


class RequestLog:
    """Logs refused, retried, late and aborted requests, and a summary of the ordinary ones."""

    def __init__(self, log: EventLog, *, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._lock = threading.Lock()
        self._answered_count = 0
        self._total_ms = 0.0
        self._line_count = 0
        self._interval_start_ms = clock.now_ms()

    def record(self, event: RequestEnded) -> None:
        """Log an ended request, or add it to the summary if it is ordinary.

        At most ``LINES_PER_INTERVAL_MAX_COUNT`` requests are logged in each summary interval; the
        others are counted as dropped lines.
        """
        with self._lock:
            self._log_summary()
            if is_ordinary(event):
                self._answered_count += 1
                self._total_ms += event.took_ms
                return
            self._line_count += 1
            if self._line_count > LINES_PER_INTERVAL_MAX_COUNT:
                self._log.dropped += 1
                return
        self._log.emit(event)

    def _log_summary(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._interval_start_ms < SUMMARY_INTERVAL_MS:
            return
        if self._answered_count:
            mean_ms = round(self._total_ms / self._answered_count, 1)
            self._log.emit(RequestsSummed(answered=self._answered_count, took_ms=mean_ms))
        self._answered_count = 0
        self._total_ms = 0.0
        self._line_count = 0
        self._interval_start_ms = now_ms


def is_ordinary(event: RequestEnded) -> bool:
    """Return whether a request was answered well within its deadline by the first attempt."""
    return (
        event.outcome == "answered"
        and event.status.startswith("2")
        and len(event.attempts) <= 1
        and event.took_ms <= ORDINARY_DEADLINE_SHARE_MAX * event.deadline_ms
    )
