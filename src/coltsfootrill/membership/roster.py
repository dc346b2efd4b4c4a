"""The instances that follow a hub, and which of them changed since a position."""

from __future__ import annotations

from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord

DEPARTURES_MAX_COUNT = 500


class Follower:
    """An instance that follows this hub; ``heard_ms`` is the time of its last call."""

    __slots__ = ("changed_at", "heard_ms", "is_candidate", "is_hub", "record")

    def __init__(self, request: FollowRequest, *, heard_ms: float, changed_at: int) -> None:
        self.record = request.sender
        self.is_candidate = request.is_candidate
        self.is_hub = request.is_hub
        self.heard_ms = heard_ms
        self.changed_at = changed_at


class Roster:
    """Followers by identifier, with the position of each change. Not thread-safe.

    Positions are the owner's: numbers that grow with each of its changes. ``horizon`` is the one
    up to which departures are forgotten: who knows less needs the whole list.
    """

    __slots__ = ("_gone_at_by_id", "by_id", "horizon")

    def __init__(self) -> None:
        self.by_id: dict[str, Follower] = {}
        self.horizon = 0
        self._gone_at_by_id: dict[str, int] = {}

    def note(self, request: FollowRequest, *, heard_ms: float, position: int) -> bool:
        """Note a call of an instance; return whether that is news, then told at ``position``."""
        instance_id = request.sender.id
        known = self.by_id.get(instance_id)
        is_same = (
            known is not None
            and known.record.address == request.sender.address
            and known.is_hub == request.is_hub
        )
        changed_at = known.changed_at if known is not None and is_same else position
        self.by_id[instance_id] = Follower(request, heard_ms=heard_ms, changed_at=changed_at)
        self._gone_at_by_id.pop(instance_id, None)
        return not is_same

    def drop(self, instance_id: str, *, position: int) -> bool:
        """Note that an instance has gone; return whether it was known."""
        if self.by_id.pop(instance_id, None) is None:
            return False
        self._gone_at_by_id[instance_id] = position
        while len(self._gone_at_by_id) > DEPARTURES_MAX_COUNT:
            oldest = next(iter(self._gone_at_by_id))
            self.horizon = self._gone_at_by_id.pop(oldest)
        return True

    def list_silent(self, since_ms: float) -> list[str]:
        """Return the instances that have not called since a time."""
        return [key for key, follower in self.by_id.items() if follower.heard_ms < since_ms]

    def list_changed(self, position: int) -> list[InstanceRecord]:
        """Return the records that are new or changed since ``position``."""
        return [
            follower.record for follower in self.by_id.values() if follower.changed_at > position
        ]

    def list_gone(self, position: int) -> list[str]:
        """Return the instances that have gone since ``position``."""
        return [key for key, gone_at in self._gone_at_by_id.items() if gone_at > position]
