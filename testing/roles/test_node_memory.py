"""Memory of a node process while upstreams or callers send more than a small instance holds."""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from testing.announced_upstream import SLOTS
from testing.announced_upstream import AnnouncedUpstream
from testing.announced_upstream import announce
from testing.nodes import read_peak_mb
from testing.platform.test_desired_state import encode_state
from testing.platform.test_desired_state import route
from testing.processes import wait_until
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.roles.test_node import Fleet
from testing.roles.test_node import send_request

# The memory of the smallest instances of the users.
MEMORY_MAX_MB = 200
REQUESTS_AT_ONCE = 240
REQUESTS_COUNT = 480
FAULTY_COUNT = 60
BLOCK_BYTES = 65_536
BLOCK = b"a" * BLOCK_BYTES
CHUNK = f"{BLOCK_BYTES:x}\r\n".encode() + BLOCK + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
UPLOADS_COUNT = 20
UPLOAD_BYTES = 60 * 1024 * 1024
CALLERS_COUNT = 40


def send_endlessly(start: bytes, block: bytes, *, has_sound_health: bool) -> Script:
    """Return a script that repeats ``block`` after ``start`` until the caller closes."""

    def script(sock: socket.socket, head: bytes, number: int) -> bool:
        if has_sound_health and head.startswith(b"GET /health"):
            sock.sendall(encode(b"", extra=f"x-server-load: 0,0,{SLOTS}\r\n"))
            return True
        sock.sendall(start)
        while True:
            sock.sendall(block)

    return script


class TestEndlessAnswers:
    # Guards against an instance that keeps what faulty upstreams send until its memory ends.
    @pytest.mark.parametrize(
        ("start", "block", "has_sound_health"),
        [
            pytest.param(HEAD + b"x-a: ", BLOCK, True, id="head"),
            pytest.param(HEAD + b"\r\n", BLOCK, True, id="body"),
            pytest.param(HEAD + b"transfer-encoding: chunked\r\n\r\n", CHUNK, True, id="chunks"),
            pytest.param(HEAD + b"\r\n", BLOCK, False, id="health-and-body"),
        ],
    )
    def test_memory_stays_below_that_of_the_smallest_instance(
        self, fleet: Fleet, start: bytes, block: bytes, has_sound_health: bool
    ) -> None:
        fleet.submit_manifest(2, 0)
        script = send_endlessly(start, block, has_sound_health=has_sound_health)
        faulty = [ScriptedUpstream(script) for _ in range(FAULTY_COUNT)]
        try:
            for number, upstream in enumerate(faulty):
                announce(fleet.nodes[0], f"i-faulty-{number}", upstream.address)
            wait_until(lambda: send_request(fleet.nodes[0]) != 503, within_s=20)
            with ThreadPoolExecutor(REQUESTS_AT_ONCE) as executor:
                list(executor.map(lambda _: send_request(fleet.nodes[0]), range(REQUESTS_COUNT)))
            assert read_peak_mb(fleet.nodes[0]) < MEMORY_MAX_MB
        finally:
            for upstream in faulty:
                upstream.close()
        fleet.announce_upstream(1)
        fleet.wait_until_served()


class Uploads:
    """Callers that upload large bodies to the first node, and others with small requests beside."""

    def __init__(self, fleet: Fleet) -> None:
        self._node = fleet.nodes[0]
        self._has_ended = threading.Event()
        self.small_statuses: list[int] = []

    def run(self, *, is_chunked: bool) -> set[tuple[int, str]]:
        """Return the statuses and reasons of all uploads, which begin at the same time."""
        with ThreadPoolExecutor(UPLOADS_COUNT + CALLERS_COUNT) as executor:
            callers = [executor.submit(self._call_until_ended) for _ in range(CALLERS_COUNT)]
            uploads = [
                executor.submit(self._upload, is_chunked=is_chunked) for _ in range(UPLOADS_COUNT)
            ]
            results = {upload.result() for upload in uploads}
            self._has_ended.set()
            for caller in callers:
                caller.result()
        return results

    def _upload(self, *, is_chunked: bool) -> tuple[int, str]:
        body = (BLOCK for _ in range(UPLOAD_BYTES // BLOCK_BYTES))
        headers = {"Host": "a.example", "X-Attempt-Id": "u1"}
        if not is_chunked:
            headers["Content-Length"] = str(UPLOAD_BYTES)
        with contextlib.closing(self._connect()) as connection:
            # A caller that is refused may not have sent its whole body yet.
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                connection.request("POST", "/x/1", body, headers, encode_chunked=is_chunked)
            response = connection.getresponse()
            if response.status == 503:
                assert response.headers["Retry-After"]
                assert response.headers["Coltsfootrill-Outcome"] == "not-run"
            response.read()
            return response.status, response.headers["Coltsfootrill-Reason"] or ""

    def _call_until_ended(self) -> None:
        with contextlib.closing(self._connect()) as connection:
            while not self._has_ended.is_set():
                connection.request(
                    "GET", "/x/1", headers={"Host": "a.example", "X-Attempt-Id": "q1"}
                )
                response = connection.getresponse()
                response.read()
                self.small_statuses.append(response.status)

    def _connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(self._node.host, self._node.ports["callers"], timeout=30)


class TestUploads:
    # Guards against a node that is killed for the bodies that it holds, each of them allowed.
    @pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
    def test_memory_stays_bounded_and_each_request_is_answered(
        self, fleet: Fleet, is_chunked: bool
    ) -> None:
        raw = encode_state(route(timeoutMs=20_000), version="00000002")
        wait_until(lambda: fleet.nodes[0].submit(raw, 0) == 200, within_s=20)
        sound = AnnouncedUpstream(fleet.nodes[0])
        try:
            wait_until(lambda: send_request(fleet.nodes[0]) == 200, within_s=20)
            uploads = Uploads(fleet)
            assert uploads.run(is_chunked=is_chunked) == {(200, ""), (503, "no-room-for-body")}
            assert set(uploads.small_statuses) <= {200, 503}
            assert read_peak_mb(fleet.nodes[0]) < MEMORY_MAX_MB
        finally:
            sound.close()
