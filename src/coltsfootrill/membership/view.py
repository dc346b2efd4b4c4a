"""The upstreams that an instance may use, as the hubs that it follows list them."""

from __future__ import annotations

import threading
from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import Directory
from coltsfootrill.registry.directory import StateChange
from coltsfootrill.registry.directory import UpstreamRecord

HUB_SILENT_AFTER_MS = 4_500.0


class HubReport:
    """The last reply of one hub; ``live`` are the upstreams that it lists."""

    __slots__ = ("heard_ms", "is_current", "is_settled", "instance_count", "live")

    def __init__(self, reply: FollowReply, *, live: frozenset[str], heard_ms: float) -> None:
        self.heard_ms = heard_ms
        self.is_current = reply.is_current
        self.is_settled = reply.is_settled
        self.instance_count = reply.instance_count
        self.live = live


class HubView:
    """Thread-safe view of all upstreams; ``generation`` grows when the usable ones change.

    An upstream is usable while it serves and a current hub lists it. Without any current hub
    the last list stays in use: upstreams refuse what is not for them.
    """

    def __init__(
        self, *, clock: Clock, on_upstream: Callable[[StateChange], None] = lambda change: None
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._directory = Directory(on_upstream, lease_ms=float("inf"))
        self._reports_by_hub: dict[str, HubReport] = {}
        self._usable: list[UpstreamRecord] = []
        # By hub, then by identifier; replaced as a whole, never changed in place.
        self._instances_by_hub: dict[str, dict[str, InstanceRecord]] = {}
        self._announcements: list[Announcement] = []
        self.generation = 0

    def apply(self, hub: str, reply: FollowReply) -> None:
        """Take in the reply of the hub at an address."""
        with self._lock:
            now_ms = self._clock.now_ms()
            for shared in reply.upstreams:
                self._directory.merge(
                    shared.announcement,
                    origin=shared.origin,
                    last_confirmed_ms=now_ms - shared.age_ms,
                    now_ms=now_ms,
                )
            self._reports_by_hub[hub] = HubReport(
                reply, live=self._find_live(hub, reply), heard_ms=now_ms
            )
            self._note_instances(hub, reply)
            self._update(now_ms)

    def clean(self) -> None:
        """Take in what changes by time alone."""
        with self._lock:
            self._update(self._clock.now_ms())

    def list_usable(self) -> list[UpstreamRecord]:
        """Return the upstreams that may get new work now."""
        return self._usable

    def get_lease_end_ms(self, records: list[UpstreamRecord]) -> float:
        """Return when the first of ``records`` ends to be usable by time alone: never."""
        return float("inf")

    def confirm(self, upstream_id: str, incarnation: int, last_confirmed_ms: float) -> None:
        """Ignore an answer as evidence: hubs tell which upstreams are alive."""

    def has_current_hub(self) -> bool:
        """Return whether a hub with a majority behind it replied of late."""
        with self._lock:
            return any(report.is_current for report in self._list_heard(self._clock.now_ms()))

    def count_instances(self) -> int | None:
        """Return the number of instances, ``None`` while no hub has told it."""
        with self._lock:
            counts = [report.instance_count for report in self._reports_by_hub.values()]
            return max(counts, default=None)

    def list_instances(self) -> list[InstanceRecord]:
        """Return the instances that a hub heard of late, this one included, ordered by id."""
        with self._lock:
            now_ms = self._clock.now_ms()
            by_id: dict[str, InstanceRecord] = {}
            for hub, records in self._instances_by_hub.items():
                report = self._reports_by_hub.get(hub)
                if report is not None and now_ms - report.heard_ms < HUB_SILENT_AFTER_MS:
                    by_id.update(records)
            return [by_id[instance_id] for instance_id in sorted(by_id)]

    def list_current_hubs(self) -> list[str]:
        """Return the addresses of the hubs that are current, the one heard last first."""
        with self._lock:
            now_ms = self._clock.now_ms()
            current = [
                (report.heard_ms, hub)
                for hub, report in self._reports_by_hub.items()
                if report.is_current and now_ms - report.heard_ms < HUB_SILENT_AFTER_MS
            ]
            return [hub for _, hub in sorted(current, reverse=True)]

    def _find_live(self, hub: str, reply: FollowReply) -> frozenset[str]:
        before = self._reports_by_hub.get(hub)
        known = frozenset() if reply.is_whole or before is None else before.live
        return (known - set(reply.silent)) | set(reply.live)

    def _note_instances(self, hub: str, reply: FollowReply) -> None:
        if not (reply.is_whole or reply.instances or reply.gone_instances):
            return
        known = {} if reply.is_whole else dict(self._instances_by_hub.get(hub, {}))
        for instance_id in reply.gone_instances:
            known.pop(instance_id, None)
        known.update({record.id: record for record in reply.instances})
        self._instances_by_hub[hub] = known

    def _list_heard(self, now_ms: float) -> list[HubReport]:
        return [
            report
            for report in self._reports_by_hub.values()
            if now_ms - report.heard_ms < HUB_SILENT_AFTER_MS
        ]

    def _update(self, now_ms: float) -> None:
        heard = self._list_heard(now_ms)
        live: frozenset[str] = frozenset()
        for report in heard:
            live |= report.live
        records = [record for record in self._directory.by_id.values() if record.is_usable(now_ms)]
        for record in records:
            if record.announcement.id in live:
                record.last_confirmed_ms = now_ms
        if any(report.is_current and report.is_settled for report in heard):
            records = [record for record in records if record.announcement.id in live]
            self._directory.forget_expired(now_ms)
        announcements = [record.announcement for record in records]
        if announcements != self._announcements:
            self._announcements = announcements
            self._usable = records
            self.generation += 1
