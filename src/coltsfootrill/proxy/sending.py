"""Sends answers to callers, and bounds the memory of those that callers do not read."""

from __future__ import annotations

import contextlib
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


class UnreadAnswer:
    """An answer that its caller has not read yet; ``progress_ms`` is when it last read of it."""

    __slots__ = ("abort", "is_given_up", "progress_ms", "size_bytes")

    def __init__(self, size_bytes: int, progress_ms: float, abort: Callable[[], object]) -> None:
        self.size_bytes = size_bytes
        self.progress_ms = progress_ms
        self.abort = abort
        self.is_given_up = False


class UnreadAnswers:
    """Bounds the bytes of answers that callers have not read yet. Thread-safe."""

    __slots__ = ("_answers", "_held_bytes", "_lock", "_max_bytes", "_usual_bytes")

    def __init__(
        self, max_bytes: int = UNREAD_MAX_BYTES, usual_bytes: int = UNREAD_USUAL_BYTES
    ) -> None:
        self._max_bytes = max_bytes
        self._usual_bytes = usual_bytes
        self._lock = threading.Lock()
        self._answers: set[UnreadAnswer] = set()
        self._held_bytes = 0

    def hold(self, answer: UnreadAnswer) -> None:
        """Count an answer; those of which nothing was read for longest are given up for it.

        A single answer always has room.
        """
        with self._lock:
            while self._answers and self._held_bytes + answer.size_bytes > self._max_bytes:
                victim = min(self._answers, key=lambda held: held.progress_ms)
                self._give_up(victim)
                victim.abort()
            self._answers.add(answer)
            self._held_bytes += answer.size_bytes

    def release(self, answer: UnreadAnswer) -> None:
        """Stop counting an answer."""
        with self._lock:
            self._remove(answer)

    def give_up_if_exceeded(self, answer: UnreadAnswer) -> None:
        """Give up an answer of which nothing is read if all together take much."""
        with self._lock:
            if self._held_bytes > self._usual_bytes:
                self._give_up(answer)

    def _give_up(self, answer: UnreadAnswer) -> None:
        answer.is_given_up = True
        self._remove(answer)

    def _remove(self, answer: UnreadAnswer) -> None:
        if answer in self._answers:
            self._answers.remove(answer)
            self._held_bytes -= answer.size_bytes


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
        answer = UnreadAnswer(len(data), self._clock.now_ms(), self._abort)
        self._unread.hold(answer)
        try:
            self._send_rest(rest, answer, until_ms)
        finally:
            self._unread.release(answer)

    def _send_rest(self, rest: memoryview, answer: UnreadAnswer, until_ms: float) -> None:
        """Send what is left as the caller reads."""
        while rest:
            if self._wait_until_writable(until_ms):
                rest = self._send_some(rest)
                answer.progress_ms = self._clock.now_ms()
            else:
                self._unread.give_up_if_exceeded(answer)
            if answer.is_given_up:
                raise TimeoutError("the caller does not read, and others need the memory")

    def _abort(self) -> None:
        with contextlib.suppress(OSError):
            # The caller may have closed the connection already.
            self._sock.shutdown(socket.SHUT_RDWR)

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
