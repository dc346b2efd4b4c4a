"""One connection of a caller: whole requests in, whole answers out, in the order of requests.

A caller may send further requests before the first is answered. They are worked on side by side:
the thread that works on a request hands the reading over to another one as soon as more bytes
arrive, and each answer waits for its turn.
"""

from __future__ import annotations

import select
import socket
import struct
import threading
from collections.abc import Callable
from typing import Any

import waitress.parser
from waitress.adjustments import Adjustments

from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.proxy.connection import send_whole

RECEIVE_BYTES = 64 * 1024
WRITE_TIMEOUT_MS = 30_000.0
LINGER_MS = 500.0
LINGER_READS_MAX_COUNT = 256
PIPELINED_REQUESTS_MAX_COUNT = 8


class CallerRequest:
    """A complete request; ``headers`` have waitress's names: upper case with underscores.

    ``is_over_limit`` is true when too many requests were in progress on arrival. ``monitor``
    detects that the caller disconnects and starts the reading of pipelined requests.
    """

    __slots__ = (
        "arrived_ms",
        "body",
        "headers",
        "is_over_limit",
        "method",
        "path",
        "target",
        "monitor",
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        arrived_ms: float,
        is_over_limit: bool,
        monitor: DisconnectMonitor,
    ) -> None:
        self.method = method
        self.target = target
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.is_over_limit = is_over_limit
        self.monitor = monitor

    def get_header(self, name: str) -> str:
        """Return the value of a header by its usual name, empty when it is absent."""
        return self.headers.get(name.upper().replace("-", "_"), "")


class DisconnectMonitor:
    """Watches the connection of a caller while one of its requests is worked on.

    ``read_on`` hands the reading over; it is called at most once, and never for ``None``.
    """

    __slots__ = ("_read_on", "_sock")

    def __init__(self, sock: socket.socket, read_on: Callable[[], None] | None) -> None:
        self._sock = sock
        self._read_on = read_on

    def fileno(self) -> int:
        """Return the descriptor to poll."""
        return self._sock.fileno()

    @property
    def events(self) -> int:
        """Return the events to poll for."""
        return select.POLLRDHUP | (select.POLLIN if self._read_on is not None else 0)

    def handle_event(self, event: int) -> bool:
        """Take in an event; return whether the caller has gone."""
        if event & ~select.POLLIN:
            return True
        if event and self._read_on is not None:
            read_on, self._read_on = self._read_on, None
            read_on()
        return False

    def is_gone(self) -> bool:
        """Return whether the caller has closed its end."""
        poller = select.poll()
        poller.register(self._sock, self.events)
        return any(self.handle_event(event) for _, event in poller.poll(0))


class _Parser(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """Refuses requests whose end two readers could see at different places."""

    def parse_header(self, header_plus: bytes) -> None:
        head = header_plus.lower()
        has_chunks = b"\ntransfer-encoding:" in head
        if has_chunks and b"\ncontent-length:" in head:
            raise waitress.parser.ParsingError("both Content-Length and Transfer-Encoding")
        if head.count(b"\nhost:") > 1 or head.count(b"\ncontent-length:") > 1:
            raise waitress.parser.ParsingError("a header that must stand once stands twice")
        super().parse_header(header_plus)
        if has_chunks and self.version != "1.1":
            raise waitress.parser.ParsingError("Transfer-Encoding needs HTTP/1.1")


class CallerConnection:
    """One connection of a caller.

    ``is_busy`` is true from the first byte of a request until all that were read are answered.
    Requests get turns in the order they were read; answers are sent in that order.
    """

    __slots__ = (
        "_closed_after",
        "_has_begun",
        "_left_over",
        "_next_turn",
        "_sent_turn",
        "_timeout_ms",
        "_turns",
        "_users",
        "sock",
    )

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._left_over = b""
        self._timeout_ms = 0.0
        self._has_begun = False
        self._turns = threading.Condition()
        self._next_turn = 0
        self._sent_turn = 0
        self._closed_after: int | None = None
        self._users = 1

    @property
    def is_busy(self) -> bool:
        """Return whether a request has begun to arrive or is not answered."""
        return self._has_begun or self._next_turn > self._sent_turn

    def receive(self, adjustments: Adjustments, limits: CallerLimits) -> Any:
        """Return the next request as parsed by waitress, ``None`` at the end of the stream."""
        parser = _Parser(adjustments)
        data = self._left_over
        self._left_over = b""
        while not parser.completed:
            if not data:
                is_arriving = self._has_begun
                self._set_timeout(
                    limits.receive_timeout_ms if is_arriving else limits.idle_timeout_ms
                )
                data = self.sock.recv(RECEIVE_BYTES)
                if not data:
                    return None
            self._has_begun = True
            consumed = parser.received(data)
            data = data[consumed:]
            if parser.empty:
                parser = _Parser(adjustments)
            if parser.expect_continue and parser.headers_finished and not parser.completed:
                parser.expect_continue = False
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._left_over = data
        return parser

    def take_turn(self) -> int | None:
        """Return the turn of the request just read; ``None`` when none is answered any more."""
        with self._turns:
            self._has_begun = bool(self._left_over)
            if self._closed_after is not None:
                return None
            self._next_turn += 1
            self._users += 1
            return self._next_turn

    def close_if_idle(self) -> bool:
        """Take no further request unless one is here already; return whether none is.

        The bytes of one may have been received by now: it gets no turn, so it is never worked on.
        """
        with self._turns:
            if self.is_busy:
                return False
            self._closed_after = self._next_turn
            return True

    def may_read_on(self) -> bool:
        """Return whether another request may be read before the open ones are answered."""
        return self._next_turn - self._sent_turn < PIPELINED_REQUESTS_MAX_COUNT

    def has_left_over(self) -> bool:
        """Return whether part of the next request has been read already."""
        return bool(self._left_over)

    def answer(
        self, turn: int, encode: Callable[[bool], bytes], *, wants_close: Callable[[], bool]
    ) -> bool:
        """Send the answer of a turn once all before it are sent; return whether it was the last.

        ``encode`` gets whether the connection closes after it. A connection is closed only
        behind the last request that was read, so that none of them is dropped.
        """
        with self._turns:
            self._turns.wait_for(lambda: self._sent_turn >= turn - 1)
            if self._closed_after is not None:
                return True
            is_last = wants_close() and self._next_turn == turn
            if is_last:
                self._closed_after = turn
        try:
            send_whole(self.sock, encode(is_last), timeout_ms=WRITE_TIMEOUT_MS)
        except OSError:
            with self._turns:
                self._closed_after = turn
            raise
        finally:
            with self._turns:
                self._sent_turn = turn
                self._turns.notify_all()
        if is_last:
            # Another thread may wait for bytes that never come; the caller must see the end.
            self.sock.shutdown(socket.SHUT_WR)
        return is_last

    def release(self) -> bool:
        """End the use of the connection by one thread; return whether it was the last one."""
        with self._turns:
            self._users -= 1
            return self._users == 0

    def retain(self) -> None:
        """Note another thread that uses the connection."""
        with self._turns:
            self._users += 1

    def linger(self) -> None:
        """Let the caller read the last answer before the connection goes.

        Closing with unread bytes of a refused request would reset the connection, and the
        refusal would be lost.
        """
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(LINGER_MS / 1000)
        for _ in range(LINGER_READS_MAX_COUNT):
            if not self.sock.recv(RECEIVE_BYTES):
                return

    def _set_timeout(self, timeout_ms: float) -> None:
        """Have the kernel end a receive, which costs no call before each one."""
        if timeout_ms == self._timeout_ms:
            return
        self._timeout_ms = timeout_ms
        seconds, rest_ms = divmod(int(timeout_ms), 1_000)
        value = struct.pack("ll", seconds, rest_ms * 1_000)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
