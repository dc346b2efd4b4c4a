"""The upstreams that a hub considers live, with the position of each change."""

from __future__ import annotations


class LiveSet:
    """Identifiers of live upstreams, with the position of each change. Not thread-safe.

    Positions are numbers that the owner increases with each of its changes.
    """

    __slots__ = ("_changed_at_by_id", "ids")

    def __init__(self) -> None:
        self.ids: frozenset[str] = frozenset()
        self._changed_at_by_id: dict[str, int] = {}

    def replace(self, ids: frozenset[str], *, position: int) -> bool:
        """Replace the set as of ``position``; return whether it differs."""
        if ids == self.ids:
            return False
        for upstream_id in ids ^ self.ids:
            self._changed_at_by_id[upstream_id] = position
        self.ids = ids
        return True

    def prune(self, known: set[str]) -> None:
        """Drop the changes of upstreams that are neither live nor in ``known``."""
        for upstream_id in self._changed_at_by_id.keys() - known - self.ids:
            del self._changed_at_by_id[upstream_id]

    def list_live(self, position: int) -> list[str]:
        """Return the upstreams that are live and became so after ``position``."""
        return sorted(key for key in self.ids if self._changed_at_by_id[key] > position)

    def list_silent(self, position: int) -> list[str]:
        """Return the upstreams that are not live but may have been at ``position``."""
        return sorted(
            key
            for key, changed_at in self._changed_at_by_id.items()
            if changed_at > position and key not in self.ids
        )
