"""Connections to upstreams, with one request at a time, and the pool of idle connections."""

from __future__ import annotations

import itertools
import math
import select
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterable

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.answer import NO_ECHO
from coltsfootrill.proxy.answer import AnswerEcho
from coltsfootrill.proxy.answer import AnswerReader
from coltsfootrill.proxy.answer import ConnectionLayerError
from coltsfootrill.proxy.answer import EndedWithoutAnswerError
from coltsfootrill.proxy.answer import ReadError
from coltsfootrill.proxy.answer import UpstreamAnswer
from coltsfootrill.proxy.outcome import Header
from coltsfootrill.proxy.receive_budget import ReceiveBudget
from coltsfootrill.proxy.unsolicited import CountByCause
from coltsfootrill.registry.announcement import split_address

RECEIVE_BYTES = 64 * 1024
CONNECT_TIMEOUT_MS = 1_000.0
IDLE_MAX_MS = 10_000.0
# An upstream may close an idle connection this much earlier than its Keep-Alive header states.
IDLE_MARGIN_MS = 800.0
IDLE_MAX_COUNT = 8
_CLOSED_EARLY = "the upstream closed the connection before the answer was complete"

_numbers = itertools.count(1)
# Unique for all pools, since the pool of an address may be dropped and made anew.
_epochs = itertools.count(1)


class ConnectError(ConnectionLayerError):
    """The connection could not be established, so no byte of the request was sent."""


class SendError(ConnectionLayerError):
    """Sending failed or timed out; part of the request may have arrived."""


class UpstreamConnection:
    """A connection to an upstream; ``idle_since_ms`` is a time of the clock.

    ``epoch`` is the epoch of the pool when the connection was opened. ``is_fresh`` is true until
    the first answer has been read. ``last_request_id`` is that of the request sent last, empty if
    it has none or none was sent. ``number`` is unique within the process, ``sent_count`` the
    number of requests sent so far, and ``unsolicited_by_cause`` counts what arrived during the last
    one and does not belong to it.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_reader",
        "_sock",
        "epoch",
        "idle_max_ms",
        "idle_since_ms",
        "is_fresh",
        "is_reusable",
        "last_request_id",
        "number",
        "sent_count",
        "unsolicited_by_cause",
    )

    def __init__(
        self,
        sock: socket.socket,
        *,
        clock: Clock,
        epoch: int,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._budget = budget
        self._sock = sock
        self._clock = clock
        self._reader: AnswerReader | None = None
        self.epoch = epoch
        self.idle_since_ms = clock.now_ms()
        self.idle_max_ms = IDLE_MAX_MS
        self.is_fresh = True
        self.is_reusable = False
        self.last_request_id = ""
        self.number = next(_numbers)
        self.sent_count = 0
        self.unsolicited_by_cause: CountByCause = {}

    @classmethod
    def open(
        cls,
        address: str,
        *,
        clock: Clock,
        timeout_ms: float,
        epoch: int,
        budget: ReceiveBudget | None = None,
    ) -> UpstreamConnection:
        """Connect to ``ip:port``; raise ``ConnectError`` on failure or timeout.

        ``budget`` bounds the memory of incomplete answers together with other connections.
        """
        try:
            sock = socket.create_connection(split_address(address), timeout=timeout_ms / 1000)
        except OSError as error:
            raise ConnectError(f"cannot connect to {address}: {error}") from error
        # Waiting is done with poll: a socket timeout would cost a system call before each use.
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, clock=clock, epoch=epoch, budget=budget)

    def fileno(self) -> int:
        """Return the descriptor to poll for the answer."""
        return self._sock.fileno()

    def has_no_pending_data(self) -> bool:
        """Return whether neither bytes nor an end of stream arrived since the last answer."""
        return not has_pending_data(self._sock)

    def has_unsolicited_bytes(self) -> bool:
        """Return whether bytes, not only an end of stream, arrived since the last answer."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def send(
        self, head: bytes, body: Iterable[bytes | bytearray] = (), *, deadline_ms: float
    ) -> None:
        """Send a request; raise ``SendError`` if it cannot be sent completely by the deadline.

        ``body`` consists of blocks, which are not copied except for the first one.
        """
        self.is_reusable = False
        self.sent_count += 1
        blocks = iter(body)
        part: bytes | bytearray | None = head + next(blocks, b"")
        try:
            while part is not None:
                remaining_ms = max(deadline_ms - self._clock.now_ms(), 1.0)
                send_all(self._sock, part, timeout_ms=remaining_ms)
                part = next(blocks, None)
        except OSError as error:
            raise SendError(f"the request was not sent completely: {error}") from error

    def read(
        self, method: str, *, deadline_ms: float, echo: AnswerEcho = NO_ECHO
    ) -> UpstreamAnswer:
        """Return the complete answer; raise ``ReadError`` if it is truncated, malformed or late.

        An answer without a length is complete when the upstream closes the connection without an
        error, provided that the answer carries the id of ``echo``.
        """
        self.expect(method, echo)
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        while (answer := self.read_available()) is None:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                raise ReadError("the deadline passed before the answer was complete")
            # poll takes whole milliseconds; rounding up avoids a busy loop before the deadline.
            poller.poll(int(remaining_ms) + 1)
        return answer

    def expect(self, method: str, echo: AnswerEcho) -> None:
        """Prepare to read the answer to a request that has been sent."""
        self.last_request_id = echo.value
        self._reader = AnswerReader(method, echo, is_fresh=self.is_fresh, budget=self._budget)

    def read_available(self) -> UpstreamAnswer | None:
        """Read what has arrived, without blocking; return the answer once it is complete.

        Raises ``ReadError`` as ``read`` does, except for the deadline.
        """
        reader = self._reader
        assert reader is not None
        try:
            data = self._sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError as error:
            raise _make_end_error(reader, f"{type(error).__name__}: {error}") from error
        answer = reader.feed(data) if data else reader.feed_end()
        if answer is None:
            if not data:
                raise _make_end_error(reader, _CLOSED_EARLY)
            return None
        self._release_reader()
        self.is_reusable = reader.is_reusable
        self.is_fresh = False
        if reader.keep_alive_ms is not None:
            self.idle_max_ms = reader.keep_alive_ms - IDLE_MARGIN_MS
        return answer

    def close(self) -> None:
        """Close the connection, which cancels a request in progress at the upstream."""
        self._release_reader()
        self._sock.close()

    def _release_reader(self) -> None:
        reader, self._reader = self._reader, None
        if reader is not None:
            self.unsolicited_by_cause = reader.unsolicited_by_cause
            reader.release()


def _make_end_error(reader: AnswerReader, message: str) -> ReadError:
    return ReadError(message) if reader.has_received else EndedWithoutAnswerError(message)


def has_pending_data(sock: socket.socket) -> bool:
    """Return whether bytes or an end of stream can be read from ``sock`` without blocking."""
    # Unlike select, poll accepts descriptors above 1,023.
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def send_all(sock: socket.socket, data: bytes | bytearray, *, timeout_ms: float) -> None:
    """Send ``data``; raise ``OSError`` when that fails or takes longer than ``timeout_ms``.

    The socket must be in blocking mode. Nearly always the data fits into its send buffer, so the
    first attempt does not block and needs no timeout.
    """
    try:
        sent = sock.send(data, socket.MSG_DONTWAIT)
    except BlockingIOError:
        sent = 0
    if sent == len(data):
        return
    sock.settimeout(timeout_ms / 1000)
    sock.sendall(memoryview(data)[sent:])
    sock.settimeout(None)


def encode_head(method: str, target: str, headers: Iterable[Header], body_bytes: int) -> bytes:
    """Return the request line and headers; the caller's parser has validated the values."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body_bytes or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {body_bytes}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1")


class ConnectionPool:
    """Idle connections to one upstream address.

    When one connection stops responding, others that were open at the same time may have failed
    too. ``discard_idle`` therefore prevents the reuse of every connection opened so far.
    """

    __slots__ = ("_address", "_budget", "_clock", "_epoch", "_idle", "_lock")

    def __init__(self, address: str, *, clock: Clock, budget: ReceiveBudget | None = None) -> None:
        self._address = address
        self._budget = budget
        self._clock = clock
        self._idle: list[UpstreamConnection] = []
        self._lock = threading.Lock()
        self._epoch = next(_epochs)

    def take_idle(
        self,
        *,
        idle_max_ms: float = math.inf,
        is_excluded: Callable[[UpstreamConnection], bool] = lambda connection: False,
        on_unsolicited: Callable[[], None] = lambda: None,
    ) -> UpstreamConnection | None:
        """Remove and return the most recently used idle connection, ``None`` if none is usable.

        Excluded ones, and those idle for longer than ``idle_max_ms``, stay in the pool; if that is
        0, all do. ``on_unsolicited`` is called for each one that is closed after bytes had
        arrived on it while it was idle.
        """
        if not idle_max_ms:
            return None
        while True:
            with self._lock:
                connection = next(
                    (idle for idle in reversed(self._idle) if not is_excluded(idle)), None
                )
                if connection is None:
                    return None
                age_ms = self._clock.now_ms() - connection.idle_since_ms
                if age_ms > idle_max_ms:
                    return None
                self._idle.remove(connection)
            if age_ms < connection.idle_max_ms and connection.has_no_pending_data():
                return connection
            if connection.has_unsolicited_bytes():
                on_unsolicited()
            connection.close()

    def open(self, timeout_ms: float) -> UpstreamConnection:
        """Return a new connection; raise ``ConnectError`` if it cannot be established."""
        return UpstreamConnection.open(
            self._address,
            clock=self._clock,
            timeout_ms=min(timeout_ms, CONNECT_TIMEOUT_MS),
            epoch=self._epoch,
            budget=self._budget,
        )

    def is_listening(self, timeout_ms: float) -> bool:
        """Return whether the upstream accepts a new connection within ``timeout_ms``."""
        try:
            self.open(timeout_ms).close()
        except ConnectError:
            return False
        return True

    def give_back(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it must not be reused."""
        connection.idle_since_ms = self._clock.now_ms()
        with self._lock:
            is_retained = (
                connection.is_reusable
                and connection.epoch == self._epoch
                and len(self._idle) < IDLE_MAX_COUNT
            )
            if is_retained:
                self._idle.append(connection)
        if not is_retained:
            connection.close()

    def discard_idle(self) -> int:
        """Close idle connections and prevent reuse of those in use; return how many were idle."""
        with self._lock:
            self._epoch = next(_epochs)
            discarded = self._idle
            self._idle = []
        for connection in discarded:
            connection.close()
        return len(discarded)
