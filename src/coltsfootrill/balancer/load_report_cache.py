"""Load reports that this instance received since it last sent them to the others."""

from __future__ import annotations

import threading

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.clock import Clock


class ReportEntry:
    """What an upstream stated ``age_ms`` ago: its load, its rate of requests, that it is leaving.

    ``per_s`` is the rate in requests a second, ``leaving_incarnation`` the incarnation that is
    leaving, and ``cold_ms`` for how much longer the upstream was cold then; each is ``None`` if it
    was not stated.
    """

    __slots__ = ("age_ms", "cold_ms", "leaving_incarnation", "per_s", "report", "upstream_id")

    def __init__(
        self,
        upstream_id: str,
        report: LoadReport | None,
        *,
        age_ms: float,
        per_s: float | None = None,
        leaving_incarnation: int | None = None,
        cold_ms: float | None = None,
    ) -> None:
        self.cold_ms = cold_ms
        self.leaving_incarnation = leaving_incarnation
        self.upstream_id = upstream_id
        self.report = report
        self.age_ms = age_ms
        self.per_s = per_s


class LoadReportCache:
    """The newest report of each upstream, retained until it is taken. Thread-safe."""

    __slots__ = ("_clock", "_lock", "_report_by_id")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._report_by_id: dict[str, _StoredReport] = {}

    def record(
        self,
        upstream_id: str,
        report: LoadReport | None,
        per_s: float | None = None,
        leaving_incarnation: int | None = None,
        cold_ms: float | None = None,
    ) -> None:
        """Store what an upstream has just stated."""
        with self._lock:
            known = self._report_by_id.get(upstream_id)
            if known is not None:
                # A health check states no rate.
                report = report or known.report
                per_s = known.per_s if per_s is None else per_s
                if leaving_incarnation is None:
                    leaving_incarnation = known.leaving_incarnation
                # An answer to a request does not state it.
                cold_ms = known.cold_ms if cold_ms is None else cold_ms
            self._report_by_id[upstream_id] = _StoredReport(
                report, per_s, leaving_incarnation, cold_ms, at_ms=self._clock.now_ms()
            )

    def take(self) -> list[ReportEntry]:
        """Return the stored reports and remove them."""
        with self._lock:
            now_ms = self._clock.now_ms()
            taken = self._report_by_id
            self._report_by_id = {}
        return [
            ReportEntry(
                upstream_id,
                stored.report,
                age_ms=now_ms - stored.at_ms,
                per_s=stored.per_s,
                leaving_incarnation=stored.leaving_incarnation,
                cold_ms=stored.cold_ms,
            )
            for upstream_id, stored in taken.items()
        ]


class _StoredReport:
    """What an upstream stated at ``at_ms``."""

    __slots__ = ("at_ms", "cold_ms", "leaving_incarnation", "per_s", "report")

    def __init__(
        self,
        report: LoadReport | None,
        per_s: float | None,
        leaving_incarnation: int | None,
        cold_ms: float | None,
        *,
        at_ms: float,
    ) -> None:
        self.cold_ms = cold_ms
        self.leaving_incarnation = leaving_incarnation
        self.report = report
        self.per_s = per_s
        self.at_ms = at_ms
