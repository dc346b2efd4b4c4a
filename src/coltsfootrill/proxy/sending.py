"""Sends answers to callers, and bounds the memory of those that callers do not read."""

from __future__ import annotations

import math
import select
import socket
import threading
from collections.abc import Callable

from coltsfootrill.clock import Clock

WRITE_TIMEOUT_MS = 30_000.0
UNREAD_MAX_BYTES = 32 * 1024 * 1024
# Beyond this, an answer of which nothing is read for ``STALLED_MIN_MS`` is given up.
UNREAD_USUAL_BYTES = UNREAD_MAX_BYTES // 2
STALLED_MIN_MS = 250.0


class UnreadAnswers:
    """Counts the bytes of answers that callers have not read yet. Thread-safe."""

    __slots__ = ("_held_bytes", "_lock", "_max_bytes", "_usual_bytes")

    def __init__(
        self, max_bytes: int = UNREAD_MAX_BYTES, usual_bytes: int = UNREAD_USUAL_BYTES
    ) -> None:
        self._max_bytes = max_bytes
        self._usual_bytes = usual_bytes
        self._lock = threading.Lock()
        self._held_bytes = 0

    def try_hold(self, count: int) -> bool:
        """Count an answer that its caller does not read at once; return whether there is room.

        A single answer always has room.
        """
        with self._lock:
            if self._held_bytes and self._held_bytes + count > self._max_bytes:
                return False
            self._held_bytes += count
            return True

    def release(self, count: int) -> None:
        """Stop counting an answer."""
        with self._lock:
            self._held_bytes -= count

    def release_if_exceeded(self, count: int) -> bool:
        """Stop counting an answer while all together take much; return whether they did."""
        with self._lock:
            if self._held_bytes <= self._usual_bytes:
                return False
            self._held_bytes -= count
            return True


class Sender:
    """Sends to one caller, from one thread at a time.

    The socket stays in blocking mode, since another thread may be receiving from it.
    """

    __slots__ = ("_clock", "_sock", "_unread")

    def __init__(self, sock: socket.socket, clock: Clock, unread: UnreadAnswers) -> None:
        self._sock = sock
        self._clock = clock
        self._unread = unread

    def send(self, data: bytes, *, on_wait: Callable[[], object] = lambda: None) -> None:
        """Send ``data``; raise ``OSError`` if that fails or takes too long.

        ``on_wait`` is called once if the caller does not read all of it at once.
        """
        rest = memoryview(data)
        until_ms = self._clock.now_ms() + WRITE_TIMEOUT_MS
        rest = self._send_some(rest)
        if not rest:
            return
        on_wait()
        held_bytes = len(data)
        if not self._unread.try_hold(held_bytes):
            raise TimeoutError("the caller does not read at once, and others hold the memory")
        try:
            while rest:
                if not self._wait_until_writable(until_ms):
                    if self._unread.release_if_exceeded(held_bytes):
                        held_bytes = 0
                        raise TimeoutError("the caller does not read, and others need the memory")
                    continue
                rest = self._send_some(rest)
        finally:
            self._unread.release(held_bytes)

    def _send_some(self, rest: memoryview) -> memoryview:
        """Send what the kernel takes now; return what is left."""
        try:
            while rest:
                rest = rest[self._sock.send(rest, socket.MSG_DONTWAIT) :]
        except BlockingIOError:
            pass
        return rest

    def _wait_until_writable(self, until_ms: float) -> bool:
        """Wait for at most ``STALLED_MIN_MS``; return whether more can be sent.

        Raises ``TimeoutError`` at ``until_ms``.
        """
        remaining_ms = until_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise TimeoutError("the caller did not read the answer in time")
        poller = select.poll()
        poller.register(self._sock, select.POLLOUT)
        return bool(poller.poll(math.ceil(min(remaining_ms, STALLED_MIN_MS))))
