"""Encoded replies of a hub, each made once for all followers that know the same."""

from __future__ import annotations

from collections.abc import Callable

# A reply is used again for this time while nothing urgent has changed.
SHARED_REPLY_MS = 200.0


class UrgentState:
    """What a reply must not be older than: any change of these is urgent."""

    __slots__ = ("is_current", "manifest_version", "notified_position", "order_number")

    def __init__(
        self,
        *,
        notified_position: int,
        is_current: bool,
        manifest_version: int,
        order_number: int = 0,
    ) -> None:
        self.order_number = order_number
        self.notified_position = notified_position
        self.is_current = is_current
        self.manifest_version = manifest_version

    def is_same(self, other: UrgentState) -> bool:
        """Return whether nothing urgent has changed between the two states."""
        return (
            self.notified_position == other.notified_position
            and self.is_current == other.is_current
            and self.manifest_version == other.manifest_version
            and self.order_number == other.order_number
        )


class _Reply:
    """An encoded reply, made at ``made_ms`` in ``state``."""

    __slots__ = ("made_ms", "raw", "state")

    def __init__(self, raw: bytes, *, state: UrgentState, made_ms: float) -> None:
        self.raw = raw
        self.state = state
        self.made_ms = made_ms


class SharedReplies:
    """The latest reply for each position that followers have. Not thread-safe."""

    __slots__ = ("_reply_by_position",)

    def __init__(self) -> None:
        self._reply_by_position: dict[int, _Reply] = {}

    def get(
        self, position: int, state: UrgentState, *, now_ms: float, make: Callable[[], bytes]
    ) -> bytes:
        """Return the reply for ``position``; ``make`` makes it if there is none for ``state``."""
        reply = self._reply_by_position.get(position)
        if reply is None or not reply.state.is_same(state) or _is_old(reply, now_ms):
            self._reply_by_position = {
                key: other
                for key, other in self._reply_by_position.items()
                if not _is_old(other, now_ms)
            }
            reply = _Reply(make(), state=state, made_ms=now_ms)
            self._reply_by_position[position] = reply
        return reply.raw


def _is_old(reply: _Reply, now_ms: float) -> bool:
    return now_ms - reply.made_ms >= SHARED_REPLY_MS
