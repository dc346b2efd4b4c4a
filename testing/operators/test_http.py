"""Bodies of operators and announcements: what one port holds of them is bounded."""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.http import HttpServer
from coltsfootrill.settings import Address
from testing.processes import get_free_port
from testing.processes import wait_until

KB = 1024
BODIES_MAX_BYTES = 1024 * KB
# More than the kernel holds for a connection.
LARGE_REPLY_BYTES = 32 * 1024 * KB
# Longer than the calls of a test wait.
HOLD_MAX_S = 30.0


class HeldReply:
    """A reply whose handling goes on after it has been sent, until ``may_end`` is set."""

    def __init__(self, parts: list[bytes], may_end: threading.Event) -> None:
        self._parts = parts
        self._may_end = may_end

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        self._may_end.wait(HOLD_MAX_S)


class HoldingApp(HttpApp):
    """Holds the handling of each request after its reply has been sent."""

    def __init__(self) -> None:
        super().__init__(None)
        self.may_end = threading.Event()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> HeldReply:
        return HeldReply(list(super().__call__(environ, start_response)), self.may_end)


class Port:
    """A port whose only route answers with the size of the body."""

    def __init__(self, app: HttpApp | None = None) -> None:
        self.address = ("127.0.0.1", get_free_port())
        app = app or HttpApp(None)
        app.add("POST", "/size", lambda request: HttpReply.from_json("200 OK", len(request.body)))
        HttpServer(app, Address(*self.address), bodies_max_bytes=BODIES_MAX_BYTES).start()

    def call(self, body_bytes: int, *, is_chunked: bool = False) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(*self.address, timeout=10)
        body = iter([b"x" * body_bytes]) if is_chunked else b"x" * body_bytes
        try:
            connection.request("POST", "/size", body=body, encode_chunked=is_chunked)
            response = connection.getresponse()
            return response.status, response.read().strip()
        finally:
            connection.close()

    def stop_short(self, body_bytes: int) -> socket.socket:
        sock = socket.create_connection(self.address, timeout=10)
        sock.sendall(
            f"POST /size HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}\r\n\r\n".encode()
        )
        return sock


class TestBodies:
    # Guards against a process that ends for the bodies that it holds, each of them allowed.
    def test_bodies_share_a_bound_and_small_ones_are_handled_beside_them(self) -> None:
        port = Port()
        assert port.call(BODIES_MAX_BYTES) == (200, b"%d" % BODIES_MAX_BYTES)
        with port.stop_short(BODIES_MAX_BYTES):
            wait_until(lambda: port.call(128 * KB)[0] == 503)
            assert port.call(60 * KB) == (200, b"%d" % (60 * KB))
        wait_until(lambda: port.call(128 * KB)[0] == 200)

    # Guards against a body that is refused although the one before it has been answered: a thread
    # may be held between sending a reply and ending its request.
    def test_body_has_room_once_the_one_before_it_has_been_answered(self) -> None:
        app = HoldingApp()
        port = Port(app)
        try:
            for _ in range(3):
                assert port.call(BODIES_MAX_BYTES) == (200, b"%d" % BODIES_MAX_BYTES)
        finally:
            app.may_end.set()

    def test_body_in_chunks_is_refused_beyond_the_bound(self) -> None:
        port = Port()
        with port.stop_short(BODIES_MAX_BYTES - 128 * KB):
            wait_until(lambda: port.call(200 * KB)[0] == 503)
            assert port.call(200 * KB, is_chunked=True)[0] == 503
        wait_until(lambda: port.call(200 * KB, is_chunked=True)[0] == 200)


class TestReply:
    # Guards against a reply whose caller left before its end, without a word of it in the log.
    def test_bytes_that_a_caller_did_not_wait_for_are_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        app = HttpApp(None)
        app.add("POST", "/large", lambda request: HttpReply("200 OK", b"x" * LARGE_REPLY_BYTES))
        port = Port(app)
        with socket.create_connection(port.address, timeout=10) as sock:
            sock.sendall(b"POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            assert sock.recv(1)
        wait_until(lambda: "connection closed before its reply was sent" in caplog.text)
