"""Connections to upstreams: one request at a time, each answer read whole and checked."""

from __future__ import annotations

import http.client
import io
import select
import socket
import threading
from collections.abc import Iterable
from typing import Any

from coltsfootrill.clock import Clock
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.proxy.outcome import Header
from coltsfootrill.registry.announcement import split_address

ANSWER_MAX_BYTES = 8 * 1024 * 1024
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


class _DeadlineReader(io.RawIOBase):
    """Reads a socket until a deadline that covers all reads of one answer together."""

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self.deadline_ms = 0.0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        left_ms = self.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise TimeoutError("the deadline passed while the answer was read")
        self._sock.settimeout(left_ms / 1000)
        return self._sock.recv_into(buffer)


class _KeptBuffer(io.BufferedReader):
    """A read buffer that outlives the answer read from it, so that surplus bytes are seen."""

    def close(self) -> None:
        """Stay open: ``http.client`` closes its file after each answer."""

    def has_surplus(self) -> bool:
        """Return whether bytes beyond the answer have been read already."""
        # A peek reads from the socket only when the buffer is empty; the caller's poll at the
        # next use covers what arrives later, so it must not block here.
        return len(self.peek_buffered()) > 0

    def peek_buffered(self) -> bytes:
        raw: Any = self.raw
        raw.deadline_ms = 0.0
        try:
            return self.peek(1)
        except TimeoutError:
            return b""


class _SocketFile:
    """Gives ``http.client.HTTPResponse`` the kept buffer instead of a new one."""

    def __init__(self, buffer: _KeptBuffer) -> None:
        self._buffer = buffer

    def makefile(self, mode: str) -> _KeptBuffer:
        return self._buffer


class UpstreamConnection:
    """One connection; ``opened_ms`` and ``idle_since_ms`` are times of the clock."""

    __slots__ = (
        "_buffer",
        "_clock",
        "_raw",
        "_sock",
        "epoch",
        "idle_since_ms",
        "is_fresh",
        "is_reusable",
    )

    def __init__(self, sock: socket.socket, *, clock: Clock, epoch: int) -> None:
        self._sock = sock
        self._clock = clock
        self._raw = _DeadlineReader(sock, clock)
        self._buffer = _KeptBuffer(self._raw)
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
        left_ms = max(deadline_ms - self._clock.now_ms(), 1.0)
        self.is_reusable = False
        try:
            self._sock.settimeout(left_ms / 1000)
            self._sock.sendall(head + body if body else head)
        except OSError as error:
            raise SendError(f"the request was not sent whole: {error}") from error

    def read(self, method: str, *, deadline_ms: float) -> UpstreamAnswer:
        """Return the whole answer; raise ``ReadError`` when it is short, malformed or late.

        An answer whose end is only marked by the end of the connection is refused: a cut one
        could not be told from a whole one.
        """
        self._raw.deadline_ms = deadline_ms
        response = http.client.HTTPResponse(_SocketFile(self._buffer), method=method)  # type: ignore[arg-type]
        try:
            response.begin()
            _check_head(response, method)
            body = response.read(ANSWER_MAX_BYTES + 1)
            if len(body) > ANSWER_MAX_BYTES:
                raise ReadError(f"the answer is larger than {ANSWER_MAX_BYTES} bytes")
            if response.length:
                raise ReadError("the answer is shorter than it says")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise ReadError(f"{type(error).__name__}: {error}") from error
        self.is_reusable = not response.will_close and not self._buffer.has_surplus()
        self.is_fresh = False
        return UpstreamAnswer(
            status=response.status,
            reason=response.reason,
            headers=list(response.headers.items()),
            body=body,
        )

    def close(self) -> None:
        """Close the connection; an upstream takes that as a cancellation."""
        self._sock.close()


def _check_head(response: http.client.HTTPResponse, method: str) -> None:
    if response.status < http.client.OK:
        raise ReadError(f"unexpected interim answer {response.status}")
    if any("\n" in value or "\r" in value for value in response.headers.values()):
        raise ReadError("a header of the answer is folded over several lines")
    lengths = response.headers.get_all("Content-Length") or []
    encodings = response.headers.get_all("Transfer-Encoding") or []
    if len(set(lengths)) > 1 or (lengths and encodings):
        raise ReadError("the length of the answer is ambiguous")
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise ReadError("the length of the answer is not a number")
    has_body = method != "HEAD" and response.status not in (204, 304)
    if has_body and not lengths and not response.chunked:
        raise ReadError("the answer has no length and is not chunked")
    if response.length is not None and response.length > ANSWER_MAX_BYTES:
        raise ReadError(f"the answer is larger than {ANSWER_MAX_BYTES} bytes")


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
