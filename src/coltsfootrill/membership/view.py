"""The upstreams that an instance may use, as listed by the hubs that it follows."""

from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import HubReply
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import Directory
from coltsfootrill.registry.directory import StateChange
from coltsfootrill.registry.directory import UpstreamRecord

HUB_RESPONSIVE_WITHIN_MS = 4_500.0


class HubState:
    """The last reply of one hub; ``live`` are the upstreams that it lists."""

    __slots__ = (
        "instance_count",
        "is_current",
        "is_settled",
        "last_reply_ms",
        "live",
        "manifest_version",
    )

    def __init__(self, reply: FollowReply, *, live: frozenset[str], last_reply_ms: float) -> None:
        self.last_reply_ms = last_reply_ms
        self.is_current = reply.is_current
        self.is_settled = reply.is_settled
        self.instance_count = reply.instance_count
        self.manifest_version = reply.manifest_version
        self.live = live

    def is_responsive(self, now_ms: float) -> bool:
        """Return whether the hub has replied recently."""
        return now_ms - self.last_reply_ms < HUB_RESPONSIVE_WITHIN_MS


class HubView:
    """Thread-safe view of all upstreams; ``generation`` grows when the usable ones change.

    An upstream is usable while it serves and a hub lists it as live. While no hub is current and
    settled, upstreams that no hub lists stay usable too: an upstream refuses requests that are
    not for it.
    """

    def __init__(
        self, *, clock: Clock, on_upstream: Callable[[StateChange], None] = lambda change: None
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._directory = Directory(on_upstream, lease_ms=float("inf"))
        self._state_by_hub: dict[str, HubState] = {}
        self._usable: list[UpstreamRecord] = []
        # Records by hub and identifier; each inner dictionary is replaced, never changed in place.
        self._instances_by_hub: dict[str, dict[str, InstanceRecord]] = {}
        self._announcements: list[Announcement] = []
        self._instances: list[InstanceRecord] = []
        # The dictionaries of ``_instances_by_hub`` that ``_instances`` was made from.
        self._instance_sources: list[dict[str, InstanceRecord]] = []
        self.generation = 0

    def apply(self, hub: str, reply: FollowReply) -> None:
        """Apply a reply from the hub at the address ``hub``."""
        with self._lock:
            now_ms = self._clock.now_ms()
            for entry in reply.departures:
                self._directory.record_departure(
                    entry.upstream_id,
                    entry.incarnation,
                    departed_ms=now_ms - entry.age_ms,
                    now_ms=now_ms,
                )
            for shared in reply.upstreams:
                self._directory.merge(
                    shared.announcement,
                    origin=shared.origin,
                    last_confirmed_ms=now_ms - shared.age_ms,
                    now_ms=now_ms,
                )
            self._state_by_hub[hub] = HubState(
                reply, live=self._find_live(hub, reply), last_reply_ms=now_ms
            )
            self._merge_instances(hub, reply)
            self._update(now_ms)

    def remove_expired(self) -> None:
        """Ignore hubs that no longer reply, and remove upstreams that have expired."""
        with self._lock:
            self._update(self._clock.now_ms())

    def list_usable(self) -> list[UpstreamRecord]:
        """Return the upstreams that may get new work now."""
        return self._usable

    def get_lease_end_ms(self, records: list[UpstreamRecord]) -> float:
        """Return infinity: leases do not expire here, because the hubs list the live upstreams."""
        return float("inf")

    def confirm(self, upstream_id: str, incarnation: int, sent_ms: float) -> None:
        """Do nothing: the hubs, not the answers of upstreams, determine which ones are live."""

    def record_leaving(self, upstream_id: str, incarnation: int) -> None:
        """Use an upstream no more, whose answer stated that this incarnation of it is leaving."""
        with self._lock:
            now_ms = self._clock.now_ms()
            result = self._directory.record_departure(
                upstream_id, incarnation, departed_ms=now_ms, now_ms=now_ms
            )
            if result == "changed":
                self._update(now_ms)

    def has_current_hub(self) -> bool:
        """Return whether a hub whose state a majority confirmed is responsive."""
        with self._lock:
            return any(state.is_current for state in self._list_responsive(self._clock.now_ms()))

    def count_instances(self) -> int | None:
        """Return the number of instances, ``None`` before the first reply of a hub."""
        with self._lock:
            counts = [state.instance_count for state in self._state_by_hub.values()]
            return max(counts, default=None)

    def list_instances(self) -> list[InstanceRecord]:
        """Return the instances that follow a responsive hub, this one included, ordered by id.

        The list is never changed in place, and stays the same object until the instances change.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            sources = [
                records
                for hub, records in self._instances_by_hub.items()
                if self._state_by_hub[hub].is_responsive(now_ms)
            ]
            if not _are_identical(sources, self._instance_sources):
                by_id = {key: record for records in sources for key, record in records.items()}
                self._instances = [by_id[instance_id] for instance_id in sorted(by_id)]
                self._instance_sources = sources
            return self._instances

    def list_current_hubs(self) -> list[str]:
        """Return the addresses of the current hubs, the one with the latest reply first."""
        with self._lock:
            now_ms = self._clock.now_ms()
            current = [
                (state.last_reply_ms, hub)
                for hub, state in self._state_by_hub.items()
                if state.is_current and state.is_responsive(now_ms)
            ]
            return [hub for _, hub in sorted(current, reverse=True)]

    def list_replies(self) -> list[HubReply]:
        """Return the last reply of each hub that is responsive, the latest first."""
        with self._lock:
            now_ms = self._clock.now_ms()
            replies = [
                HubReply(
                    hub=hub,
                    age_ms=round(now_ms - state.last_reply_ms, 1),
                    version=state.manifest_version,
                    is_current=state.is_current,
                )
                for hub, state in self._state_by_hub.items()
                if state.is_responsive(now_ms)
            ]
        return sorted(replies, key=lambda reply: reply.age_ms)

    def get_reported_version(self) -> int:
        """Return the newest manifest version that a responsive hub has reported, 0 if none has."""
        with self._lock:
            responsive = self._list_responsive(self._clock.now_ms())
            return max((state.manifest_version for state in responsive), default=0)

    def find_current_hub(self, zone: str) -> str | None:
        """Return the address of a current hub in an availability zone, if one is known."""
        zone_by_address = {record.address: record.zone for record in self.list_instances()}
        for hub in self.list_current_hubs():
            if zone_by_address.get(hub) == zone:
                return hub
        return None

    def _find_live(self, hub: str, reply: FollowReply) -> frozenset[str]:
        before = self._state_by_hub.get(hub)
        known = frozenset() if reply.is_whole or before is None else before.live
        return (known - set(reply.silent)) | set(reply.live)

    def _merge_instances(self, hub: str, reply: FollowReply) -> None:
        if not (reply.is_whole or reply.instances or reply.departed_instances):
            return
        known = {} if reply.is_whole else dict(self._instances_by_hub.get(hub, {}))
        for instance_id in reply.departed_instances:
            known.pop(instance_id, None)
        known.update({record.id: record for record in reply.instances})
        self._instances_by_hub[hub] = known

    def _list_responsive(self, now_ms: float) -> list[HubState]:
        return [state for state in self._state_by_hub.values() if state.is_responsive(now_ms)]

    def _update(self, now_ms: float) -> None:
        responsive = self._list_responsive(now_ms)
        live: frozenset[str] = frozenset()
        for state in responsive:
            live |= state.live
        records = [record for record in self._directory.by_id.values() if record.is_usable(now_ms)]
        for record in records:
            if record.announcement.id in live:
                record.last_confirmed_ms = now_ms
        if any(state.is_current and state.is_settled for state in responsive):
            records = [record for record in records if record.announcement.id in live]
            self._directory.remove_expired(now_ms)
        announcements = [record.announcement for record in records]
        if announcements != self._announcements:
            self._announcements = announcements
            self._usable = records
            self.generation += 1


def _are_identical(first: Sequence[object], second: Sequence[object]) -> bool:
    """Return whether both sequences hold the same objects in the same order."""
    return len(first) == len(second) and all(
        one is other for one, other in zip(first, second, strict=True)
    )
