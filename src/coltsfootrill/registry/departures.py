"""Departures of upstreams that no record can hold.

An upstream may deregister while its first announcement, or the first one of a later incarnation,
is still on its way. There is no record of that incarnation to mark as leaving then, so the
departure itself is stored, and the announcement is ignored when it arrives.
"""

from __future__ import annotations

from typing import Literal

# Announcements may arrive seconds late. No departure is dropped earlier than this.
ANNOUNCEMENT_LATE_MAX_MS = 60_000.0
STATED_KEPT_MS = 3_600_000.0
# A departure that states no incarnation also bars the next one under the same identifier.
UNSTATED_KEPT_MS = ANNOUNCEMENT_LATE_MAX_MS
DEPARTURES_MAX_COUNT = 4_096

DepartureResult = Literal["recorded", "known", "full"]


class Departure:
    """A departure at the local time ``departed_ms``, recorded at the position ``changed_at``.

    ``incarnation`` is the latest one that has left; ``None`` stands for all that announce
    themselves while the departure is kept.
    """

    __slots__ = ("changed_at", "departed_ms", "incarnation", "upstream_id")

    def __init__(
        self, upstream_id: str, incarnation: int | None, *, departed_ms: float, changed_at: int
    ) -> None:
        self.upstream_id = upstream_id
        self.incarnation = incarnation
        self.departed_ms = departed_ms
        self.changed_at = changed_at

    def covers(self, incarnation: int | None) -> bool:
        """Return whether this incarnation has left, with ``None`` whether all have."""
        if self.incarnation is None:
            return True
        return incarnation is not None and incarnation <= self.incarnation

    def has_expired(self, now_ms: float) -> bool:
        """Return whether the departure need not be remembered any longer."""
        kept_ms = UNSTATED_KEPT_MS if self.incarnation is None else STATED_KEPT_MS
        return now_ms > self.departed_ms + kept_ms


class Departures:
    """At most ``DEPARTURES_MAX_COUNT`` departures. Not thread-safe: the owner holds a lock.

    An upstream has two at most: of the latest incarnation that it stated, and one that states none.
    """

    __slots__ = ("_by_key",)

    def __init__(self) -> None:
        # By identifier, and whether the departure states an incarnation.
        self._by_key: dict[tuple[str, bool], Departure] = {}

    def covers(self, upstream_id: str, incarnation: int | None) -> bool:
        """Return whether this incarnation is known to have left, with ``None`` whether all are."""
        for is_stated in (True, False):
            departure = self._by_key.get((upstream_id, is_stated))
            if departure is not None and departure.covers(incarnation):
                return True
        return False

    def add(self, departure: Departure, *, now_ms: float) -> DepartureResult:
        """Record a departure unless it is known.

        ``full`` means that it was not recorded: there are ``DEPARTURES_MAX_COUNT`` others, and the
        announcement of each may still arrive.
        """
        key = (departure.upstream_id, departure.incarnation is not None)
        known = self._by_key.get(key)
        if departure.has_expired(now_ms):
            return "known"
        if known is not None and known.covers(departure.incarnation):
            return "known"
        if known is None and not self._make_room(now_ms):
            return "full"
        self._by_key[key] = departure
        return "recorded"

    def list_after(self, position: int) -> list[Departure]:
        """Return the departures that were recorded after ``position``."""
        return [departure for departure in self._by_key.values() if departure.changed_at > position]

    def remove_expired(self, now_ms: float) -> None:
        """Drop the departures that need not be remembered any longer."""
        expired = [key for key, departure in self._by_key.items() if departure.has_expired(now_ms)]
        for key in expired:
            del self._by_key[key]

    def _make_room(self, now_ms: float) -> bool:
        """Drop the oldest departure if there are too many; return whether there is room."""
        if len(self._by_key) < DEPARTURES_MAX_COUNT:
            return True
        oldest = min(self._by_key, key=lambda key: self._by_key[key].departed_ms)
        if now_ms < self._by_key[oldest].departed_ms + ANNOUNCEMENT_LATE_MAX_MS:
            return False
        del self._by_key[oldest]
        return True
