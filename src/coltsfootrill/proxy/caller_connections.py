"""The open connections of callers: how many there may be, and which close when there is no room."""

from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Iterator
from typing import Literal

from absl import logging

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.caller import CallerConnection
from coltsfootrill.proxy.eviction import ConnectionState
from coltsfootrill.proxy.eviction import choose_for_place
from coltsfootrill.proxy.eviction import choose_for_room

# Connections that were told to close and are still closing, as a share of all that may be open.
CLOSING_SHARE = 1 / 16
LOG_INTERVAL_MS = 1_000.0
# A chosen connection stays open if bytes have arrived on it meanwhile.
ATTEMPTS_MAX_COUNT = 8
# After a search that found no connection; one goes through all of them.
SEARCH_PAUSE_MS = 50.0


class CallerConnections:
    """Counts the connections up to ``count_max``, and closes some that others need. Thread-safe.

    ``on_evicted`` is called with the state of each connection that is closed for others.
    """

    def __init__(
        self,
        count_max: int,
        *,
        clock: Clock,
        on_evicted: Callable[[ConnectionState], None] = lambda state: None,
    ) -> None:
        self.count_max = count_max
        self._closing_max_count = max(1, int(count_max * CLOSING_SHARE))
        self._clock = clock
        self._on_evicted = on_evicted
        self._lock = threading.Lock()
        self._open: set[CallerConnection] = set()
        # Their last answer has been sent.
        self._lingering: set[CallerConnection] = set()
        self._next_search_ms = {"place": 0.0, "room": 0.0}
        self._unlogged_count = 0
        self._logged_ms = 0.0

    def __len__(self) -> int:
        """Return the number of connections that may still be answered."""
        return len(self._open)

    def list_open(self) -> list[CallerConnection]:
        """Return the connections that may still be answered."""
        with self._lock:
            return list(self._open)

    def add(self, connection: CallerConnection) -> bool:
        """Add a connection, if need be in place of another; return whether there was room."""
        with self._lock:
            state: ConnectionState | None = None
            if not self._has_place():
                state = self._evict_for_place()
                if state is None:
                    return False
            self._open.add(connection)
        if state is not None:
            self._record(state)
        return True

    def linger(self, connection: CallerConnection) -> None:
        """Keep the place of a connection whose last answer has been sent."""
        with self._lock:
            self._open.discard(connection)
            self._lingering.add(connection)

    def discard(self, connection: CallerConnection) -> None:
        """Free the place of a connection that is closed."""
        with self._lock:
            self._open.discard(connection)
            self._lingering.discard(connection)

    def reclaim(self, count: int) -> bool:
        """Close stalled connections that hold memory for bodies; return whether any is closing.

        ``count`` are the bytes that another body lacks.
        """
        freed_bytes = 0
        while freed_bytes < count:
            with self._lock:
                reserved_bytes = self._evict_for_room()
            if not reserved_bytes:
                break
            freed_bytes += reserved_bytes
            self._record("receiving")
        return freed_bytes > 0

    def _evict_for_place(self) -> ConnectionState | None:
        """Close a connection; return its state, ``None`` if none is closed."""
        if not self._may_evict():
            return None
        for victim in self._search("place"):
            state = victim.state
            if victim.evict():
                return state
        return None

    def _evict_for_room(self) -> int:
        """Close a connection; return how many bytes it holds, 0 if none is closed."""
        for victim in self._search("room"):
            reserved_bytes = victim.reserved_bytes
            if victim.evict():
                return reserved_bytes
        return 0

    def _search(self, purpose: Literal["place", "room"]) -> Iterator[CallerConnection]:
        """Iterate over the connections to close, best first, as each of them stays open."""
        for _ in range(ATTEMPTS_MAX_COUNT):
            now_ms = self._clock.now_ms()
            if now_ms < self._next_search_ms[purpose]:
                return
            if purpose == "place":
                victim = choose_for_place([*self._lingering, *self._open], now_ms)
            else:
                victim = choose_for_room(self._open, now_ms)
            if victim is None:
                self._next_search_ms[purpose] = now_ms + SEARCH_PAUSE_MS
                return
            yield victim

    def _has_place(self) -> bool:
        return len(self._open) + len(self._lingering) < self.count_max

    def _may_evict(self) -> bool:
        """Return whether few enough connections are closing, whose threads and sockets remain."""
        count = len(self._open) + len(self._lingering)
        return count < self.count_max + self._closing_max_count

    def _record(self, state: ConnectionState) -> None:
        """Count a connection that was closed, and log at most one line in ``LOG_INTERVAL_MS``."""
        self._on_evicted(state)
        self._unlogged_count += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        count, self._unlogged_count = self._unlogged_count, 0
        logging.warning('connections closed for others count=%d last="%s"', count, state)
