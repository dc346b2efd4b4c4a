"""Asks the upstreams that this instance is responsible for how busy they are, many times a second.

The instances share the upstreams out among themselves, so the number of checks does not grow with
the fleet, and tell each other what they learn.
"""

from __future__ import annotations

import select
import threading
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial

from coltsfootrill.balancer.report_book import ReportBook
from coltsfootrill.clock import Clock
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.ways import rank
from coltsfootrill.metrics import Metrics
from coltsfootrill.proxy.answer import ConnectionLayerError
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.connection import encode_head
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.registry.directory import UpstreamRecord

CONNECT_TIMEOUT_MS = 100.0
ANSWER_TIMEOUT_MS = 40.0
READ_TIMEOUT_MS = 10.0
PAUSE_AFTER_FAILURE_MS = 1_000.0


class _Check:
    """The connection to one upstream, and when it may be asked again."""

    __slots__ = ("connection", "paused_until_ms")

    def __init__(self) -> None:
        self.connection: UpstreamConnection | None = None
        self.paused_until_ms = 0.0


def assign_upstreams(
    own: InstanceRecord,
    instances: Sequence[InstanceRecord],
    upstreams: Sequence[UpstreamRecord],
) -> list[UpstreamRecord]:
    """Return the upstreams that this instance checks: those of its zone, shared out by rank.

    Upstreams in a zone without an instance are shared out among all.
    """
    ids_by_zone: dict[str, list[str]] = {}
    for record in instances:
        ids_by_zone.setdefault(record.zone, []).append(record.id)
    every_id = [record.id for record in instances]
    chosen: list[UpstreamRecord] = []
    for upstream in upstreams:
        upstream_id = upstream.announcement.id
        rivals = ids_by_zone.get(upstream.announcement.zone, every_id)
        if max(rivals, key=partial(rank, upstream_id), default=own.id) == own.id:
            chosen.append(upstream)
    return chosen


class AssignedUpstreams:
    """The upstreams that this instance checks, worked out anew only after a change.

    The work grows with the product of instances and upstreams. ``upstreams`` of ``get`` is never
    changed in place: another list tells a change.
    """

    __slots__ = ("_chosen", "_members", "_own", "_upstreams")

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._members: list[tuple[str, str]] = []
        self._upstreams: Sequence[UpstreamRecord] = []
        self._chosen: list[UpstreamRecord] = []

    def get(
        self, instances: Sequence[InstanceRecord], upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return this instance's upstreams; see ``assign_upstreams``."""
        members = [(record.id, record.zone) for record in instances]
        if upstreams is not self._upstreams or members != self._members:
            self._chosen = assign_upstreams(self._own, instances, upstreams)
            self._members = members
            self._upstreams = upstreams
        return self._chosen


class LoadPoller:
    """One thread that checks all upstreams of this instance in rounds."""

    def __init__(
        self,
        own: InstanceRecord,
        *,
        interval_ms: float,
        dialect: Dialect,
        get_table: Callable[[], RoutingTable | None],
        list_instances: Callable[[], list[InstanceRecord]],
        list_upstreams: Callable[[], list[UpstreamRecord]],
        book: ReportBook,
        on_round: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._share = AssignedUpstreams(own)
        self._interval_ms = interval_ms
        self._dialect = dialect
        self._get_table = get_table
        self._list_instances = list_instances
        self._list_upstreams = list_upstreams
        self._book = book
        self._on_round = on_round
        self._clock = clock
        self._metrics = metrics
        self._checks_by_id: dict[str, _Check] = {}
        self._stopping = threading.Event()

    def run(self) -> None:
        """Check until ``stop``."""
        next_ms = self._clock.now_ms()
        while not self._stopping.is_set():
            now_ms = self._clock.now_ms()
            next_ms = max(next_ms + self._interval_ms, now_ms)
            self._check_all()
            self._on_round()
            self._stopping.wait(max(0.0, next_ms - self._clock.now_ms()) / 1000)

    def stop(self) -> None:
        """Stop checking."""
        self._stopping.set()

    def _check_all(self) -> None:
        table = self._get_table()
        if table is None:
            return
        upstreams = self._share.get(self._list_instances(), self._list_upstreams())
        self._drop_others({upstream.announcement.id for upstream in upstreams})
        waiting: dict[int, UpstreamRecord] = {}
        for upstream in upstreams:
            connection = self._ask(upstream, table)
            if connection is not None:
                waiting[connection.fileno()] = upstream
        self._take_answers(waiting)

    def _drop_others(self, wanted: set[str]) -> None:
        for upstream_id in [known for known in self._checks_by_id if known not in wanted]:
            check = self._checks_by_id.pop(upstream_id)
            if check.connection is not None:
                check.connection.close()

    def _ask(self, upstream: UpstreamRecord, table: RoutingTable) -> UpstreamConnection | None:
        """Send a check to one upstream; return its connection, ``None`` when that failed."""
        announcement = upstream.announcement
        check = self._checks_by_id.setdefault(announcement.id, _Check())
        now_ms = self._clock.now_ms()
        service = table.services_by_id.get(announcement.services[0])
        if service is None or now_ms < check.paused_until_ms:
            return None
        path = service.health_path or table.manifest.measuring.path
        head = encode_head("GET", path, [("host", announcement.address)], 0)
        try:
            if check.connection is None or not check.connection.has_no_pending_data():
                self._close(check)
                check.connection = UpstreamConnection.open(
                    announcement.address,
                    clock=self._clock,
                    timeout_ms=CONNECT_TIMEOUT_MS,
                    epoch=0,
                )
            check.connection.send(head, b"", deadline_ms=now_ms + READ_TIMEOUT_MS)
        except ConnectionLayerError:
            self._fail(check)
            return None
        return check.connection

    def _take_answers(self, waiting: dict[int, UpstreamRecord]) -> None:
        poller = select.poll()
        for fileno in waiting:
            poller.register(fileno, select.POLLIN)
        end_ms = self._clock.now_ms() + ANSWER_TIMEOUT_MS
        while waiting:
            left_ms = end_ms - self._clock.now_ms()
            events = poller.poll(int(left_ms) + 1) if left_ms > 0 else []
            if not events:
                break
            for fileno, _ in events:
                poller.unregister(fileno)
                self._take_answer(waiting.pop(fileno))
        for upstream in waiting.values():
            # It may be busy or silent; another connection tells.
            self._fail(self._checks_by_id[upstream.announcement.id])

    def _take_answer(self, upstream: UpstreamRecord) -> None:
        upstream_id = upstream.announcement.id
        check = self._checks_by_id[upstream_id]
        connection = check.connection
        assert connection is not None
        try:
            answer = connection.read("GET", deadline_ms=self._clock.now_ms() + READ_TIMEOUT_MS)
        except ConnectionLayerError:
            self._fail(check)
            return
        if not connection.is_reusable:
            self._close(check)
        self._metrics.probes.labels("good" if answer.status < 300 else "bad").inc()
        report = self._dialect.parse_load(answer.get_header(self._dialect.load))
        answered_by = answer.get_header(self._dialect.answered_by)
        if report is not None and answered_by in (None, upstream_id):
            self._book.note(upstream_id, report)

    def _fail(self, check: _Check) -> None:
        self._metrics.probes.labels("failed").inc()
        check.paused_until_ms = self._clock.now_ms() + PAUSE_AFTER_FAILURE_MS
        self._close(check)

    def _close(self, check: _Check) -> None:
        if check.connection is not None:
            check.connection.close()
            check.connection = None
