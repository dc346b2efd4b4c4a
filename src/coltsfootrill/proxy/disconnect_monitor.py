"""Watches a caller's connection while one of its requests is processed."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable


class DisconnectMonitor:
    """Detects that a caller disconnects or sends more while one of its requests is processed.

    ``read_next`` starts the reading of the next request in another thread; it is called at most
    once. With ``None`` further bytes are not polled for. ``is_ending`` returns whether the server
    is about to close all connections.
    """

    __slots__ = ("_is_ending", "_read_next", "_sock")

    def __init__(
        self,
        sock: socket.socket,
        read_next: Callable[[], None] | None,
        *,
        is_ending: Callable[[], bool] = lambda: False,
    ) -> None:
        self._sock = sock
        self._read_next = read_next
        self._is_ending = is_ending

    def fileno(self) -> int:
        """Return the descriptor to poll."""
        return self._sock.fileno()

    @property
    def events(self) -> int:
        """Return the events to poll for."""
        return select.POLLRDHUP | (select.POLLIN if self._read_next is not None else 0)

    def handle_event(self, event: int) -> bool:
        """Handle a poll event; return whether the caller has disconnected."""
        if event & ~select.POLLIN:
            return True
        if event and self._read_next is not None:
            read_next, self._read_next = self._read_next, None
            read_next()
        return False

    def should_stop_waiting(self) -> bool:
        """Return whether a request that has no upstream yet should be refused now.

        Its caller has closed its end, or the server is about to close the connection.
        """
        if self._is_ending():
            return True
        poller = select.poll()
        poller.register(self._sock, self.events)
        return any(self.handle_event(event) for _, event in poller.poll(0))
