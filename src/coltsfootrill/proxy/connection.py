"""Connections to upstreams: one request at a time, each answer read whole and checked."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Iterable
from http import HTTPStatus

import httptools

from coltsfootrill.clock import Clock
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.proxy.outcome import Header
from coltsfootrill.registry.announcement import split_address

ANSWER_MAX_BYTES = 8 * 1024 * 1024
HEAD_MAX_BYTES = 64 * 1024
RECEIVE_BYTES = 64 * 1024
CONNECT_TIMEOUT_MS = 1_000.0
IDLE_MAX_MS = 10_000.0
IDLE_MAX_COUNT = 8


class ConnectionLayerError(ColtsfootrillError):
    """Something failed between this instance and an upstream."""


class ConnectError(ConnectionLayerError):
    """No connection was made: no byte of the request was sent."""


class SendError(ConnectionLayerError):
    """The connection broke while the request was sent: part of it may have arrived."""


class ReadError(ConnectionLayerError):
    """No whole, well-formed answer came within the deadline."""


class UpstreamAnswer:
    """A whole answer of an upstream; header names are as the upstream sent them."""

    __slots__ = ("body", "headers", "reason", "status")

    def __init__(self, *, status: int, reason: str, headers: list[Header], body: bytes) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body

    def get_header(self, name: str) -> str | None:
        """Return the first value of a header, ``None`` when it is absent."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


class _AnswerReader:
    """Collects one answer from ``httptools``, which calls the ``on_`` methods."""

    __slots__ = (
        "body_bytes",
        "chunks",
        "has_chunks",
        "has_head",
        "headers",
        "is_complete",
        "is_last",
        "lengths",
        "reason",
    )

    def __init__(self) -> None:
        self.reason = b""
        self.headers: list[Header] = []
        self.chunks: list[bytes] = []
        self.lengths: set[str] = set()
        self.body_bytes = 0
        self.has_chunks = False
        self.is_complete = False
        self.is_last = False
        self.has_head = False

    def on_message_begin(self) -> None:
        """Stop at bytes that follow the answer; they belong to no request."""
        if self.is_complete:
            raise ReadError("surplus bytes follow the answer")

    def on_status(self, reason: bytes) -> None:
        """Take in the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        if b"\n" in value or b"\r" in value:
            raise ReadError("a header of the answer is folded over several lines")
        key = name.decode("latin-1")
        text = value.decode("latin-1")
        lower = key.lower()
        if lower == "content-length":
            self.lengths.add(text)
        elif lower == "connection":
            self.is_last = self.is_last or "close" in text.lower()
        elif lower == "transfer-encoding":
            self.has_chunks = text.strip().lower() == "chunked"
        self.headers.append((key, text))

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self.has_head = True

    def on_body(self, data: bytes) -> None:
        """Take in part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > ANSWER_MAX_BYTES:
            raise ReadError(f"the answer is larger than {ANSWER_MAX_BYTES} bytes")
        self.chunks.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the answer by its own length or last chunk."""
        self.is_complete = True


class UpstreamConnection:
    """One connection; ``opened_ms`` and ``idle_since_ms`` are times of the clock."""

    __slots__ = (
        "_clock",
        "_sock",
        "epoch",
        "idle_since_ms",
        "is_fresh",
        "is_reusable",
    )

    def __init__(self, sock: socket.socket, *, clock: Clock, epoch: int) -> None:
        self._sock = sock
        self._clock = clock
        self.epoch = epoch
        self.idle_since_ms = clock.now_ms()
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

    def is_idle_clean(self) -> bool:
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

    def read(self, method: str, *, deadline_ms: float) -> UpstreamAnswer:
        """Return the whole answer; raise ``ReadError`` when it is short, malformed or late.

        An answer whose end is only marked by the end of the connection is refused: a cut one
        could not be told from a whole one.
        """
        reader = _AnswerReader()
        parser = httptools.HttpResponseParser(reader)
        head_bytes = 0
        has_surplus = False
        try:
            while not (reader.is_complete or (method == "HEAD" and reader.has_head)):
                data = self._receive(deadline_ms)
                parser.feed_data(data)
                head_bytes += 0 if reader.body_bytes else len(data)
                if head_bytes > HEAD_MAX_BYTES + RECEIVE_BYTES:
                    raise ReadError(f"the head of the answer is larger than {HEAD_MAX_BYTES} bytes")
        except (OSError, httptools.HttpParserError) as error:
            if not reader.is_complete:
                raise ReadError(f"{type(error).__name__}: {error.__context__ or error}") from error
            has_surplus = True
        status = parser.get_status_code()
        _check_framing(reader, method, status)
        is_current = parser.get_http_version() == "1.1"
        # The parser expects a body after the head of any answer, so HEAD ends a connection.
        is_whole = reader.is_complete and not has_surplus
        self.is_reusable = is_current and is_whole and not reader.is_last
        self.is_fresh = False
        return UpstreamAnswer(
            status=status,
            reason=reader.reason.decode("latin-1"),
            headers=reader.headers,
            body=b"".join(reader.chunks),
        )

    def _receive(self, deadline_ms: float) -> bytes:
        """Return the next bytes; the deadline covers all reads of one answer together."""
        data: bytes | None = None
        while data is None:
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                raise TimeoutError("the deadline passed while the answer was read")
            try:
                data = self._sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
            except BlockingIOError:
                poller = select.poll()
                poller.register(self._sock, select.POLLIN)
                # poll takes whole milliseconds; rounding up avoids a busy loop at the end.
                poller.poll(int(left_ms) + 1)
        if not data:
            raise ReadError("the connection ended before the answer was whole")
        return data

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


def _check_framing(reader: _AnswerReader, method: str, status: int) -> None:
    if status < HTTPStatus.OK:
        raise ReadError(f"unexpected interim answer {status}")
    if len(reader.lengths) > 1 or (reader.lengths and reader.has_chunks):
        raise ReadError("the length of the answer is ambiguous")
    has_body = method != "HEAD" and status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
    if has_body and not reader.lengths and not reader.has_chunks:
        raise ReadError("the answer has no length and is not chunked")


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

    ``doubt`` drops every connection opened so far: one connection that went silent casts doubt
    on those that were open at the same time.
    """

    __slots__ = ("_address", "_clock", "_epoch", "_idle", "_lock")

    def __init__(self, address: str, *, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[UpstreamConnection] = []
        self._lock = threading.Lock()
        self._epoch = 0

    def take_idle(self) -> UpstreamConnection | None:
        """Return the idle connection used last, ``None`` when there is no clean one."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            age_ms = self._clock.now_ms() - connection.idle_since_ms
            if age_ms < IDLE_MAX_MS and connection.is_idle_clean():
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

    def doubt(self) -> int:
        """Close the idle connections, bar those in use from reuse; return how many were idle."""
        with self._lock:
            self._epoch += 1
            doubted = self._idle
            self._idle = []
        for connection in doubted:
            connection.close()
        return len(doubted)
