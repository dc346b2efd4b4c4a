"""The instances that follow a hub, and those that changed after a position."""

from __future__ import annotations

from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord

DEPARTURES_MAX_COUNT = 500


class Follower:
    """An instance that follows this hub; ``last_call_ms`` is the time of its last call."""

    __slots__ = ("changed_at", "is_candidate", "is_hub", "last_call_ms", "record")

    def __init__(self, request: FollowRequest, *, last_call_ms: float, changed_at: int) -> None:
        self.record = request.sender
        self.is_candidate = request.is_candidate
        self.is_hub = request.is_hub
        self.last_call_ms = last_call_ms
        self.changed_at = changed_at


class Roster:
    """Followers by identifier, with the position of each change. Not thread-safe.

    Positions are numbers that the owner increases with each of its changes. Departures up to
    the position ``pruned_up_to`` are no longer stored, so a follower with an older position needs
    the whole list.
    """

    __slots__ = ("_departed_at_by_id", "by_id", "pruned_up_to")

    def __init__(self) -> None:
        self.by_id: dict[str, Follower] = {}
        self.pruned_up_to = 0
        self._departed_at_by_id: dict[str, int] = {}

    def record_call(self, request: FollowRequest, *, last_call_ms: float, position: int) -> bool:
        """Record a call; return whether it added or changed the instance, at ``position``."""
        instance_id = request.sender.id
        known = self.by_id.get(instance_id)
        is_same = (
            known is not None
            and known.record.address == request.sender.address
            and known.is_hub == request.is_hub
        )
        changed_at = known.changed_at if known is not None and is_same else position
        self.by_id[instance_id] = Follower(
            request, last_call_ms=last_call_ms, changed_at=changed_at
        )
        self._departed_at_by_id.pop(instance_id, None)
        return not is_same

    def drop(self, instance_id: str, *, position: int) -> bool:
        """Remove an instance that departed; return whether it was known."""
        if self.by_id.pop(instance_id, None) is None:
            return False
        self._departed_at_by_id[instance_id] = position
        while len(self._departed_at_by_id) > DEPARTURES_MAX_COUNT:
            oldest = next(iter(self._departed_at_by_id))
            self.pruned_up_to = self._departed_at_by_id.pop(oldest)
        return True

    def list_expired(self, before_ms: float) -> list[str]:
        """Return the instances whose last call was earlier than ``before_ms``."""
        return [key for key, follower in self.by_id.items() if follower.last_call_ms < before_ms]

    def list_changed(self, position: int) -> list[InstanceRecord]:
        """Return the records that were added or changed after ``position``."""
        return [
            follower.record for follower in self.by_id.values() if follower.changed_at > position
        ]

    def list_departed(self, position: int) -> list[str]:
        """Return the instances that departed after ``position``."""
        return [
            key for key, departed_at in self._departed_at_by_id.items() if departed_at > position
        ]
