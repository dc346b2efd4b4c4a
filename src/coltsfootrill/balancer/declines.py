"""Upstreams that decline the requests of this instance for a time that they have stated."""

from __future__ import annotations

import threading

_NEVER_MS = float("-inf")


class DeclineTimes:
    """Until when each start of an upstream wants nothing from this instance. Thread-safe.

    One object serves all services and the polls. Unlike the state of a load, what it holds outlasts
    the lease of the upstream.
    """

    __slots__ = ("_lock", "_until_ms_by_start")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._until_ms_by_start: dict[tuple[str, int], float] = {}

    def record(self, upstream_id: str, incarnation: int, *, for_ms: float, now_ms: float) -> None:
        """Record that a start of an upstream has declined requests for ``for_ms``.

        The later end of two times stays, and ``for_ms`` of 0 has no effect.
        """
        if not for_ms:
            return
        start = (upstream_id, incarnation)
        with self._lock:
            for ended in [key for key, end in self._until_ms_by_start.items() if end <= now_ms]:
                del self._until_ms_by_start[ended]
            until_ms = max(self.get_until_ms(upstream_id, incarnation), now_ms + for_ms)
            self._until_ms_by_start[start] = until_ms

    def get_until_ms(self, upstream_id: str, incarnation: int) -> float:
        """Return until when the upstream declines requests, minus infinity if it never did."""
        return self._until_ms_by_start.get((upstream_id, incarnation), _NEVER_MS)

    def is_declining(self, upstream_id: str, incarnation: int, now_ms: float) -> bool:
        """Return whether the upstream wants nothing at ``now_ms``."""
        if not self._until_ms_by_start:
            return False
        return now_ms < self.get_until_ms(upstream_id, incarnation)
