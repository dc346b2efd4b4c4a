"""The other entry instances known to one entry instance, and its isolation from them."""

from __future__ import annotations

from typing import Literal

from coltsfootrill.membership.messages import InstanceRecord

RESPONSIVE_WITHIN_MS = 2_500.0
REMOVE_AFTER_MS = 60_000.0

MemberChange = Literal["joined", "left", "updated", "ignored"]


class Member:
    """One other entry instance; ``last_reply_ms`` is the local time of its last direct reply."""

    __slots__ = ("last_reply_ms", "record")

    def __init__(self, record: InstanceRecord, *, now_ms: float) -> None:
        self.record = record
        self.last_reply_ms = now_ms

    def is_responsive(self, now_ms: float) -> bool:
        """Return whether the instance replied within ``RESPONSIVE_WITHIN_MS``."""
        return now_ms - self.last_reply_ms < RESPONSIVE_WITHIN_MS


class Members:
    """The other instances by identifier. Not thread-safe: the owner holds a lock."""

    __slots__ = ("by_id", "own_id", "stable_since_ms")

    def __init__(self, own_id: str, *, now_ms: float) -> None:
        self.by_id: dict[str, Member] = {}
        self.own_id = own_id
        self.stable_since_ms = now_ms

    def merge(self, record: InstanceRecord, *, now_ms: float) -> MemberChange:
        """Merge the record of one instance and return what it changed."""
        if record.id == self.own_id:
            return "ignored"
        member = self.by_id.get(record.id)
        if member is None:
            if record.is_leaving:
                return "ignored"
            member = Member(record, now_ms=now_ms)
            self.by_id[record.id] = member
            self._mark_changed(member, now_ms)
            return "joined"
        if record.boot < member.record.boot:
            return "ignored"
        is_new_boot = record.boot > member.record.boot
        if not is_new_boot and (member.record.is_leaving or record == member.record):
            return "ignored"
        before = member.record
        if not is_new_boot and record.manifest_version < before.manifest_version:
            return "ignored"
        member.record = record
        if is_new_boot or record.is_leaving:
            self._mark_changed(member, now_ms)
            return "left" if record.is_leaving else "joined"
        return "updated"

    def record_reply(self, instance_id: str, *, now_ms: float) -> None:
        """Record a direct reply from an instance."""
        member = self.by_id.get(instance_id)
        if member is not None:
            member.last_reply_ms = max(member.last_reply_ms, now_ms)

    def list_unresponsive(self, now_ms: float) -> list[str]:
        """Return the present members that do not reply."""
        return [
            instance_id
            for instance_id, member in self.by_id.items()
            if not member.record.is_leaving and not member.is_responsive(now_ms)
        ]

    def list_present(self) -> list[Member]:
        """Return the members that have not announced leaving."""
        return [member for member in self.by_id.values() if not member.record.is_leaving]

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether less than half of the other members reply.

        An instance that has no other members is the only one of its fleet and is not isolated.
        """
        present = self.list_present()
        if not present:
            return False
        responsive = sum(member.is_responsive(now_ms) for member in present)
        return 2 * responsive < len(present)

    def remove_lost(self, now_ms: float) -> list[str]:
        """Remove members without a reply for ``REMOVE_AFTER_MS`` and return their identifiers.

        An isolated instance removes none.
        """
        if self.is_isolated(now_ms):
            return []
        lost = [
            instance_id
            for instance_id, member in self.by_id.items()
            if now_ms - member.last_reply_ms > REMOVE_AFTER_MS
        ]
        for instance_id in lost:
            del self.by_id[instance_id]
        if lost:
            self.stable_since_ms = now_ms
        return lost

    def _mark_changed(self, member: Member, now_ms: float) -> None:
        member.last_reply_ms = max(member.last_reply_ms, now_ms)
        self.stable_since_ms = now_ms
