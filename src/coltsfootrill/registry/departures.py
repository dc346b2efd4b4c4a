"""Departures of upstreams that no record can hold.

An upstream may deregister while its first announcement, or the first one of a later incarnation,
is still on its way. There is no record of that incarnation to mark as leaving then, so the
departure itself is stored, and the announcement is ignored when it arrives.
"""

from __future__ import annotations

from typing import Literal

# Announcements may arrive seconds late. No departure is dropped earlier than this.
ANNOUNCEMENT_LATE_MAX_MS = 60_000.0
DEPARTURE_KEPT_MS = 600_000.0
DEPARTURES_MAX_COUNT = 4_096

AddResult = Literal["recorded", "known", "full"]


class Departure:
    """A departure at the local time ``departed_ms``, recorded at the position ``changed_at``.

    ``incarnation`` is the latest one that has left.
    """

    __slots__ = ("changed_at", "departed_ms", "incarnation", "upstream_id")

    def __init__(
        self, upstream_id: str, incarnation: int, *, departed_ms: float, changed_at: int
    ) -> None:
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.departed_ms = departed_ms
        self.changed_at = changed_at

    def has_expired(self, now_ms: float) -> bool:
        """Return whether the departure need not be remembered any longer."""
        return now_ms > self.departed_ms + DEPARTURE_KEPT_MS


class Departures:
    """The latest departure of each of ``DEPARTURES_MAX_COUNT`` upstreams at most.

    Not thread-safe: the owner holds a lock.
    """

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, Departure] = {}

    def covers(self, upstream_id: str, incarnation: int) -> bool:
        """Return whether this incarnation is known to have left."""
        departure = self._by_id.get(upstream_id)
        return departure is not None and incarnation <= departure.incarnation

    def add(self, departure: Departure, *, now_ms: float) -> AddResult:
        """Record a departure unless it is known.

        ``full`` means that it was not recorded: there are ``DEPARTURES_MAX_COUNT`` others, and the
        announcement of each may still arrive.
        """
        upstream_id = departure.upstream_id
        if departure.has_expired(now_ms) or self.covers(upstream_id, departure.incarnation):
            return "known"
        if upstream_id not in self._by_id and not self._make_room(now_ms):
            return "full"
        self._by_id[upstream_id] = departure
        return "recorded"

    def list_after(self, position: int) -> list[Departure]:
        """Return the departures that were recorded after ``position``."""
        return [departure for departure in self._by_id.values() if departure.changed_at > position]

    def remove_expired(self, now_ms: float) -> None:
        """Drop the departures that need not be remembered any longer."""
        expired = [key for key, departure in self._by_id.items() if departure.has_expired(now_ms)]
        for upstream_id in expired:
            del self._by_id[upstream_id]

    def _make_room(self, now_ms: float) -> bool:
        """Drop the oldest departure if there are too many; return whether there is room."""
        if len(self._by_id) < DEPARTURES_MAX_COUNT:
            return True
        oldest = min(self._by_id.values(), key=lambda departure: departure.departed_ms)
        if now_ms < oldest.departed_ms + ANNOUNCEMENT_LATE_MAX_MS:
            return False
        del self._by_id[oldest.upstream_id]
        return True
