"""State of upstreams and peers in one entry instance, shared between its threads."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Literal

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.membership.members import Members
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import PullReply
from coltsfootrill.membership.messages import PullRequest
from coltsfootrill.membership.messages import Renewal
from coltsfootrill.membership.messages import SharedUpstream
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import LEASE_MS
from coltsfootrill.registry.directory import Directory
from coltsfootrill.registry.directory import MergeResult
from coltsfootrill.registry.directory import StateChange
from coltsfootrill.registry.directory import UpstreamRecord

MEMBERSHIP_CHANGE_SHARED_MS = 5_000.0
HOLD_MAX_MS = 2_000
CONFIRMATIONS_MAX_COUNT = 10_000

MemberEvent = Literal["joined", "left", "lost"]


class Confirmation:
    """An answer of an upstream, which confirms that it was serving at ``sent_ms``.

    ``sent_ms`` is the time at which the request was sent.
    """

    __slots__ = ("incarnation", "sent_ms", "upstream_id")

    def __init__(self, upstream_id: str, incarnation: int, sent_ms: float) -> None:
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.sent_ms = sent_ms


class Fleet:
    """Thread-safe owner of the directory and the members.

    ``on_upstream`` and ``on_member`` are called with the lock held, once for each change.
    """

    def __init__(
        self,
        own: InstanceRecord,
        *,
        clock: Clock,
        on_upstream: Callable[[StateChange], None] = lambda change: None,
        on_member: Callable[[str, MemberEvent], None] = lambda instance_id, event: None,
    ) -> None:
        self._clock = clock
        self._own = own
        self._on_member = on_member
        self._changed = threading.Condition()
        self._confirmations: deque[Confirmation] = deque(maxlen=CONFIRMATIONS_MAX_COUNT)
        self.directory = Directory(on_upstream)
        self.members = Members(own.id, now_ms=clock.now_ms())

    @property
    def own(self) -> InstanceRecord:
        """Return the record of this instance."""
        return self._own

    @property
    def generation(self) -> int:
        """Return a number that grows when the usable upstreams change, except by lease expiry."""
        return self.directory.generation

    def get_lease_end_ms(self, records: list[UpstreamRecord]) -> float:
        """Return when the first lease of ``records`` ends, unless it is renewed."""
        ends = [record.last_confirmed_ms + record.lease_ms for record in records]
        return min(ends, default=self._clock.now_ms() + LEASE_MS)

    def set_manifest_version(self, version: int) -> None:
        """Send the version of the manifest in force to the peers."""
        with self._changed:
            self._own = msgspec.structs.replace(self._own, manifest_version=version)
            self._changed.notify_all()

    def announce_leaving(self) -> None:
        """Notify the peers that this instance leaves on purpose."""
        with self._changed:
            self._own = msgspec.structs.replace(self._own, is_leaving=True)
            self._changed.notify_all()

    def announce(self, announcement: Announcement) -> MergeResult:
        """Merge an announcement that an upstream sent to this instance."""
        with self._changed:
            now_ms = self._clock.now_ms()
            last_confirmed_ms = self.directory.estimate_confirmed_ms(announcement, now_ms)
            result = self.directory.merge(
                announcement,
                origin=self._own.id,
                last_confirmed_ms=last_confirmed_ms,
                now_ms=now_ms,
            )
            if result == "changed":
                self._changed.notify_all()
            return result

    def confirm(self, upstream_id: str, incarnation: int, sent_ms: float) -> None:
        """Extend the lease of an upstream that answered a request sent at ``sent_ms``.

        This is on the request path, which must not wait for the lock: the confirmation is queued
        and takes effect with the next ``remove_expired``.
        """
        self._confirmations.append(Confirmation(upstream_id, incarnation, sent_ms))

    def record_leaving(self, upstream_id: str, incarnation: int) -> None:
        """Use an upstream no more, whose answer stated that it is leaving, and notify the peers."""
        with self._changed:
            now_ms = self._clock.now_ms()
            result = self.directory.record_departure(
                upstream_id, incarnation, departed_ms=now_ms, now_ms=now_ms
            )
            record = self.directory.by_id.get(upstream_id)
            if result == "changed" and record is not None and record.is_leaving:
                record.origin = self._own.id
                self._changed.notify_all()

    def list_usable(self) -> list[UpstreamRecord]:
        """Return the upstreams that may get new work now, without waiting for the lock."""
        return self.directory.list_usable(self._clock.now_ms())

    def list_records(self) -> list[UpstreamRecord]:
        """Return all known upstreams, including those that have left."""
        with self._changed:
            return list(self.directory.by_id.values())

    def is_isolated(self) -> bool:
        """Return whether less than half of its peers reply to this instance."""
        with self._changed:
            return self.members.is_isolated(self._clock.now_ms())

    def list_members(self) -> list[InstanceRecord]:
        """Return the other instances that have not announced leaving."""
        with self._changed:
            return [member.record for member in self.members.list_present()]

    def make_request(self, *, boot: int, position: int, hold_ms: int) -> PullRequest:
        """Return the next request to a peer whose updates are known up to ``position``."""
        with self._changed:
            unresponsive = self.members.list_unresponsive(self._clock.now_ms())
            return PullRequest(self._own, boot, position, hold_ms, unresponsive)

    def answer(self, request: PullRequest) -> PullReply:
        """Return the updates that a peer requests, held until a change or the timeout."""
        start_ms = self._clock.now_ms()
        with self._changed:
            self._merge_member(request.sender, start_ms)
            own_before = self._own
            is_known = request.boot == self._own.boot
            position = request.position if is_known else 0
            end_ms = start_ms + min(max(request.hold_ms, 0), HOLD_MAX_MS)
            while is_known and not self._has_changes(position, own_before):
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0 or not self._changed.wait(left_ms / 1000):
                    break
            return self._make_reply(position, set(request.unresponsive), start_ms)

    def apply(self, reply: PullReply, *, sent_ms: float) -> bool:
        """Apply a reply to a request sent at ``sent_ms``.

        Return whether every renewal was for a known upstream; if not, pull the whole state.
        The ages in the reply refer to the time at which it was made, ``sent_ms + held_ms`` at the
        earliest. Using this lower bound means that a confirmation is never dated too late,
        however long the reply took.
        """
        made_ms = sent_ms + reply.held_ms
        with self._changed:
            now_ms = self._clock.now_ms()
            self._merge_member(reply.sender, now_ms)
            self.members.record_reply(reply.sender.id, now_ms=made_ms)
            for record in reply.instances:
                self._merge_member(record, now_ms)
            for shared in reply.upstreams:
                self.directory.merge(
                    shared.announcement,
                    origin=shared.origin,
                    last_confirmed_ms=made_ms - shared.age_ms,
                    now_ms=now_ms,
                )
            is_complete = True
            for renewal in reply.renewals:
                is_complete &= self.directory.renew(
                    renewal.id,
                    renewal.incarnation,
                    made_ms - renewal.age_ms,
                    origin=reply.sender.id,
                    now_ms=now_ms,
                )
            return is_complete

    def remove_expired(self) -> None:
        """Apply queued confirmations; remove expired upstreams and lost peers."""
        with self._changed:
            now_ms = self._clock.now_ms()
            while self._confirmations:
                confirmation = self._confirmations.popleft()
                self.directory.renew(
                    confirmation.upstream_id,
                    confirmation.incarnation,
                    confirmation.sent_ms,
                    origin=None,
                    now_ms=now_ms,
                )
            self.directory.remove_expired(now_ms)
            for instance_id in self.members.remove_lost(now_ms):
                self._on_member(instance_id, "lost")

    def count_for_budget(self) -> tuple[int, float, bool]:
        """Return the number of instances, the time of the last change, and ``is_isolated``."""
        with self._changed:
            now_ms = self._clock.now_ms()
            count = 1 + len(self.members.by_id)
            return count, self.members.stable_since_ms, self.members.is_isolated(now_ms)

    def _merge_member(self, record: InstanceRecord, now_ms: float) -> None:
        change = self.members.merge(record, now_ms=now_ms)
        if change == "joined" or change == "left":
            self._on_member(record.id, change)

    def _has_changes(self, position: int, own_before: InstanceRecord) -> bool:
        if self._own is not own_before:
            return True
        return any(
            record.changed_at > position and record.origin == self._own.id
            for record in self.directory.by_id.values()
        )

    def _make_reply(self, position: int, unresponsive: set[str], start_ms: float) -> PullReply:
        now_ms = self._clock.now_ms()
        origins = unresponsive | {self._own.id}
        upstreams: list[SharedUpstream] = []
        renewals: list[Renewal] = []
        for record in self.directory.by_id.values():
            if position and record.origin not in origins:
                continue
            age_ms = max(0, int(now_ms - record.last_confirmed_ms) + 1)
            announcement = record.announcement
            if record.changed_at > position or position == 0:
                upstreams.append(SharedUpstream(record.describe(), record.origin, age_ms))
            elif record.renewed_at > position:
                renewals.append(Renewal(announcement.id, announcement.incarnation, age_ms))
        has_member_changes = now_ms - self.members.stable_since_ms < MEMBERSHIP_CHANGE_SHARED_MS
        instances: list[InstanceRecord] = []
        if position == 0 or has_member_changes:
            instances = [member.record for member in self.members.by_id.values()]
        return PullReply(
            self._own,
            self.directory.position,
            int(now_ms - start_ms),
            upstreams,
            renewals,
            instances,
        )
