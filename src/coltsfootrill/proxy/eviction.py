"""Which connection of a caller is closed when others need its place or its memory.

The load that this answers: callers that stop in the middle of a request, or after one, and stay
open. What costs a caller least goes first: a connection whose last answer has been sent, then one
whose request has stalled, then one that is idle. A request that is being answered is never cut.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal
from typing import Protocol
from typing import TypeVar

# A packet that is lost twice arrives within this time.
STALLED_MIN_MS = 1_000.0
# The time for a caller to read the answer after which its connection closes.
LINGERING_MIN_MS = 250.0

ConnectionState = Literal["lingering", "receiving", "idle", "busy"]

_MIN_MS_BY_STATE: dict[ConnectionState, float] = {
    "lingering": LINGERING_MIN_MS,
    "receiving": STALLED_MIN_MS,
    "idle": STALLED_MIN_MS,
}
_RANK_BY_STATE: dict[ConnectionState, int] = {"lingering": 0, "receiving": 1, "idle": 2}


class Evictable(Protocol):
    """A connection; ``active_ms`` is when it last did what it is kept open for."""

    active_ms: float
    is_evicted: bool

    @property
    def state(self) -> ConnectionState:
        """Return what the connection does."""

    @property
    def reserved_bytes(self) -> int:
        """Return how much memory it holds for the body of a request that is still arriving."""


C = TypeVar("C", bound=Evictable)


def choose_for_place(connections: Iterable[C], now_ms: float) -> C | None:
    """Return the connection that gives its place to a new one, ``None`` if none is to."""
    best: C | None = None
    best_key = (len(_RANK_BY_STATE), 0.0)
    for connection in connections:
        state = connection.state
        if state == "busy" or connection.is_evicted:
            continue
        if now_ms - connection.active_ms < _MIN_MS_BY_STATE[state]:
            continue
        key = (_RANK_BY_STATE[state], connection.active_ms)
        if key < best_key:
            best, best_key = connection, key
    return best


def choose_for_room(connections: Iterable[C], now_ms: float) -> C | None:
    """Return the connection that gives the memory of its body to another, ``None`` if none is to.

    It is the one that has stalled for longest.
    """
    stalled = [
        connection
        for connection in connections
        if connection.reserved_bytes
        and not connection.is_evicted
        and connection.state == "receiving"
        and now_ms - connection.active_ms >= STALLED_MIN_MS
    ]
    return min(stalled, key=lambda connection: connection.active_ms, default=None)
