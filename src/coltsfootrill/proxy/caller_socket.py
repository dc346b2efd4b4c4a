"""The socket of a caller: receives with a timeout, and closes without losing the last answer."""

from __future__ import annotations

import contextlib
import socket

from coltsfootrill.clock import Clock
from coltsfootrill.early_listener import RECEIVE_BUFFER_BYTES
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.sockets import WIDE_RECEIVE_BUFFER_BYTES
from coltsfootrill.proxy.sockets import count_received_bytes
from coltsfootrill.proxy.sockets import set_receive_buffer
from coltsfootrill.proxy.sockets import set_receive_timeout

RECEIVE_BYTES = 64 * 1024
LINGER_MS = 500.0
LINGER_MAX_MS = 2_000.0
# What a caller sends after its refusal is discarded in steps with pauses, since a crowd would keep
# the interpreter from other requests. For the first few a step is large: a caller that reads only
# once it has sent its whole body gets its answer.
DISCARD_PAUSE_MS = 20.0
WIDE_STEP_BYTES = 2 * 1024 * 1024
# Bytes that are discarded; what threads write here at the same time is never read.
_DISCARDED = bytearray(RECEIVE_BYTES)


class CallerSocket:
    """The receiving side of a caller's connection, and its end.

    One thread at a time receives; others may shut it down. ``discarded_bytes`` were received
    after the last answer and not looked at. ``is_wide`` is true once the kernel may hold more
    unread than the listener has set.
    """

    __slots__ = ("_clock", "_timeout_ms", "discarded_bytes", "is_wide", "sock")

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.sock = sock
        self._clock = clock
        self._timeout_ms = 0.0
        self.is_wide = False
        self.discarded_bytes = 0

    def receive(self, count_max: int, timeout_ms: float) -> bytes | None:
        """Return received bytes, none at the end of the stream, ``None`` after ``timeout_ms``."""
        self._set_timeout(timeout_ms)
        try:
            return self.sock.recv(count_max)
        except BlockingIOError:
            return None

    def receive_now(self, count_max: int) -> bytes:
        """Return what has arrived already, which may be nothing.

        A thread may run again long after its receive has ended, and what has arrived meanwhile
        still counts.
        """
        try:
            return self.sock.recv(count_max, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return b""

    def end_if_empty(self, count_max: int) -> bytes:
        """Shut down sending unless something has arrived; return what has.

        This thread may wait long for the interpreter after each receive. The count of the kernel
        tells, directly before the end, whether anything has arrived since.
        """
        while True:
            count = count_received_bytes(self.sock)
            data = self.receive_now(count_max)
            if data:
                return data
            if count_received_bytes(self.sock) == count:
                self.shut_down(socket.SHUT_WR)
                return b""

    def widen(self, budget: BodyBudget) -> bool:
        """Let the kernel hold more unread until the socket is closed; return whether it may."""
        if not self.is_wide and budget.take_wide():
            self.is_wide = True
            set_receive_buffer(self.sock, WIDE_RECEIVE_BUFFER_BYTES)
        return self.is_wide

    def shut_down(self, how: int) -> None:
        """Shut down one direction or both."""
        with contextlib.suppress(OSError):
            # The caller may have closed the connection already.
            self.sock.shutdown(how)

    def discard_until_closed(self, budget: BodyBudget) -> None:
        """Shut down sending, then discard received bytes until the caller closes.

        Closing a socket with unread bytes of a rejected request would reset the connection, and
        the caller could lose the answer that rejects it.
        """
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(LINGER_MS / 1000)
        until_ms = self._clock.now_ms() + LINGER_MAX_MS
        if not self._discard_step(RECEIVE_BYTES, until_ms):
            return
        step_bytes = WIDE_STEP_BYTES if self.widen(budget) else RECEIVE_BUFFER_BYTES
        while self._discard_step(step_bytes, until_ms):
            self._clock.sleep_ms(DISCARD_PAUSE_MS)

    def close(self, budget: BodyBudget) -> None:
        """Close the socket, and free what it has of ``budget``."""
        self.sock.close()
        if self.is_wide:
            self.is_wide = False
            budget.release_wide()

    def _discard_step(self, step_bytes: int, until_ms: float) -> bool:
        """Discard up to ``step_bytes``; return whether more may come before ``until_ms``."""
        while step_bytes > 0:
            count = self.sock.recv_into(_DISCARDED)
            self.discarded_bytes += count
            if not count or self._clock.now_ms() >= until_ms:
                return False
            step_bytes -= count
        return True

    def _set_timeout(self, timeout_ms: float) -> None:
        """Set the kernel's receive timeout, which needs no system call before each receive."""
        if timeout_ms == self._timeout_ms:
            return
        self._timeout_ms = timeout_ms
        set_receive_timeout(self.sock, timeout_ms)
