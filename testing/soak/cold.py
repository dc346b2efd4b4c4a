"""Checks what cold upstreams get from all nodes that are not disturbed themselves."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from testing.soak.history import History
from testing.soak.history import now_ms
from testing.soak.judge import ManifestJudge

COLD_MS = 6_000.0
COLD_PER_S = 10.0
# The nodes' defaults of ``[warm_up] overshoot`` and ``slack``.
ALLOWED_COUNT = 1.5 * COLD_PER_S + 8
# So long after an upstream became cold, undisturbed nodes have heard of it.
HEARD_AFTER_MS = 1_500.0
SECOND_MS = 1_000.0
SERVICES = {
    "columns": ["name", "healthCheckPath", "coldStartS", "coldPerS"],
    "rows": [[name, "/health", COLD_MS / SECOND_MS, COLD_PER_S] for name in ("desk", "stock")],
}


class ColdPeriod:
    """A time in which an upstream is cold, and has said so for ``HEARD_AFTER_MS``."""

    __slots__ = ("from_ms", "until_ms", "upstream_id")

    def __init__(self, upstream_id: str, began_ms: float) -> None:
        self.upstream_id = upstream_id
        self.from_ms = began_ms + HEARD_AFTER_MS
        self.until_ms = began_ms + COLD_MS


class ColdJudge:
    """Thread-safe record of cold upstreams; reports those that got more than they bear.

    ``judged_count`` counts the periods that are long enough to be judged.
    """

    def __init__(self, history: History, judge: ManifestJudge) -> None:
        self._history = history
        self._judge = judge
        self._lock = threading.Lock()
        self._periods: list[ColdPeriod] = []
        self.judged_count = 0

    def record(self, upstream_id: str) -> None:
        """Record that an upstream is cold from now on, for ``COLD_MS``."""
        with self._lock:
            self._periods.append(ColdPeriod(upstream_id, now_ms()))

    def check_final(self) -> None:
        """Check all periods, once all requests have ended."""
        for period in self._periods:
            arrived_ms = [
                run.arrived_ms
                for run, node in self._history.list_runs(period.upstream_id)
                if period.from_ms <= run.arrived_ms <= period.until_ms
                and self._judge.is_calm(node, run.arrived_ms)
            ]
            self.judged_count += bool(arrived_ms)
            count = count_in_worst_second(arrived_ms)
            if count > ALLOWED_COUNT:
                self._history.add_violation(
                    f"{period.upstream_id} got {count} requests in a second while it was cold"
                )


def count_in_worst_second(times_ms: Iterable[float]) -> int:
    """Return the largest number of times within any second."""
    ordered = sorted(times_ms)
    counts = [sum(0 <= at_ms - first_ms < SECOND_MS for at_ms in ordered) for first_ms in ordered]
    return max(counts, default=0)
