"""A loopback TCP proxy that delays, resets or silently drops traffic, in one or both directions."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Literal

from testing.serving import serve_in_thread

Mode = Literal["pass", "delay", "silent", "one-way"]
DELAY_S = 0.15
# SO_LINGER with a timeout of 0: closing the socket sends a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)


def accept_all(listener: socket.socket, serve: Callable[[socket.socket], None]) -> None:
    """Call ``serve`` for each connection, in a thread of its own, until ``listener`` is closed."""

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            serve_in_thread(serve, sock)

    threading.Thread(target=accept, daemon=True).start()


class FaultProxy:
    """Forwards connections from a port of its own to ``target``, with the fault set by ``mode``.

    ``silent`` drops all data without closing the connection, ``one-way`` only the replies.
    Connections that lost data stay silent for good.
    """

    def __init__(self, target: tuple[str, int], *, host: str = "127.0.0.1") -> None:
        self._target = target
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self.mode: Mode = "pass"
        self._lock = threading.Lock()
        self._open_sockets: set[socket.socket] = set()
        self._silent_before_s = 0.0
        accept_all(self._listener, self._connect)

    def reset_all(self) -> None:
        """Reset all open connections."""
        with self._lock:
            sockets = list(self._open_sockets)
        for sock in sockets:
            _reset(sock)

    def forget_all(self) -> None:
        """Let all open connections go silent for good, as when a middlebox loses its state."""
        self._silent_before_s = time.monotonic()

    def close(self) -> None:
        # A close alone does not end the wait for the next connection.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset_all()

    def _connect(self, caller: socket.socket) -> None:
        try:
            target = socket.create_connection(self._target, timeout=2)
        except OSError:
            _reset(caller)
            return
        target.settimeout(None)
        with self._lock:
            self._open_sockets |= {caller, target}
        opened_s = time.monotonic()
        for source, sink, is_reply in ((caller, target, False), (target, caller, True)):
            threading.Thread(
                target=self._forward, args=(source, sink, is_reply, opened_s), daemon=True
            ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_reply: bool, opened_s: float
    ) -> None:
        try:
            while data := source.recv(65_536):
                if opened_s < self._silent_before_s or not self._apply_mode(is_reply):
                    # Dropped bytes leave a gap, so this direction must not forward again.
                    while source.recv(65_536):
                        pass
                    return
                sink.sendall(data)
            if opened_s >= self._silent_before_s:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                _reset(sock)
        finally:
            with self._lock:
                self._open_sockets.discard(source)

    def _apply_mode(self, is_reply: bool) -> bool:
        """Return whether to forward data; in the mode ``delay``, wait first."""
        mode = self.mode
        if mode == "delay":
            time.sleep(DELAY_S)
        return mode in ("pass", "delay") or (mode == "one-way" and not is_reply)


def _reset(sock: socket.socket) -> None:
    # It may be closed already.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()
