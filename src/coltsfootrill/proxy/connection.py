"""Connections to upstreams: one request at a time, each answer read whole and checked."""

from __future__ import annotations

import math
import select
import socket
import threading
from collections.abc import Iterable

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.answer import NO_ECHO
from coltsfootrill.proxy.answer import AnswerEcho
from coltsfootrill.proxy.answer import AnswerReader
from coltsfootrill.proxy.answer import ConnectionLayerError
from coltsfootrill.proxy.answer import ReadError
from coltsfootrill.proxy.answer import UpstreamAnswer
from coltsfootrill.proxy.outcome import Header
from coltsfootrill.registry.announcement import split_address

RECEIVE_BYTES = 64 * 1024
CONNECT_TIMEOUT_MS = 1_000.0
IDLE_MAX_MS = 10_000.0
# An upstream may close an idle connection this much before the time that it stated.
IDLE_MARGIN_MS = 800.0
IDLE_MAX_COUNT = 8


class ConnectError(ConnectionLayerError):
    """No connection was made: no byte of the request was sent."""


class SendError(ConnectionLayerError):
    """The connection broke while the request was sent: part of it may have arrived."""


class UpstreamConnection:
    """One connection; ``opened_ms`` and ``idle_since_ms`` are times of the clock."""

    __slots__ = (
        "_clock",
        "_reader",
        "_sock",
        "epoch",
        "idle_max_ms",
        "idle_since_ms",
        "is_fresh",
        "is_reusable",
    )

    def __init__(self, sock: socket.socket, *, clock: Clock, epoch: int) -> None:
        self._sock = sock
        self._clock = clock
        self._reader: AnswerReader | None = None
        self.epoch = epoch
        self.idle_since_ms = clock.now_ms()
        self.idle_max_ms = IDLE_MAX_MS
        self.is_fresh = True
        self.is_reusable = False

    @classmethod
    def open(
        cls, address: str, *, clock: Clock, timeout_ms: float, epoch: int
    ) -> UpstreamConnection:
        """Connect to ``ip:port``; raise ``ConnectError`` when that fails."""
        try:
            sock = socket.create_connection(split_address(address), timeout=timeout_ms / 1000)
        except OSError as error:
            raise ConnectError(f"cannot connect to {address}: {error}") from error
        # Waits are made by poll; a timeout of the socket would cost a call before each use.
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, clock=clock, epoch=epoch)

    def fileno(self) -> int:
        """Return the descriptor, to wait until the answer begins."""
        return self._sock.fileno()

    def has_no_pending_data(self) -> bool:
        """Return whether nothing arrived, an end of stream included, since the last answer."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        return not poller.poll(0)

    def send(self, head: bytes, body: bytes, *, deadline_ms: float) -> None:
        """Send one request; raise ``SendError`` when it cannot be sent whole in time."""
        self.is_reusable = False
        left_ms = max(deadline_ms - self._clock.now_ms(), 1.0)
        try:
            send_whole(self._sock, head + body if body else head, timeout_ms=left_ms)
        except OSError as error:
            raise SendError(f"the request was not sent whole: {error}") from error

    def read(
        self, method: str, *, deadline_ms: float, echo: AnswerEcho = NO_ECHO
    ) -> UpstreamAnswer:
        """Return the whole answer; raise ``ReadError`` when it is short, malformed or late.

        An answer with the id of ``echo`` and without a length ends with the connection, if that
        ends in an orderly way.
        """
        self.expect(method, echo)
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        while (answer := self.read_available()) is None:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                raise ReadError("the deadline passed while the answer was read")
            # poll takes whole milliseconds; rounding up avoids a busy loop at the end.
            poller.poll(int(left_ms) + 1)
        return answer

    def expect(self, method: str, echo: AnswerEcho) -> None:
        """Prepare to read the answer to a request that has been sent."""
        self._reader = AnswerReader(method, echo, is_fresh=self.is_fresh)

    def read_available(self) -> UpstreamAnswer | None:
        """Read what has arrived; return the answer once it is whole, as ``read`` does."""
        reader = self._reader
        assert reader is not None
        try:
            data = self._sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError as error:
            raise ReadError(f"{type(error).__name__}: {error}") from error
        answer = reader.feed(data) if data else reader.feed_end()
        if answer is None:
            if not data:
                raise ReadError("the connection ended before the answer was whole")
            return None
        self._reader = None
        self.is_reusable = reader.is_reusable
        self.is_fresh = False
        if reader.keep_alive_ms is not None:
            self.idle_max_ms = reader.keep_alive_ms - IDLE_MARGIN_MS
        return answer

    def close(self) -> None:
        """Close the connection; an upstream takes that as a cancellation."""
        self._sock.close()


def send_whole(sock: socket.socket, data: bytes, *, timeout_ms: float) -> None:
    """Send ``data``; raise ``OSError`` when that fails or takes longer than ``timeout_ms``.

    The socket has no timeout of its own. Nearly always all fits into its buffer at once.
    """
    try:
        sent = sock.send(data, socket.MSG_DONTWAIT)
    except BlockingIOError:
        sent = 0
    if sent == len(data):
        return
    sock.settimeout(timeout_ms / 1000)
    sock.sendall(data[sent:])
    sock.settimeout(None)


def encode_head(method: str, target: str, headers: Iterable[Header], body_bytes: int) -> bytes:
    """Return the request line and headers; values were checked by the server on the way in."""
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

    __slots__ = ("_address", "_clock", "_epoch", "_idle", "_lock")

    def __init__(self, address: str, *, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[UpstreamConnection] = []
        self._lock = threading.Lock()
        self._epoch = 0

    def take_idle(self, *, idle_max_ms: float = math.inf) -> UpstreamConnection | None:
        """Return the idle connection used last, ``None`` when there is no clean one.

        Connections idle for longer than ``idle_max_ms`` stay where they are.
        """
        while True:
            with self._lock:
                if not self._idle:
                    return None
                age_ms = self._clock.now_ms() - self._idle[-1].idle_since_ms
                if age_ms > idle_max_ms:
                    return None
                connection = self._idle.pop()
            if age_ms < connection.idle_max_ms and connection.has_no_pending_data():
                return connection
            connection.close()

    def open(self, timeout_ms: float) -> UpstreamConnection:
        """Return a fresh connection or raise ``ConnectError``."""
        return UpstreamConnection.open(
            self._address,
            clock=self._clock,
            timeout_ms=min(timeout_ms, CONNECT_TIMEOUT_MS),
            epoch=self._epoch,
        )

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse, or close it when it must not be used again."""
        connection.idle_since_ms = self._clock.now_ms()
        with self._lock:
            is_kept = (
                connection.is_reusable
                and connection.epoch == self._epoch
                and len(self._idle) < IDLE_MAX_COUNT
            )
            if is_kept:
                self._idle.append(connection)
        if not is_kept:
            connection.close()

    def discard_idle(self) -> int:
        """Close the idle connections, bar those in use from reuse; return how many were idle."""
        with self._lock:
            self._epoch += 1
            doubted = self._idle
            self._idle = []
        for connection in doubted:
            connection.close()
        return len(doubted)
