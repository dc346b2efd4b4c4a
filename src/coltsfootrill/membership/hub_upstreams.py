"""The upstreams that a hub knows, and what it tells followers about them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

from coltsfootrill.membership.messages import DepartureEntry
from coltsfootrill.membership.messages import DepartureRequest
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.messages import Renewal
from coltsfootrill.membership.messages import SharedUpstream
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import DepartureResult
from coltsfootrill.registry.directory import Directory
from coltsfootrill.registry.directory import MergeResult
from coltsfootrill.registry.directory import UpstreamRecord

HubMergeResult = MergeResult | Literal["superseded", "full"]


class HubUpstreams:
    """The directory of a hub, in which a newer upstream supersedes others at its address.

    Not thread-safe: the hub holds a lock. ``origin`` identifies the hub's instance.
    """

    __slots__ = ("_origin", "directory")

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self.directory = Directory()

    def merge(self, announcement: Announcement, *, age_ms: float, now_ms: float) -> HubMergeResult:
        """Merge an announcement that was made ``age_ms`` ago.

        ``full`` means that it announces a departure for which there is no room.
        """
        return self._merge(announcement, age_ms, now_ms, self.directory.by_id.values())

    def merge_all(self, upstreams: list[SharedUpstream], now_ms: float) -> bool:
        """Merge the upstreams of another hub; return whether one of them is a change."""
        if not upstreams:
            return False
        records_by_address: dict[str, list[UpstreamRecord]] = {}
        for record in self.directory.by_id.values():
            records_by_address.setdefault(record.announcement.address, []).append(record)
        has_changed = False
        for shared in upstreams:
            announcement = shared.announcement
            others = records_by_address.setdefault(announcement.address, [])
            result = self._merge(announcement, shared.age_ms, now_ms, others)
            has_changed |= result == "changed"
            if result != "superseded" and announcement.id in self.directory.by_id:
                others.append(self.directory.by_id[announcement.id])
        return has_changed

    def resolve_departure(self, request: LeaveRequest) -> DepartureRequest:
        """Return the departure that a request states.

        An upstream that does not state its incarnation has the one with a record, or a later one
        whose announcement has not arrived yet.
        """
        incarnation = request.incarnation
        if incarnation is None:
            record = self.directory.by_id.get(request.upstream_id)
            known = 0 if record is None else record.announcement.incarnation
            incarnation = max(known, request.latest_incarnation)
        return DepartureRequest(request.upstream_id, incarnation)

    def describe_departure(self, request: DepartureRequest) -> Announcement | DepartureRequest:
        """Return the announcement of the upstream that left, or the request if there is none."""
        record = self.directory.by_id.get(request.upstream_id)
        if record is None or record.announcement.incarnation != request.incarnation:
            return request
        return record.announcement

    def record_departure(
        self, request: DepartureRequest, *, age_ms: float, now_ms: float
    ) -> DepartureResult:
        """Record a departure that was stated ``age_ms`` ago."""
        return self.directory.record_departure(
            request.upstream_id, request.incarnation, departed_ms=now_ms - age_ms, now_ms=now_ms
        )

    def record_departures(self, entries: list[DepartureEntry], now_ms: float) -> bool:
        """Record the departures of which another hub knows; return whether one of them is news."""
        has_changed = False
        for entry in entries:
            request = DepartureRequest(entry.upstream_id, entry.incarnation)
            result = self.record_departure(request, age_ms=entry.age_ms, now_ms=now_ms)
            has_changed |= result == "changed"
        return has_changed

    def renew_all(self, renewals: list[Renewal], now_ms: float) -> None:
        """Renew the leases that another hub has renewed."""
        for renewal in renewals:
            self.directory.renew(
                renewal.id,
                renewal.incarnation,
                now_ms - renewal.age_ms,
                origin=None,
                now_ms=now_ms,
            )

    def list_departures(self, position: int, now_ms: float) -> list[DepartureEntry]:
        """Return the departures without a record that were recorded after ``position``."""
        return [
            DepartureEntry(
                departure.upstream_id,
                departure.incarnation,
                max(0, int(now_ms - departure.departed_ms)),
            )
            for departure in self.directory.departures.list_after(position)
        ]

    def list_lasting(self) -> list[Announcement]:
        """Return all announcements without what changes with each renewal."""
        return [record.describe_lasting() for record in self.directory.by_id.values()]

    def list_lasting_departures(self) -> list[DepartureRequest]:
        """Return the departures without a record, without how long ago they were."""
        return [
            DepartureRequest(departure.upstream_id, departure.incarnation)
            for departure in self.directory.departures.list_after(0)
        ]

    def list_live(self, confirmed_after_ms: float) -> frozenset[str]:
        """Return those that are not leaving and were confirmed after ``confirmed_after_ms``."""
        return frozenset(
            record.announcement.id
            for record in self.directory.by_id.values()
            if not record.is_leaving and record.last_confirmed_ms > confirmed_after_ms
        )

    def list_changed(self, position: int, now_ms: float) -> list[SharedUpstream]:
        """Return the upstreams that changed after ``position``, all of them after 0."""
        return [
            SharedUpstream(record.describe(), record.origin, _get_age_ms(record, now_ms))
            for record in self.directory.by_id.values()
            if record.changed_at > position or position == 0
        ]

    def list_renewed(self, position: int, now_ms: float) -> list[Renewal]:
        """Return the leases of those that have not changed after ``position`` and are not leaving.

        There are none after position 0.
        """
        if position == 0:
            return []
        return [
            Renewal(
                record.announcement.id,
                record.announcement.incarnation,
                _get_age_ms(record, now_ms),
            )
            for record in self.directory.by_id.values()
            if record.changed_at <= position and not record.is_leaving
        ]

    def _merge(
        self,
        announcement: Announcement,
        age_ms: float,
        now_ms: float,
        others: Iterable[UpstreamRecord],
    ) -> HubMergeResult:
        """Merge an announcement; ``others`` has all records at its address, and may have more."""
        if self._is_superseded(announcement, others):
            if announcement.state != "leaving":
                return "superseded"
            request = DepartureRequest(announcement.id, announcement.incarnation)
            result = self.record_departure(request, age_ms=age_ms, now_ms=now_ms)
            return "full" if result == "full" else "superseded"
        return self.directory.merge(
            announcement, origin=self._origin, last_confirmed_ms=now_ms - age_ms, now_ms=now_ms
        )

    def _is_superseded(self, announcement: Announcement, others: Iterable[UpstreamRecord]) -> bool:
        """Return whether a newer upstream has the address; mark older ones there as leaving."""
        for record in others:
            other = record.announcement
            if other.address != announcement.address or other.id == announcement.id:
                continue
            if record.is_leaving:
                continue
            if other.incarnation > announcement.incarnation:
                return True
            if announcement.state != "leaving":
                self.directory.mark_leaving(other.id, other.incarnation)
        return False


def _get_age_ms(record: UpstreamRecord, now_ms: float) -> int:
    """Return the age of the last confirmation, rounded up."""
    return max(0, int(now_ms - record.last_confirmed_ms) + 1)
