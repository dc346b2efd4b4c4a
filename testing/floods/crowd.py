"""Callers that flood an instance with bodies; none of them reads an answer."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator

HEAD = b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: c%d\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SEND_TIMEOUT_S = 10.0
PIECE_BYTES = 64 * 1024
ENDLESS_PAUSE_S = 0.05
# How often a caller that stays open checks whether its crowd has closed.
CHECK_S = 0.2


def send_with_length(number: int, body_bytes: int, *, missing_bytes: int) -> bytes:
    """Return a request that states ``body_bytes`` and lacks the last of them."""
    return HEAD % number + LENGTH % body_bytes + b"x" * (body_bytes - missing_bytes)


def send_in_chunks(number: int, body_bytes: int, *, chunk_bytes: int) -> bytes:
    """Return a request in chunks that lacks the chunk which ends the body."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    return HEAD % number + CHUNKED + chunk * (body_bytes // chunk_bytes)


class Crowd:
    """Connections that each send one request and stay open, in a fixed order of pieces."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []

    def send(self, requests: list[bytes], *, piece_bytes: int = 0) -> None:
        """Open a connection for each request; with ``piece_bytes`` all of them send in turn."""
        for request in requests:
            sock = socket.create_connection(self._address, timeout=SEND_TIMEOUT_S)
            self._sockets.append(sock)
            if not piece_bytes:
                _send(sock, request)
        longest_bytes = max(len(request) for request in requests)
        for start in range(0, longest_bytes if piece_bytes else 0, piece_bytes or 1):
            for sock, request in zip(self._sockets, requests, strict=True):
                _send(sock, request[start : start + piece_bytes])

    def close(self) -> None:
        for sock in self._sockets:
            sock.close()


class EndlessCrowd:
    """Threads that send ``start``, then ``block`` until they are closed, and begin again."""

    def __init__(self, address: tuple[str, int], *, count: int, start: bytes, block: bytes) -> None:
        self._address = address
        self._start = start
        self._block = block
        self._is_closed = threading.Event()
        self._numbers = itertools.count()
        self._threads = [threading.Thread(target=self._run) for _ in range(count)]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        self._is_closed.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while not self._is_closed.wait(ENDLESS_PAUSE_S):
            with contextlib.suppress(OSError), self._connect() as sock:
                sock.sendall(HEAD % next(self._numbers) + self._start)
                while not self._is_closed.is_set():
                    sock.sendall(self._block)

    def _connect(self) -> socket.socket:
        return socket.create_connection(self._address, timeout=SEND_TIMEOUT_S)


class ReturningCrowd:
    """Threads that each send the start of a request, stay open, and return when they are refused.

    With ``piece_bytes`` a caller pauses for ``pause_s`` after each piece.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        count: int,
        make: Callable[[int], bytes],
        piece_bytes: int = 0,
        pause_s: float = 0.0,
    ) -> None:
        self._address = address
        self._make = make
        self._piece_bytes = piece_bytes
        self._pause_s = pause_s
        self._is_closed = threading.Event()
        self._numbers = itertools.count()
        self._threads = [threading.Thread(target=self._run) for _ in range(count)]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        self._is_closed.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while not self._is_closed.wait(ENDLESS_PAUSE_S):
            with contextlib.suppress(OSError), self._connect() as sock:
                sock.settimeout(CHECK_S)
                self._send(sock, memoryview(self._make(next(self._numbers))))
                self._stay(sock)

    def _send(self, sock: socket.socket, rest: memoryview) -> None:
        while rest and not self._is_closed.is_set():
            with contextlib.suppress(TimeoutError):
                rest = rest[sock.send(rest[: self._piece_bytes or len(rest)]) :]
            if self._pause_s:
                self._is_closed.wait(self._pause_s)

    def _stay(self, sock: socket.socket) -> None:
        while not self._is_closed.is_set():
            with contextlib.suppress(TimeoutError):
                if not sock.recv(PIECE_BYTES):
                    return

    def _connect(self) -> socket.socket:
        return socket.create_connection(self._address, timeout=SEND_TIMEOUT_S)


def _send(sock: socket.socket, data: bytes) -> None:
    """Send bytes; a caller that was refused or closed goes on."""
    with contextlib.suppress(OSError):
        sock.sendall(data)


@contextlib.contextmanager
def closing(crowd: Crowd | EndlessCrowd | ReturningCrowd) -> Iterator[None]:
    """Close a crowd at the end of a block."""
    try:
        yield
    finally:
        crowd.close()
