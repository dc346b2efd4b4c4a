"""Polls the load of the upstreams assigned to this instance, many times a second.

The upstreams are distributed among the instances, so the number of polls does not grow with the
fleet. The instances exchange the reports that they receive.
"""

from __future__ import annotations

import select
import threading
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial

from coltsfootrill.balancer.declines import DeclineTimes
from coltsfootrill.balancer.load_report_cache import LoadReportCache
from coltsfootrill.clock import Clock
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.relay_topology import rank
from coltsfootrill.metrics import Metrics
from coltsfootrill.proxy.answer import ConnectionLayerError
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.connection import encode_head
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.headers import parse_cold_ms
from coltsfootrill.proxy.headers import parse_leaving
from coltsfootrill.proxy.headers import parse_rate_limit
from coltsfootrill.proxy.statements import get_declined_ms
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import UpstreamRecord

CONNECT_TIMEOUT_MS = 100.0
ANSWER_TIMEOUT_MS = 40.0
READ_TIMEOUT_MS = 10.0
PAUSE_AFTER_FAILURE_MS = 1_000.0


class _PollState:
    """The connection to one start of an upstream, and the time until which polling it is paused.

    ``has_warm_up`` is whether its service has a warm-up.
    """

    __slots__ = ("address", "connection", "has_warm_up", "incarnation", "paused_until_ms")

    def __init__(self, announcement: Announcement) -> None:
        self.address = announcement.address
        self.incarnation = announcement.incarnation
        self.connection: UpstreamConnection | None = None
        self.paused_until_ms = 0.0
        self.has_warm_up = False


def assign_upstreams(
    own: InstanceRecord,
    instances: Sequence[InstanceRecord],
    upstreams: Sequence[UpstreamRecord],
) -> list[UpstreamRecord]:
    """Return the upstreams that this instance polls, by rendezvous hashing within its zone.

    Upstreams in a zone without an instance are distributed among all instances.
    """
    ids_by_zone: dict[str, list[str]] = {}
    for record in instances:
        ids_by_zone.setdefault(record.zone, []).append(record.id)
    all_ids = [record.id for record in instances]
    chosen: list[UpstreamRecord] = []
    for upstream in upstreams:
        upstream_id = upstream.announcement.id
        candidate_ids = ids_by_zone.get(upstream.announcement.zone, all_ids)
        if max(candidate_ids, key=partial(rank, upstream_id), default=own.id) == own.id:
            chosen.append(upstream)
    return chosen


class AssignedUpstreams:
    """Caches the upstreams that this instance polls, and recomputes them only after a change.

    The cost of computing them grows with the product of instances and upstreams. The lists passed
    to ``get`` must never be changed in place: a change is detected by identity.
    """

    __slots__ = ("_chosen", "_instances", "_members", "_own", "_upstreams")

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._instances: Sequence[InstanceRecord] = []
        self._members: list[tuple[str, str]] = []
        self._upstreams: Sequence[UpstreamRecord] = []
        self._chosen: list[UpstreamRecord] = []

    def get(
        self, instances: Sequence[InstanceRecord], upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return the upstreams assigned to this instance; see ``assign_upstreams``."""
        if upstreams is self._upstreams and instances is self._instances:
            return self._chosen
        members = [(record.id, record.zone) for record in instances]
        if upstreams is not self._upstreams or members != self._members:
            self._chosen = assign_upstreams(self._own, instances, upstreams)
            self._members = members
            self._upstreams = upstreams
        self._instances = instances
        return self._chosen


class LoadPoller:
    """Polls all upstreams assigned to this instance in rounds, in one thread."""

    def __init__(
        self,
        own: InstanceRecord,
        *,
        interval_ms: float,
        dialect: Dialect,
        get_table: Callable[[], RoutingTable | None],
        list_instances: Callable[[], list[InstanceRecord]],
        list_upstreams: Callable[[], list[UpstreamRecord]],
        report_cache: LoadReportCache,
        declines: DeclineTimes,
        on_round: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._assigned = AssignedUpstreams(own)
        self._interval_ms = interval_ms
        self._dialect = dialect
        self._get_table = get_table
        self._list_instances = list_instances
        self._list_upstreams = list_upstreams
        self._report_cache = report_cache
        self._declines = declines
        self._on_round = on_round
        self._clock = clock
        self._metrics = metrics
        self._states_by_id: dict[str, _PollState] = {}
        self._stopping = threading.Event()

    def run(self) -> None:
        """Poll until ``stop`` is called."""
        next_ms = self._clock.now_ms()
        while not self._stopping.is_set():
            now_ms = self._clock.now_ms()
            next_ms = max(next_ms + self._interval_ms, now_ms)
            self._poll_all()
            self._on_round()
            self._stopping.wait(max(0.0, next_ms - self._clock.now_ms()) / 1000)

    def stop(self) -> None:
        """Stop polling after the current round."""
        self._stopping.set()

    def _poll_all(self) -> None:
        table = self._get_table()
        if table is None:
            return
        upstreams = self._assigned.get(self._list_instances(), self._list_upstreams())
        self._close_unassigned({upstream.announcement.id for upstream in upstreams})
        waiting: dict[int, UpstreamRecord] = {}
        for upstream in upstreams:
            connection = self._send_poll(upstream, table)
            if connection is not None:
                waiting[connection.fileno()] = upstream
        self._receive_answers(waiting)

    def _close_unassigned(self, wanted: set[str]) -> None:
        for upstream_id in [known for known in self._states_by_id if known not in wanted]:
            state = self._states_by_id.pop(upstream_id)
            if state.connection is not None:
                state.connection.close()

    def _send_poll(
        self, upstream: UpstreamRecord, table: RoutingTable
    ) -> UpstreamConnection | None:
        """Send a poll to an upstream; return its connection, ``None`` if none was sent."""
        announcement = upstream.announcement
        state = self._get_state(announcement)
        now_ms = self._clock.now_ms()
        service = table.services_by_id.get(announcement.services[0])
        if service is None or now_ms < state.paused_until_ms:
            return None
        if self._declines.is_declining(announcement.id, announcement.incarnation, now_ms):
            return None
        state.has_warm_up = service.warm_up is not None
        path = service.health_path or table.manifest.measuring.path
        head = encode_head("GET", path, [("host", announcement.address)], 0)
        try:
            if state.connection is None or not state.connection.has_no_pending_data():
                self._close(state)
                state.connection = UpstreamConnection.open(
                    announcement.address,
                    clock=self._clock,
                    timeout_ms=CONNECT_TIMEOUT_MS,
                    epoch=0,
                )
            state.connection.send(head, deadline_ms=now_ms + READ_TIMEOUT_MS)
        except ConnectionLayerError:
            self._record_failure(state)
            return None
        return state.connection

    def _get_state(self, announcement: Announcement) -> _PollState:
        """Return the state of an upstream; a former start of it is polled no more."""
        state = self._states_by_id.get(announcement.id)
        if state is not None:
            if (state.address, state.incarnation) == (
                announcement.address,
                announcement.incarnation,
            ):
                return state
            self._close(state)
        state = self._states_by_id[announcement.id] = _PollState(announcement)
        return state

    def _receive_answers(self, waiting: dict[int, UpstreamRecord]) -> None:
        poller = select.poll()
        for fileno in waiting:
            poller.register(fileno, select.POLLIN)
        end_ms = self._clock.now_ms() + ANSWER_TIMEOUT_MS
        while waiting:
            remaining_ms = end_ms - self._clock.now_ms()
            events = poller.poll(int(remaining_ms) + 1) if remaining_ms > 0 else []
            if not events:
                break
            for fileno, _ in events:
                poller.unregister(fileno)
                self._receive_answer(waiting.pop(fileno))
        for upstream in waiting.values():
            # The upstream may be busy or the connection broken; the next poll uses a new one.
            self._record_failure(self._states_by_id[upstream.announcement.id])

    def _receive_answer(self, upstream: UpstreamRecord) -> None:
        upstream_id = upstream.announcement.id
        state = self._states_by_id[upstream_id]
        connection = state.connection
        assert connection is not None
        try:
            answer = connection.read("GET", deadline_ms=self._clock.now_ms() + READ_TIMEOUT_MS)
        except ConnectionLayerError:
            self._record_failure(state)
            return
        if not connection.is_reusable:
            self._close(state)
        self._metrics.probes.labels("good" if answer.status < 300 else "bad").inc()
        report = self._dialect.parse_load(answer.get_header(self._dialect.load))
        answered_by = answer.get_header(self._dialect.answered_by)
        per_s = parse_rate_limit(answer.get_header(self._dialect.rate_limit))
        is_leaving = parse_leaving(answer.get_header(self._dialect.leaving))
        if answered_by not in (None, upstream_id):
            return
        incarnation = upstream.announcement.incarnation
        self._declines.record(
            upstream_id, incarnation, for_ms=get_declined_ms(answer), now_ms=self._clock.now_ms()
        )
        cold_ms: float | None = None
        if state.has_warm_up:
            cold_ms = parse_cold_ms(answer.get_header(self._dialect.cold))
        if report is not None or per_s is not None or is_leaving or cold_ms is not None:
            leaving_incarnation = incarnation if is_leaving else None
            self._report_cache.record(upstream_id, report, per_s, leaving_incarnation, cold_ms)

    def _record_failure(self, state: _PollState) -> None:
        self._metrics.probes.labels("failed").inc()
        state.paused_until_ms = self._clock.now_ms() + PAUSE_AFTER_FAILURE_MS
        self._close(state)

    def _close(self, state: _PollState) -> None:
        if state.connection is not None:
            state.connection.close()
            state.connection = None
