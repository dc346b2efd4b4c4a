"""All upstreams known to one entry instance, with their leases.

A lease starts at the local time at which the upstream was last confirmed to be serving and ends
``LEASE_MS`` later. An instance that is cut off from all others therefore stops using an upstream
within the time in which every other instance learns that it is leaving.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Literal

import msgspec

from coltsfootrill.registry.announcement import COLD_MAX_MS
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import UpstreamState
from coltsfootrill.registry.departures import Departure
from coltsfootrill.registry.departures import Departures

# No new work may be sent later than 3 s after the last confirmation. Admission controllers notice
# the end of a lease slightly late, so a lease is 100 ms shorter.
LEASE_MS = 2_900.0
RENEW_AFTER_MS = 800
TOMBSTONE_MS = 3_600_000.0
REMOVE_AFTER_MS = 60_000.0
STEADY_OFFSET_MS = 200.0
STEADY_COUNT = 3
# Heartbeats take different times, so their ends of the same warm-up differ by less than this.
COLD_TOLERANCE_MS = 500.0

MergeResult = Literal["changed", "renewed", "ignored"]
DepartureResult = Literal["changed", "recorded", "known", "full"]


class TransitTimes:
    """Offsets between the arrival of announcements and the upstream's clock, in milliseconds.

    Delayed announcements arrive with varying offsets. Several consecutive ones with the same
    offset mean that the upstream's clock was set back, and the fastest offset is reset.
    """

    __slots__ = ("_fastest", "_last", "_steady_count")

    def __init__(self) -> None:
        self._fastest: float | None = None
        self._last = 0.0
        self._steady_count = 0

    def get_lateness(self, offset_ms: float) -> float:
        """Return by how much an announcement arrived later than the fastest one."""
        is_steady = abs(offset_ms - self._last) < STEADY_OFFSET_MS
        self._steady_count = self._steady_count + 1 if is_steady else 0
        self._last = offset_ms
        if self._fastest is None or self._steady_count >= STEADY_COUNT:
            self._fastest = offset_ms
        self._fastest = min(self._fastest, offset_ms)
        return offset_ms - self._fastest


class UpstreamRecord:
    """The newest announcement of one upstream and the state of its lease.

    ``origin`` is the entry instance that received the announcement. ``last_confirmed_ms`` is the
    latest local time at which the upstream is known to have been serving. ``changed_at`` and
    ``renewed_at`` are positions in the directory's own sequence of updates. ``cold_until_ms`` is
    the latest local time until which its announcements state that it is cold.
    """

    __slots__ = (
        "announcement",
        "changed_at",
        "cold_until_ms",
        "last_confirmed_ms",
        "lease_ms",
        "origin",
        "renewed_at",
        "transit",
    )

    def __init__(
        self,
        announcement: Announcement,
        *,
        origin: str,
        last_confirmed_ms: float,
        lease_ms: float = LEASE_MS,
    ) -> None:
        self.announcement = announcement
        self.cold_until_ms = get_cold_until_ms(announcement, last_confirmed_ms)
        self.lease_ms = lease_ms
        self.origin = origin
        self.last_confirmed_ms = last_confirmed_ms
        self.changed_at = 0
        self.renewed_at = 0
        self.transit = TransitTimes()

    @property
    def is_leaving(self) -> bool:
        """Return whether this incarnation has announced that it is leaving."""
        return self.announcement.state == "leaving"

    def is_usable(self, now_ms: float) -> bool:
        """Return whether new work may be sent: serving, and the lease has not ended."""
        return (
            self.announcement.state == "serving" and now_ms < self.last_confirmed_ms + self.lease_ms
        )

    def describe(self) -> Announcement:
        """Return the announcement for another instance, as of ``last_confirmed_ms``.

        It states for how much longer the upstream is cold from then on: the time that was announced
        has partly passed.
        """
        cold_ms = math.ceil(max(0.0, self.cold_until_ms - self.last_confirmed_ms))
        if cold_ms == self.announcement.cold_ms:
            return self.announcement
        return msgspec.structs.replace(self.announcement, cold_ms=min(cold_ms, COLD_MAX_MS))

    def describe_lasting(self) -> Announcement:
        """Return the announcement without what changes with each renewal."""
        return msgspec.structs.replace(self.announcement, sequence=0, cold_ms=0)


class StateChange:
    """A change of one upstream's state, for the audit trail."""

    __slots__ = ("after", "before", "incarnation", "upstream_id")

    def __init__(
        self, *, upstream_id: str, incarnation: int, before: UpstreamState | None, after: str
    ) -> None:
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.before = before
        self.after = after


class Directory:
    """Records by upstream identifier, and departures that no record can hold.

    Not thread-safe: the owner holds a lock.
    """

    __slots__ = ("_lease_ms", "_on_change", "by_id", "departures", "generation", "position")

    def __init__(
        self,
        on_change: Callable[[StateChange], None] = lambda change: None,
        *,
        lease_ms: float = LEASE_MS,
    ) -> None:
        self._lease_ms = lease_ms
        self.by_id: dict[str, UpstreamRecord] = {}
        self.departures = Departures()
        self.position = 0
        # Grows when the set of upstreams or one of their states changes, not with renewals.
        self.generation = 0
        self._on_change = on_change

    def merge(
        self,
        announcement: Announcement,
        *,
        origin: str,
        last_confirmed_ms: float,
        now_ms: float | None = None,
    ) -> MergeResult:
        """Merge one announcement and return its effect.

        An older incarnation, one whose departure is recorded, and anything after ``leaving`` in the
        same incarnation, is ignored. ``now_ms`` defaults to ``last_confirmed_ms``.
        """
        if announcement.state != "leaving" and self.departures.covers(
            announcement.id, announcement.incarnation
        ):
            return "ignored"
        record = self.by_id.get(announcement.id)
        if record is None:
            record = UpstreamRecord(
                announcement,
                origin=origin,
                last_confirmed_ms=last_confirmed_ms,
                lease_ms=self._lease_ms,
            )
            self.by_id[announcement.id] = record
            self._mark_changed(record, before=None)
            return "changed"
        if not _supersedes(announcement, record.announcement):
            return "ignored"
        before = record.announcement
        record.announcement = announcement
        record.origin = origin
        is_new_incarnation = announcement.incarnation > before.incarnation
        if is_new_incarnation:
            record.transit = TransitTimes()
            record.last_confirmed_ms = last_confirmed_ms
            record.cold_until_ms = float("-inf")
        is_cold_again = _extend_cold(record, get_cold_until_ms(announcement, last_confirmed_ms))
        self._extend(record, last_confirmed_ms, last_confirmed_ms if now_ms is None else now_ms)
        if is_new_incarnation or not _describes_same(announcement, before):
            self._mark_changed(record, before=None if is_new_incarnation else before.state)
            return "changed"
        if is_cold_again:
            self._mark_cold(record)
            return "changed"
        self.position += 1
        record.renewed_at = self.position
        return "renewed"

    def estimate_confirmed_ms(self, announcement: Announcement, now_ms: float) -> float:
        """Return the confirmation time of an announcement that arrived at ``now_ms``.

        An announcement can be delayed in transit. Its lateness is the excess of its transit time,
        by the upstream's own clock, over the fastest one of the same incarnation.
        """
        record = self.by_id.get(announcement.id)
        if record is None or announcement.sent_at_ms == 0:
            return now_ms
        if announcement.incarnation != record.announcement.incarnation:
            return now_ms
        return now_ms - record.transit.get_lateness(now_ms - announcement.sent_at_ms)

    def renew(
        self,
        upstream_id: str,
        incarnation: int,
        last_confirmed_ms: float,
        *,
        origin: str | None,
        now_ms: float | None = None,
    ) -> bool:
        """Extend a lease after a confirmation of the same incarnation.

        ``origin`` is the instance that sent the confirmation, which is then passed on to
        instances that receive nothing from that one; with ``None`` it is not passed on. Return
        whether the incarnation, or a newer one, was known.
        """
        record = self.by_id.get(upstream_id)
        if record is None or record.announcement.incarnation < incarnation:
            return False
        if record.announcement.incarnation > incarnation:
            return True
        if record.announcement.state != "leaving" and last_confirmed_ms > record.last_confirmed_ms:
            self._extend(record, last_confirmed_ms, last_confirmed_ms if now_ms is None else now_ms)
            if origin is not None:
                # With the old origin, every instance that once received an announcement of this
                # upstream would pass on each renewal by the others.
                record.origin = origin
                self.position += 1
                record.renewed_at = self.position
        return True

    def mark_leaving(self, upstream_id: str, incarnation: int) -> bool:
        """Mark an upstream as leaving that has not announced it; return whether that is news."""
        record = self.by_id.get(upstream_id)
        if record is None or record.announcement.incarnation != incarnation or record.is_leaving:
            return False
        before = record.announcement
        record.announcement = msgspec.structs.replace(before, state="leaving")
        self._mark_changed(record, before=before.state)
        return True

    def record_departure(
        self, upstream_id: str, incarnation: int, *, departed_ms: float, now_ms: float
    ) -> DepartureResult:
        """Record that an incarnation has left, whether or not it has announced itself yet.

        Older incarnations have left as well. ``changed`` is news of an upstream that was not known
        to be leaving, ``recorded`` of a later incarnation of one that was; ``full`` means that
        there was no room for it.
        """
        record = self.by_id.get(upstream_id)
        was_leaving = record is not None and record.is_leaving
        is_marked = False
        if record is not None and record.announcement.incarnation <= incarnation:
            is_marked = self.mark_leaving(upstream_id, record.announcement.incarnation)
            if record.announcement.incarnation == incarnation:
                return "changed" if is_marked else "known"
        departure = Departure(
            upstream_id, incarnation, departed_ms=departed_ms, changed_at=self.position + 1
        )
        result = self.departures.add(departure, now_ms=now_ms)
        if result == "full":
            return "full"
        is_news = result == "recorded" and not was_leaving
        if result == "recorded":
            self.position += 1
        if is_news:
            self._record_change(upstream_id, incarnation, before=None, after="leaving")
        return "changed" if is_news or is_marked else result

    def list_usable(self, now_ms: float) -> list[UpstreamRecord]:
        """Return the records of all upstreams that may get new work now.

        Safe without the owner's lock: copying the values is one step of the interpreter.
        """
        return [record for record in list(self.by_id.values()) if record.is_usable(now_ms)]

    def remove_expired(self, now_ms: float) -> int:
        """Drop expired records and departures, and return how many records there were.

        The record of an upstream that left is retained for ``TOMBSTONE_MS``, so that a late
        announcement of the same incarnation cannot make it usable again.
        """
        self.departures.remove_expired(now_ms)
        expired = [
            upstream_id
            for upstream_id, record in self.by_id.items()
            if now_ms
            > record.last_confirmed_ms + (TOMBSTONE_MS if record.is_leaving else REMOVE_AFTER_MS)
        ]
        for upstream_id in expired:
            del self.by_id[upstream_id]
        self.generation += bool(expired)
        return len(expired)

    def _extend(self, record: UpstreamRecord, last_confirmed_ms: float, now_ms: float) -> None:
        was_usable = record.is_usable(now_ms)
        record.last_confirmed_ms = max(record.last_confirmed_ms, last_confirmed_ms)
        if record.is_usable(now_ms) and not was_usable:
            # An ended lease was renewed: users that compare generations must see the change.
            self.generation += 1

    def _mark_cold(self, record: UpstreamRecord) -> None:
        """Pass on that an upstream is cold again; its state is as before."""
        self.position += 1
        self.generation += 1
        record.changed_at = self.position
        record.renewed_at = self.position

    def _mark_changed(self, record: UpstreamRecord, before: UpstreamState | None) -> None:
        self.position += 1
        self.generation += 1
        record.changed_at = self.position
        record.renewed_at = self.position
        announcement = record.announcement
        self._record_change(
            announcement.id, announcement.incarnation, before=before, after=announcement.state
        )

    def _record_change(
        self,
        upstream_id: str,
        incarnation: int,
        *,
        before: UpstreamState | None,
        after: UpstreamState,
    ) -> None:
        change = StateChange(
            upstream_id=upstream_id, incarnation=incarnation, before=before, after=after
        )
        self._on_change(change)


def get_cold_until_ms(announcement: Announcement, announced_ms: float) -> float:
    """Return until when an announcement states that the upstream is cold, in local time."""
    return announced_ms + announcement.cold_ms if announcement.cold_ms else float("-inf")


def _extend_cold(record: UpstreamRecord, until_ms: float) -> bool:
    """Extend the time for which an upstream is cold; return whether others must hear of it.

    An announcement may have been on its way for long, so an earlier end is ignored.
    """
    before_ms = record.cold_until_ms
    record.cold_until_ms = max(before_ms, until_ms)
    return until_ms > before_ms + COLD_TOLERANCE_MS


def _supersedes(new: Announcement, old: Announcement) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if old.state == "leaving":
        return False
    if new.state == "leaving":
        return True
    return new.sequence > old.sequence


def _describes_same(new: Announcement, old: Announcement) -> bool:
    return (
        new.state == old.state
        and new.address == old.address
        and new.zone == old.zone
        and new.services == old.services
        and new.slots == old.slots
    )
