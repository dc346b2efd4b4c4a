"""Entry instances known to one entry instance, and whether it is isolated from them."""

from __future__ import annotations

from typing import Literal

from coltsfootrill.membership.messages import InstanceRecord

RESPONSIVE_WITHIN_MS = 2_500.0
REMOVE_AFTER_MS = 60_000.0

MemberChange = Literal["joined", "left", "updated", "ignored"]


class Member:
    """One other entry instance; ``heard_ms`` is the local time of its last direct reply."""

    __slots__ = ("heard_ms", "record")

    def __init__(self, record: InstanceRecord, *, now_ms: float) -> None:
        self.record = record
        self.heard_ms = now_ms

    def is_heard(self, now_ms: float) -> bool:
        """Return whether the instance has replied of late."""
        return now_ms - self.heard_ms < RESPONSIVE_WITHIN_MS


class Members:
    """Other instances by identifier. Not thread-safe: the owner holds a lock."""

    __slots__ = ("by_id", "own_id", "stable_since_ms")

    def __init__(self, own_id: str, *, now_ms: float) -> None:
        self.by_id: dict[str, Member] = {}
        self.own_id = own_id
        self.stable_since_ms = now_ms

    def merge(self, record: InstanceRecord, *, now_ms: float) -> MemberChange:
        """Take in what is said about one instance and return what it changed."""
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

    def hear(self, instance_id: str, *, now_ms: float) -> None:
        """Note a direct reply from an instance."""
        member = self.by_id.get(instance_id)
        if member is not None:
            member.heard_ms = max(member.heard_ms, now_ms)

    def list_unheard(self, now_ms: float) -> list[str]:
        """Return the instances that are members but do not reply."""
        return [
            instance_id
            for instance_id, member in self.by_id.items()
            if not member.record.is_leaving and not member.is_heard(now_ms)
        ]

    def list_present(self) -> list[Member]:
        """Return the members that have not said goodbye."""
        return [member for member in self.by_id.values() if not member.record.is_leaving]

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether less than half of the other members reply.

        An instance without any other member is not isolated: it is the only one.
        """
        present = self.list_present()
        if not present:
            return False
        heard = sum(member.is_heard(now_ms) for member in present)
        return 2 * heard < len(present)

    def remove_lost(self, now_ms: float) -> list[str]:
        """Drop members not heard for ``REMOVE_AFTER_MS``, unless this instance is isolated."""
        if self.is_isolated(now_ms):
            return []
        lost = [
            instance_id
            for instance_id, member in self.by_id.items()
            if now_ms - member.heard_ms > REMOVE_AFTER_MS
        ]
        for instance_id in lost:
            del self.by_id[instance_id]
        if lost:
            self.stable_since_ms = now_ms
        return lost

    def _mark_changed(self, member: Member, now_ms: float) -> None:
        member.heard_ms = max(member.heard_ms, now_ms)
        self.stable_since_ms = now_ms
