"""The end of a planned stop: what still runs, what is refused, and what waits."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor

import pytest

from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.proxy.fakes import read_all
from testing.proxy.instance import Instance

REQUEST = b"POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"
LONG_MS = 60_000
SHORT_MS = 200


class StoppingInstance:
    """An instance with an upstream of one slot, which answers once ``release`` is set."""

    def __init__(self) -> None:
        self.instance = Instance(deadline_ms=LONG_MS)
        self.release = threading.Event()
        self.upstream = ScriptedUpstream(self._answer)
        self.instance.announce("u1", self.upstream.address, slots=1)
        self._executor = ThreadPoolExecutor(1)

    def _answer(self, sock: socket.socket, head: bytes, number: int) -> bool:
        self.release.wait()
        sock.sendall(encode(b"done"))
        return True

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.instance.server.port), timeout=10)

    def stop(self, *, limit_ms: float) -> Future[int]:
        """Begin to stop, and return once idle connections are closed."""
        with self.connect() as idle:
            stopped = self._executor.submit(self.instance.server.stop, idle_ms=0, limit_ms=limit_ms)
            assert idle.recv(1) == b""
        return stopped

    def close(self) -> None:
        self.release.set()
        self.upstream.close()
        self.instance.close()


@pytest.fixture
def stopping() -> Iterator[StoppingInstance]:
    made = StoppingInstance()
    yield made
    made.close()


class TestLateRequests:
    # Guards against a request that is passed on so late in a stop that it is cut without an answer.
    def test_a_request_after_idle_connections_are_closed_is_refused(
        self, stopping: StoppingInstance
    ) -> None:
        with stopping.connect() as sock:
            sock.sendall(REQUEST)
            wait_until(lambda: len(stopping.upstream.heads) == 1)
            stopped = stopping.stop(limit_ms=LONG_MS)
            sock.sendall(REQUEST)
            # It has been read once it waits for its turn to be answered.
            wait_until(lambda: stopping.instance.server.count_in_progress() == 2)
            stopping.release.set()
            first, _, second = read_all(sock).partition(b"done")
        assert first.startswith(b"HTTP/1.1 200 OK")
        assert second.startswith(b"HTTP/1.1 503 ")
        assert b"not-run" in second
        assert b"Retry-After" in second
        assert len(stopping.upstream.heads) == 1
        assert stopped.result() == 0


class TestEndOfStop:
    # Guards against a request that was never passed on and gets no answer at the end of a stop.
    def test_a_request_that_still_waits_for_an_upstream_is_refused(
        self, stopping: StoppingInstance
    ) -> None:
        with stopping.connect() as running, stopping.connect() as waiting:
            running.sendall(REQUEST)
            wait_until(lambda: len(stopping.upstream.heads) == 1)
            waiting.sendall(REQUEST)
            wait_until(lambda: stopping.instance.server.count_in_progress() == 2)
            stopped = stopping.stop(limit_ms=SHORT_MS)
            reply = read_all(waiting)
            assert stopped.result() == 1
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert b"not-run" in reply
        assert len(stopping.upstream.heads) == 1
