"""Load reports that this instance received since it last sent them to the others."""

from __future__ import annotations

import threading

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.clock import Clock


class ReportEntry:
    """A load that an upstream reported ``age_ms`` ago."""

    __slots__ = ("age_ms", "report", "upstream_id")

    def __init__(self, upstream_id: str, report: LoadReport, *, age_ms: float) -> None:
        self.upstream_id = upstream_id
        self.report = report
        self.age_ms = age_ms


class LoadReportCache:
    """The newest report of each upstream, retained until it is taken. Thread-safe."""

    __slots__ = ("_clock", "_lock", "_report_by_id")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._report_by_id: dict[str, tuple[float, LoadReport]] = {}

    def record(self, upstream_id: str, report: LoadReport) -> None:
        """Store a report that has just arrived."""
        with self._lock:
            self._report_by_id[upstream_id] = (self._clock.now_ms(), report)

    def take(self) -> list[ReportEntry]:
        """Return the stored reports and remove them."""
        with self._lock:
            now_ms = self._clock.now_ms()
            taken = self._report_by_id
            self._report_by_id = {}
        return [
            ReportEntry(upstream_id, report, age_ms=now_ms - at_ms)
            for upstream_id, (at_ms, report) in taken.items()
        ]
