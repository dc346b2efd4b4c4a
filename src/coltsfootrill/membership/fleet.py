"""What one entry instance knows of upstreams and of its peers, shared between its threads."""

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

MEMBERSHIP_NEWS_MS = 5_000.0
HOLD_MAX_MS = 2_000
CONFIRMATIONS_MAX_COUNT = 10_000

MemberEvent = Literal["joined", "left", "lost"]


class Confirmation:
    """An upstream's own answer that shows it serving at ``last_confirmed_ms``."""

    __slots__ = ("last_confirmed_ms", "incarnation", "upstream_id")

    def __init__(self, upstream_id: str, incarnation: int, last_confirmed_ms: float) -> None:
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.last_confirmed_ms = last_confirmed_ms


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
        """Return a number that grows when the usable upstreams change, leases aside."""
        return self.directory.generation

    def get_lease_end_ms(self, records: list[UpstreamRecord]) -> float:
        """Return when the first lease of ``records`` ends, unless it is renewed."""
        ends = [record.last_confirmed_ms + record.lease_ms for record in records]
        return min(ends, default=self._clock.now_ms() + LEASE_MS)

    def set_manifest_version(self, version: int) -> None:
        """Tell the peers which manifest is in force here."""
        with self._changed:
            self._own = msgspec.structs.replace(self._own, manifest_version=version)
            self._changed.notify_all()

    def say_goodbye(self) -> None:
        """Tell the peers that this instance leaves on purpose."""
        with self._changed:
            self._own = msgspec.structs.replace(self._own, is_leaving=True)
            self._changed.notify_all()

    def announce(self, announcement: Announcement) -> MergeResult:
        """Take an announcement that an upstream sent to this instance."""
        with self._changed:
            now_ms = self._clock.now_ms()
            last_confirmed_ms = self.directory.discount_lateness(announcement, now_ms)
            result = self.directory.merge(
                announcement,
                origin=self._own.id,
                last_confirmed_ms=last_confirmed_ms,
                now_ms=now_ms,
            )
            if result == "changed":
                self._changed.notify_all()
            return result

    def confirm(self, upstream_id: str, incarnation: int, last_confirmed_ms: float) -> None:
        """Extend a lease on an upstream's own answer to a request sent at ``last_confirmed_ms``.

        Called for requests, which must not wait for the lock: it takes effect with ``clean``.
        """
        self._confirmations.append(Confirmation(upstream_id, incarnation, last_confirmed_ms))

    def list_usable(self) -> list[UpstreamRecord]:
        """Return the upstreams that may get new work now, without waiting for the lock."""
        return self.directory.list_usable(self._clock.now_ms())

    def list_records(self) -> list[UpstreamRecord]:
        """Return all upstreams known, those that left included."""
        with self._changed:
            return list(self.directory.by_id.values())

    def is_isolated(self) -> bool:
        """Return whether this instance hears less than half of its peers."""
        with self._changed:
            return self.members.is_isolated(self._clock.now_ms())

    def list_members(self) -> list[InstanceRecord]:
        """Return the other instances that have not said goodbye."""
        with self._changed:
            return [member.record for member in self.members.list_present()]

    def make_request(self, *, boot: int, position: int, hold_ms: int) -> PullRequest:
        """Return the next request to a peer whose updates are known up to ``position``."""
        with self._changed:
            unheard = self.members.list_unheard(self._clock.now_ms())
            return PullRequest(self._own, boot, position, hold_ms, unheard)

    def answer(self, request: PullRequest) -> PullReply:
        """Return the updates a peer asks for, held back until there is a change."""
        start_ms = self._clock.now_ms()
        with self._changed:
            self._merge_member(request.sender, start_ms)
            own_before = self._own
            is_known = request.boot == self._own.boot
            position = request.position if is_known else 0
            end_ms = start_ms + min(max(request.hold_ms, 0), HOLD_MAX_MS)
            while is_known and not self._has_news(position, own_before):
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0 or not self._changed.wait(left_ms / 1000):
                    break
            return self._make_reply(position, set(request.unheard), start_ms)

    def apply(self, reply: PullReply, *, sent_ms: float) -> bool:
        """Take in a reply to a request sent at ``sent_ms``.

        Returns whether every renewal was understood; if not, the whole state must be pulled.
        The peer stated ages when the reply was made, at the earliest ``sent_ms + held_ms``, so
        the evidence is never taken to be newer than it is, however long the reply took.
        """
        made_ms = sent_ms + reply.held_ms
        with self._changed:
            now_ms = self._clock.now_ms()
            self._merge_member(reply.sender, now_ms)
            self.members.hear(reply.sender.id, now_ms=made_ms)
            for record in reply.instances:
                self._merge_member(record, now_ms)
            for shared in reply.upstreams:
                self.directory.merge(
                    shared.announcement,
                    origin=shared.origin,
                    last_confirmed_ms=made_ms - shared.age_ms,
                    now_ms=now_ms,
                )
            understood = True
            for renewal in reply.renewals:
                understood &= self.directory.renew(
                    renewal.id,
                    renewal.incarnation,
                    made_ms - renewal.age_ms,
                    origin=reply.sender.id,
                    now_ms=now_ms,
                )
            return understood

    def clean(self) -> None:
        """Take in confirmations; forget upstreams that expired and peers that were lost."""
        with self._changed:
            now_ms = self._clock.now_ms()
            while self._confirmations:
                confirmation = self._confirmations.popleft()
                self.directory.renew(
                    confirmation.upstream_id,
                    confirmation.incarnation,
                    confirmation.last_confirmed_ms,
                    origin=None,
                    now_ms=now_ms,
                )
            self.directory.forget_expired(now_ms)
            for instance_id in self.members.remove_lost(now_ms):
                self._on_member(instance_id, "lost")

    def count_for_budget(self) -> tuple[int, float, bool]:
        """Return the number of instances, since when it is stable, and whether isolated."""
        with self._changed:
            now_ms = self._clock.now_ms()
            count = 1 + len(self.members.by_id)
            return count, self.members.stable_since_ms, self.members.is_isolated(now_ms)

    def _merge_member(self, record: InstanceRecord, now_ms: float) -> None:
        change = self.members.merge(record, now_ms=now_ms)
        if change == "joined" or change == "left":
            self._on_member(record.id, change)

    def _has_news(self, position: int, own_before: InstanceRecord) -> bool:
        if self._own is not own_before:
            return True
        return any(
            record.changed_at > position and record.origin == self._own.id
            for record in self.directory.by_id.values()
        )

    def _make_reply(self, position: int, unheard: set[str], start_ms: float) -> PullReply:
        now_ms = self._clock.now_ms()
        origins = unheard | {self._own.id}
        upstreams: list[SharedUpstream] = []
        renewals: list[Renewal] = []
        for record in self.directory.by_id.values():
            if position and record.origin not in origins:
                continue
            age_ms = max(0, int(now_ms - record.last_confirmed_ms) + 1)
            announcement = record.announcement
            if record.changed_at > position or position == 0:
                upstreams.append(SharedUpstream(announcement, record.origin, age_ms))
            elif record.renewed_at > position:
                renewals.append(Renewal(announcement.id, announcement.incarnation, age_ms))
        has_member_news = now_ms - self.members.stable_since_ms < MEMBERSHIP_NEWS_MS
        instances: list[InstanceRecord] = []
        if position == 0 or has_member_news:
            instances = [member.record for member in self.members.by_id.values()]
        return PullReply(
            self._own,
            self.directory.position,
            int(now_ms - start_ms),
            upstreams,
            renewals,
            instances,
        )
