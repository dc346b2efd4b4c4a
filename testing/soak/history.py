"""Record of what callers, upstreams and operators observed, checked against the guarantees."""

from __future__ import annotations

import math
import threading
import time
from collections import Counter
from collections.abc import Callable

# Statuses that state that a request was not executed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# An upstream may still receive requests for this long after its departure was acknowledged.
WORK_AFTER_LEAVING_MAX_MS = 2_000.0
# A node may still return an older manifest for this long after a newer one was acknowledged.
MANIFEST_APPLY_MAX_MS = 2_000.0
# A node that was frozen may use stale state for this long after it resumes.
STALE_AFTER_FREEZE_MAX_MS = 3_000.0


def now_ms() -> float:
    return time.monotonic() * 1000


class Run:
    """One arrival of a request at an upstream; a rejected request has ``is_executed`` false."""

    __slots__ = ("arrived_ms", "is_executed", "request_id", "upstream_id")

    def __init__(self, request_id: str, upstream_id: str, *, is_executed: bool) -> None:
        self.request_id = request_id
        self.upstream_id = upstream_id
        self.is_executed = is_executed
        self.arrived_ms = now_ms()


class Reply:
    """Status and body that a caller received; the status is 0 if the connection failed."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class Freeze:
    """A period in which a node process was suspended; call ``end`` when it resumes."""

    __slots__ = ("_ended_ms", "_started_ms")

    def __init__(self) -> None:
        self._started_ms = now_ms()
        self._ended_ms = math.inf

    def end(self) -> None:
        self._ended_ms = now_ms()

    def overlaps(self, from_ms: float, until_ms: float) -> bool:
        """Return whether the node may have used stale state at some time in the given interval."""
        ended_ms = self._ended_ms + STALE_AFTER_FREEZE_MAX_MS
        return self._started_ms <= until_ms and from_ms <= ended_ms


class History:
    """Thread-safe record of one soak; ``violations`` has one line per violated guarantee."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Called with each run and the node that sent it.
        self.on_run: Callable[[Run, str], None] = lambda run, node: None
        self._runs_by_id: dict[str, list[Run]] = {}
        self._reply_by_id: dict[str, Reply] = {}
        self._is_idempotent_by_id: dict[str, bool] = {}
        self._node_by_request_id: dict[str, str] = {}
        self._freezes_by_node: dict[str, list[Freeze]] = {}
        self._departed_ms_by_upstream: dict[str, float] = {}
        self._acknowledged: list[tuple[float, int, bytes]] = []
        # Requests that must be answered if they reached an upstream, also beside unplanned faults.
        self.undisturbed_ids: set[str] = set()
        # How many requests reached upstreams that had left.
        self.late_count = 0
        self.violations: list[str] = []
        self.faults: list[str] = []

    def record_request(self, request_id: str, *, is_idempotent: bool, node: str) -> None:
        with self._lock:
            self._is_idempotent_by_id[request_id] = is_idempotent
            self._node_by_request_id[request_id] = node

    def record_freeze(self, node: str) -> Freeze:
        """Record that a node is suspended from now until the returned freeze is ended."""
        freeze = Freeze()
        with self._lock:
            self._freezes_by_node.setdefault(node, []).append(freeze)
        return freeze

    def record_run(self, run: Run) -> None:
        with self._lock:
            self._runs_by_id.setdefault(run.request_id, []).append(run)
            departed_ms = self._departed_ms_by_upstream.get(run.upstream_id)
            node = self._node_by_request_id.get(run.request_id, "")
            freezes = self._freezes_by_node.get(node, [])
        self.on_run(run, node)
        if departed_ms is not None and run.arrived_ms > departed_ms + WORK_AFTER_LEAVING_MAX_MS:
            if any(freeze.overlaps(departed_ms, run.arrived_ms) for freeze in freezes):
                return
            self.late_count += 1
            late_ms = run.arrived_ms - departed_ms
            self.add_violation(
                f"{run.upstream_id} got {run.request_id} {late_ms:.0f} ms after it left"
            )

    def record_reply(self, request_id: str, reply: Reply) -> None:
        with self._lock:
            self._reply_by_id[request_id] = reply
        if 200 <= reply.status < 300 and reply.body != make_body(request_id):
            self.add_violation(f"{request_id} got a wrong body: {reply.body[:60]!r}")

    def record_departure(self, upstream_id: str) -> None:
        """Record that a node acknowledged the departure of an upstream."""
        with self._lock:
            self._departed_ms_by_upstream.setdefault(upstream_id, now_ms())

    def record_acknowledged(self, version: int, raw: bytes) -> None:
        with self._lock:
            self._acknowledged.append((now_ms(), version, raw))

    def check_read(self, sent_ms: float, version: int, node: str) -> None:
        """Check that a node returned no older version than those acknowledged long enough before.

        ``sent_ms`` is when the read was sent.
        """
        with self._lock:
            due_ms = sent_ms - MANIFEST_APPLY_MAX_MS
            newest = max((due for at_ms, due, _ in self._acknowledged if at_ms < due_ms), default=0)
        if version < newest:
            self.add_violation(f"{node} returned version {version} after {newest} was acknowledged")

    def get_newest_acknowledged(self) -> tuple[int, bytes]:
        """Return the newest acknowledged version and its bytes, or version 0 if there is none."""
        with self._lock:
            return max((entry[1:] for entry in self._acknowledged), default=(0, b""))

    def add_violation(self, message: str) -> None:
        with self._lock:
            self.violations.append(message)

    def record_fault(self, message: str) -> None:
        with self._lock:
            self.faults.append(message)

    def check_final(self, *, is_planned_only: bool) -> None:
        """Check the guarantees that can be evaluated only after all requests have ended.

        ``is_planned_only`` states that only planned operations were injected. Then every request
        that was executed must also be answered.
        """
        for request_id, runs in self._runs_by_id.items():
            executed = [run for run in runs if run.is_executed]
            reply = self._reply_by_id.get(request_id)
            if request_id not in self._is_idempotent_by_id:
                self.add_violation(f"{request_id} reached an upstream but no caller sent it")
                continue
            if not self._is_idempotent_by_id[request_id]:
                self._check_non_idempotent(request_id, executed, reply)
            if reply is not None and reply.status != 0:
                continue
            if is_planned_only and executed:
                self.add_violation(
                    f"{request_id} was executed but not answered, with planned operations only"
                )
            elif request_id in self.undisturbed_ids:
                self.add_violation(f"{request_id} reached an upstream but was not answered")

    def _check_non_idempotent(
        self, request_id: str, executed: list[Run], reply: Reply | None
    ) -> None:
        if len(executed) > 1:
            self.add_violation(f"{request_id} was executed {len(executed)} times")
        if executed and reply is not None and reply.status in NOT_RUN_STATUSES:
            self.add_violation(
                f"{request_id} was executed but reported as not run ({reply.status})"
            )

    def list_runs(self, upstream_id: str) -> list[tuple[Run, str]]:
        """Return the arrivals at an upstream, each with the node that its caller asked."""
        with self._lock:
            return [
                (run, self._node_by_request_id.get(run.request_id, ""))
                for runs in self._runs_by_id.values()
                for run in runs
                if run.upstream_id == upstream_id
            ]

    def count_outcomes(self) -> dict[str, int]:
        """Count the requests sent, and the replies by status; ``cut`` is a failed connection."""
        statuses = (reply.status for reply in self._reply_by_id.values())
        outcomes = Counter("cut" if status == 0 else str(status) for status in statuses)
        return {"sent": len(self._is_idempotent_by_id), **outcomes}


def make_body(request_id: str) -> bytes:
    """Return the complete body of an upstream's answer to a request."""
    return f"whole answer to {request_id}".encode()
