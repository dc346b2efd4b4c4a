"""What callers, upstreams and operators saw, and the promises that it must keep."""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Iterator

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
WORK_AFTER_LEAVING_MAX_MS = 2_000.0
MANIFEST_APPLY_MAX_MS = 2_000.0
# For so long after it was frozen a node may act on what it knew before.
STALE_AFTER_FREEZE_MAX_MS = 3_000.0


def now_ms() -> float:
    return time.monotonic() * 1000


class Run:
    """One arrival of a request at an upstream."""

    __slots__ = ("arrived_ms", "is_executed", "request_id", "upstream_id")

    def __init__(self, request_id: str, upstream_id: str, *, is_executed: bool) -> None:
        self.request_id = request_id
        self.upstream_id = upstream_id
        self.is_executed = is_executed
        self.arrived_ms = now_ms()


class Reply:
    """What a caller got: a status, 0 for a connection that ended, and the body."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class Freeze:
    """A time in which a node stood still; ``end`` is called when it goes on."""

    __slots__ = ("_started_ms", "_ended_ms")

    def __init__(self) -> None:
        self._started_ms = now_ms()
        self._ended_ms = math.inf

    def end(self) -> None:
        self._ended_ms = now_ms()

    def overlaps(self, from_ms: float, until_ms: float) -> bool:
        """Return whether the node was out of touch for it at some time between two moments."""
        return (
            self._started_ms <= until_ms and from_ms <= self._ended_ms + STALE_AFTER_FREEZE_MAX_MS
        )


class History:
    """Thread-safe record of one run. ``violations`` holds a line for each broken promise."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs_by_id: dict[str, list[Run]] = {}
        self._reply_by_id: dict[str, Reply] = {}
        self._is_idempotent_by_id: dict[str, bool] = {}
        self._node_by_request_id: dict[str, str] = {}
        self._freezes_by_node: dict[str, list[Freeze]] = {}
        self._departed_ms_by_upstream: dict[str, float] = {}
        self._acknowledged: list[tuple[float, int, bytes]] = []
        self.violations: list[str] = []
        self.faults: list[str] = []

    def record_request(self, request_id: str, *, is_idempotent: bool, node: str) -> None:
        with self._lock:
            self._is_idempotent_by_id[request_id] = is_idempotent
            self._node_by_request_id[request_id] = node

    def record_freeze(self, node: str) -> Freeze:
        """Note that a node stands still from now on, until the freeze is ended."""
        freeze = Freeze()
        with self._lock:
            self._freezes_by_node.setdefault(node, []).append(freeze)
        return freeze

    def record_run(self, run: Run) -> None:
        with self._lock:
            self._runs_by_id.setdefault(run.request_id, []).append(run)
            departed_ms = self._departed_ms_by_upstream.get(run.upstream_id)
            freezes = self._freezes_by_node.get(
                self._node_by_request_id.get(run.request_id, ""), []
            )
        if departed_ms is not None and run.arrived_ms > departed_ms + WORK_AFTER_LEAVING_MAX_MS:
            if any(freeze.overlaps(departed_ms, run.arrived_ms) for freeze in freezes):
                return
            late_ms = run.arrived_ms - departed_ms
            self.add_violation(
                f"{run.upstream_id} got {run.request_id} {late_ms:.0f} ms after it left"
            )

    def record_reply(self, request_id: str, reply: Reply) -> None:
        with self._lock:
            self._reply_by_id[request_id] = reply
        if 200 <= reply.status < 300 and reply.body != make_body(request_id):
            self.add_violation(f"{request_id} got another body: {reply.body[:60]!r}")

    def record_departure(self, upstream_id: str) -> None:
        """Note that a node acknowledged that an upstream leaves."""
        with self._lock:
            self._departed_ms_by_upstream.setdefault(upstream_id, now_ms())

    def record_acknowledged(self, version: int, raw: bytes) -> None:
        with self._lock:
            self._acknowledged.append((now_ms(), version, raw))

    def check_read(self, sent_ms: float, version: int, node: str) -> None:
        """Check a manifest that a node told against what had been acknowledged before."""
        with self._lock:
            due = [
                known
                for at_ms, known, _ in self._acknowledged
                if at_ms + MANIFEST_APPLY_MAX_MS < sent_ms
            ]
        if due and version < max(due):
            self.add_violation(f"{node} told version {version} after {max(due)} was acknowledged")

    def get_newest_acknowledged(self) -> tuple[int, bytes]:
        """Return the newest acknowledged version with its bytes, 0 when there is none."""
        with self._lock:
            newest = max(self._acknowledged, key=lambda one: one[1], default=(0.0, 0, b""))
        return newest[1], newest[2]

    def add_violation(self, message: str) -> None:
        with self._lock:
            self.violations.append(message)

    def record_fault(self, message: str) -> None:
        with self._lock:
            self.faults.append(message)

    def check_final(self, *, is_planned_only: bool) -> None:
        """Check what can be told only when everything has ended.

        ``is_planned_only`` tells that nothing but planned work happened: then no request that
        was passed on may end without an answer.
        """
        for request_id, runs in self._runs_by_id.items():
            executed = [run for run in runs if run.is_executed]
            reply = self._reply_by_id.get(request_id)
            if request_id not in self._is_idempotent_by_id:
                self.add_violation(f"{request_id} was run and nobody sent it")
                continue
            if not self._is_idempotent_by_id[request_id]:
                self._check_non_idempotent(request_id, executed, reply)
            if is_planned_only and executed and (reply is None or reply.status == 0):
                self.add_violation(f"{request_id} was run and cut by planned work")

    def _check_non_idempotent(
        self, request_id: str, executed: list[Run], reply: Reply | None
    ) -> None:
        if len(executed) > 1:
            self.add_violation(f"{request_id} was run {len(executed)} times")
        if executed and reply is not None and reply.status in NOT_RUN_STATUSES:
            self.add_violation(f"{request_id} was told not to have run ({reply.status}) and ran")

    def count_outcomes(self) -> dict[str, int]:
        """Return the requests by what became of them."""
        counts: dict[str, int] = {"sent": len(self._is_idempotent_by_id)}
        for outcome in self._list_outcomes():
            counts[outcome] = counts.get(outcome, 0) + 1
        return counts

    def _list_outcomes(self) -> Iterator[str]:
        for reply in self._reply_by_id.values():
            yield "cut" if reply.status == 0 else str(reply.status)


def make_body(request_id: str) -> bytes:
    """Return the body with which an upstream answers a request."""
    return f"whole answer to {request_id}".encode()
