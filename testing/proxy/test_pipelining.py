"""Callers that pipeline requests: they send more before the first one is answered."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Iterator

import pytest

from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.proxy.fakes import read_all
from testing.proxy.instance import Instance

# Of a test whose upstream holds its answers back until it lets them go.
DEADLINE_MS = 20_000


def _answer_with_target(sock: socket.socket, head: bytes, number: int) -> bool:
    """Answer with the request's path; the first path takes longer than the others."""
    target = head.split(b" ")[1]
    time.sleep(0.4 if target == b"/x/0" else 0.1)
    sock.sendall(encode(target))
    return True


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance()
    upstream = ScriptedUpstream(_answer_with_target)
    made.announce("u1", upstream.address, slots=16)
    yield made
    made.close()
    upstream.close()


def _request(number: int, extra: str = "") -> bytes:
    return f"GET /x/{number} HTTP/1.1\r\nhost: a\r\n{extra}\r\n".encode()


def _list_bodies(data: bytes) -> list[bytes]:
    return [part.rsplit(b"\r\n", 1)[-1] for part in data.split(b"HTTP/1.1 200 OK")[1:]]


class TestPipelining:
    def test_answers_are_sent_in_the_order_of_requests(self, instance: Instance) -> None:
        last = _request(4, "connection: close\r\n")
        data = instance.send_raw(b"".join(_request(number) for number in range(4)) + last)
        assert _list_bodies(data) == [f"/x/{number}".encode() for number in range(5)]

    def test_requests_are_processed_concurrently(self) -> None:
        all_arrived = threading.Event()

        def answer_once_all_arrived(sock: socket.socket, head: bytes, number: int) -> bool:
            all_arrived.wait(DEADLINE_MS / 1_000)
            sock.sendall(encode(head.split(b" ")[1]))
            return True

        instance = Instance(deadline_ms=DEADLINE_MS)
        upstream = ScriptedUpstream(answer_once_all_arrived)
        instance.announce("u1", upstream.address, slots=16)
        with socket.create_connection(("127.0.0.1", instance.server.port), timeout=30) as sock:
            for number in range(6):
                sock.sendall(_request(number, "connection: close\r\n" if number == 5 else ""))
                wait_until(lambda count=number + 1: len(upstream.heads) == count)
            all_arrived.set()
            data = read_all(sock)
        instance.close()
        upstream.close()
        assert _list_bodies(data) == [f"/x/{number}".encode() for number in range(6)]

    def test_stop_closes_after_the_last_request_read(self, instance: Instance) -> None:
        with socket.create_connection(("127.0.0.1", instance.server.port), timeout=5) as sock:
            sock.sendall(_request(0) + _request(1) + _request(2))
            time.sleep(0.1)
            instance.server.announce_close()
            data = read_all(sock)
        assert _list_bodies(data) == [b"/x/0", b"/x/1", b"/x/2"]
        assert data.lower().count(b"connection: close") == 1

    def test_disconnect_of_the_caller_cancels_all_its_requests(self, instance: Instance) -> None:
        with socket.create_connection(("127.0.0.1", instance.server.port), timeout=5) as sock:
            sock.sendall(_request(0) + _request(0))
            time.sleep(0.1)
        deadline_s = time.monotonic() + 0.25
        while instance.server.count_in_progress() and time.monotonic() < deadline_s:
            time.sleep(0.01)
        assert instance.server.count_in_progress() == 0

    # Guards against requests that stay in progress for good once their caller has left.
    def test_requests_of_callers_that_leave_with_a_reset_all_end(self, instance: Instance) -> None:
        for _ in range(3):
            with socket.create_connection(("127.0.0.1", instance.server.port), timeout=5) as sock:
                sock.sendall(b"".join(_request(0) for _ in range(8)))
                wait_until(lambda: instance.server.count_in_progress() >= 4)
                # On close the kernel drops what is unsent and resets the connection.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            wait_until(lambda: instance.server.count_in_progress() == 0)
        assert instance.call("/x/1").status == 200
