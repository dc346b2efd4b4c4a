"""Callers' bodies: what an instance holds of them is bounded, and freed when the request ends."""

from __future__ import annotations

import contextlib
import hashlib
import socket
import threading
from collections.abc import Iterator

import pytest

from coltsfootrill.proxy import body_budget
from coltsfootrill.proxy import caller
from coltsfootrill.proxy import eviction
from coltsfootrill.proxy.body_budget import MB
from coltsfootrill.proxy.body_budget import SMALL_BODY_MAX_BYTES
from coltsfootrill.proxy.body_budget import SMALL_RESERVED_BYTES
from coltsfootrill.proxy.body_budget import WIDE_MAX_COUNT
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.body_budget import BodyReservation
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.proxy.instance import Instance

BODY_BYTES = 4 * MB
LARGE = b"x" * (3 * MB)
HEAD = b"POST /once HTTP/1.1\r\nHost: a\r\n"


class ReadingUpstream:
    """Reads each body to its end and answers with its digest, once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.upstream = ScriptedUpstream(self._serve)
        self.received = 0

    def _serve(self, sock: socket.socket, head: bytes, number: int) -> bool:
        fields, _, rest = head.partition(b"\r\n\r\n")
        length = 0
        for line in fields.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        digest = hashlib.sha256(rest)
        read = len(rest)
        while read < length:
            part = sock.recv(65_536)
            if not part:
                return False
            digest.update(part)
            read += len(part)
        self.received += 1
        self.may_answer.wait(5)
        sock.sendall(encode(digest.hexdigest().encode()))
        return True


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance(deadline_ms=10_000, body_bytes=BODY_BYTES)
    yield made
    made.close()


@pytest.fixture
def reading(instance: Instance) -> Iterator[ReadingUpstream]:
    made = ReadingUpstream()
    instance.announce("u1", made.upstream.address)
    yield made
    made.may_answer.set()
    made.upstream.close()


def _encode_chunks(body: bytes, size: int = 100_000) -> bytes:
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts)


def _connect(instance: Instance) -> socket.socket:
    return socket.create_connection(("127.0.0.1", instance.server.port), timeout=10)


def _wait_until_free(instance: Instance) -> None:
    wait_until(lambda: instance.body_budget.free_bytes == BODY_BYTES)


class TestForwarding:
    def test_large_body_arrives_unchanged_and_is_freed(
        self, instance: Instance, reading: ReadingUpstream
    ) -> None:
        digest = hashlib.sha256(LARGE).hexdigest().encode()
        assert instance.call("/once", method="POST", body=LARGE).body == digest
        _wait_until_free(instance)

    def test_large_body_in_chunks_arrives_unchanged_and_is_freed(
        self, instance: Instance, reading: ReadingUpstream
    ) -> None:
        chunks = _encode_chunks(LARGE) + b"0\r\n\r\n"
        reply = instance.send_raw(
            HEAD + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
        )
        assert reply.endswith(hashlib.sha256(LARGE).hexdigest().encode())
        _wait_until_free(instance)


class TestRefusal:
    # Guards against an instance that is killed for its memory, and the requests of others with it.
    def test_second_large_body_is_refused_before_it_is_sent_and_small_ones_are_served(
        self, instance: Instance, reading: ReadingUpstream
    ) -> None:
        reading.may_answer.clear()
        first = _connect(instance)
        first.sendall(HEAD + f"Content-Length: {len(LARGE)}\r\n\r\n".encode() + LARGE)
        wait_until(lambda: reading.received == 1)
        with _connect(instance) as second:
            second.sendall(HEAD + f"Content-Length: {len(LARGE)}\r\n\r\n".encode())
            refusal = second.recv(65_536)
        assert refusal.startswith(b"HTTP/1.1 503 ")
        assert b"not-run" in refusal and b"no-room-for-body" in refusal
        assert b"Retry-After" in refusal and b"Connection: close" in refusal
        reading.may_answer.set()
        small = b"s" * SMALL_BODY_MAX_BYTES
        assert instance.call("/once", method="POST", body=small).status == 200
        assert first.recv(65_536).startswith(b"HTTP/1.1 200 ")
        first.close()
        _wait_until_free(instance)
        assert reading.received == 2

    def test_body_in_chunks_is_refused_when_it_outgrows_the_room(
        self, instance: Instance, reading: ReadingUpstream
    ) -> None:
        with _connect(instance) as sock:
            sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            sock.sendall(_encode_chunks(b"x" * 6 * MB))
            assert b"no-room-for-body" in sock.recv(65_536)
        _wait_until_free(instance)
        assert reading.received == 0

    def test_answer_reaches_a_caller_that_sends_its_whole_body_first(
        self, instance: Instance, reading: ReadingUpstream
    ) -> None:
        body = b"x" * (7 * MB)
        assert instance.call("/once", method="POST", body=body).status == 503

    def test_endless_trailer_is_refused(self, instance: Instance) -> None:
        with _connect(instance) as sock:
            sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n")
            sock.sendall(b"x-a: " + b"a" * 40_000)
            assert sock.recv(65_536).startswith(b"HTTP/1.1 400 ")


class TestFreeing:
    @pytest.mark.parametrize(
        "part",
        [
            pytest.param(b"", id="nothing"),
            pytest.param(b"x" * MB, id="part"),
        ],
    )
    def test_body_that_is_cut_gives_back_its_room(self, instance: Instance, part: bytes) -> None:
        with _connect(instance) as sock:
            sock.sendall(HEAD + f"Content-Length: {len(LARGE)}\r\n\r\n".encode() + part)
            wait_until(lambda: instance.body_budget.free_bytes == BODY_BYTES - len(LARGE))
        _wait_until_free(instance)

    def test_cut_body_in_chunks_gives_back_its_room(self, instance: Instance) -> None:
        with _connect(instance) as sock:
            sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            sock.sendall(_encode_chunks(LARGE))
            wait_until(lambda: instance.body_budget.free_bytes < BODY_BYTES)
        _wait_until_free(instance)

    def test_body_that_trickles_gives_back_its_room(
        self, instance: Instance, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(caller, "REQUEST_TIMEOUT_MS", 300.0)
        with _connect(instance) as sock:
            sock.sendall(HEAD + f"Content-Length: {len(LARGE)}\r\n\r\n".encode())
            wait_until(lambda: instance.body_budget.free_bytes < BODY_BYTES)
            with pytest.raises(OSError):
                for _ in range(200):
                    sock.sendall(b"x")
                    threading.Event().wait(0.02)
        _wait_until_free(instance)

    def test_small_request_that_trickles_ends(
        self, instance: Instance, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(caller, "REQUEST_TIMEOUT_MS", 300.0)
        with _connect(instance) as sock:
            sock.sendall(HEAD)
            with pytest.raises(OSError):
                for _ in range(200):
                    sock.sendall(b"X: y\r\n")
                    threading.Event().wait(0.02)

    def test_body_of_a_request_without_an_upstream_gives_back_its_room(
        self, instance: Instance
    ) -> None:
        assert instance.call("/nowhere", method="POST", body=LARGE).status == 404
        _wait_until_free(instance)


class TestStalledCallers:
    # Guards against callers that stop short and keep the room that other uploads need.
    def test_body_gets_the_room_of_one_that_has_stalled(
        self,
        instance: Instance,
        reading: ReadingUpstream,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(eviction, "STALLED_MIN_MS", 0.0)
        with _connect(instance) as stalled:
            stalled.sendall(HEAD + f"Content-Length: {len(LARGE)}\r\n\r\n".encode() + b"x")
            wait_until(lambda: instance.body_budget.free_bytes < BODY_BYTES)
            assert instance.call("/once", method="POST", body=LARGE).status == 200
            refusal = stalled.recv(65_536)
        assert refusal.startswith(b"HTTP/1.1 503 ") and b"no-room-for-body" in refusal
        assert b"not-run" in refusal and b"Retry-After" in refusal
        assert reading.received == 1
        _wait_until_free(instance)

    def test_small_bodies_that_stop_short_are_refused_beyond_their_room(
        self, instance: Instance, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(body_budget, "SMALL_RESERVED_BYTES", 0)
        head = HEAD + f"Content-Length: {SMALL_BODY_MAX_BYTES}\r\n\r\n".encode()
        with contextlib.ExitStack() as stack:
            callers = [
                stack.enter_context(_connect(instance))
                for _ in range(BODY_BYTES // SMALL_BODY_MAX_BYTES + 1)
            ]
            for caller_socket in callers[:-1]:
                caller_socket.sendall(head)
            wait_until(lambda: instance.body_budget.free_bytes == 0)
            callers[-1].sendall(head)
            assert b"no-room-for-body" in callers[-1].recv(65_536)
        _wait_until_free(instance)


class TestWideConnections:
    # Guards against what the kernel holds of many large bodies beside the memory for them.
    def test_few_are_wide_at_a_time(self) -> None:
        budget = BodyBudget(MB)
        assert all(budget.take_wide() for _ in range(WIDE_MAX_COUNT))
        assert not budget.take_wide()
        budget.release_wide()
        assert budget.take_wide() and not budget.take_wide()

    def test_connection_is_wide_until_it_is_closed(
        self, instance: Instance, reading: ReadingUpstream
    ) -> None:
        reading.may_answer.clear()
        with _connect(instance) as sock:
            sock.sendall(HEAD + f"Content-Length: {len(LARGE)}\r\n\r\n".encode() + LARGE)
            wait_until(lambda: reading.received == 1)
            assert instance.body_budget.wide_count == 1
            reading.may_answer.set()
        wait_until(lambda: instance.body_budget.wide_count == 0)

    def test_connection_closes_after_a_large_body(
        self, instance: Instance, reading: ReadingUpstream
    ) -> None:
        with _connect(instance) as sock:
            sock.sendall(HEAD + f"Content-Length: {len(LARGE)}\r\n\r\n".encode() + LARGE)
            assert b"Connection: close" in sock.recv(65_536)
        with _connect(instance) as sock:
            small = b"s" * SMALL_BODY_MAX_BYTES
            sock.sendall(HEAD + f"Content-Length: {len(small)}\r\n\r\n".encode() + small)
            assert b"Connection: close" not in sock.recv(65_536)


class TestBodyBudget:
    def test_small_bodies_take_their_own_room_first_and_then_the_bound(self) -> None:
        budget = BodyBudget(MB)
        assert budget.try_reserve(SMALL_RESERVED_BYTES, is_small=True)
        assert budget.free_bytes == MB
        assert budget.try_reserve(MB, is_small=True)
        assert budget.free_bytes == 0
        assert not budget.try_reserve(1, is_small=True)
        budget.release(2 * MB, is_small=True)
        assert budget.free_bytes == MB

    def test_large_bodies_leave_the_room_of_small_ones(self) -> None:
        budget = BodyBudget(MB)
        assert budget.try_reserve(MB) and not budget.try_reserve(1)
        assert budget.try_reserve(SMALL_RESERVED_BYTES, is_small=True)

    def test_body_that_grows_large_gives_back_the_room_of_small_ones(self) -> None:
        budget = BodyBudget(MB)
        reservation = BodyReservation(budget)
        assert reservation.extend_to(SMALL_BODY_MAX_BYTES) and budget.free_bytes == MB
        assert reservation.extend_to(MB) and budget.free_bytes == 0
        reservation.release()
        assert budget.free_bytes == MB

    def test_bound_is_worked_out_from_the_memory(self) -> None:
        assert BodyBudget.from_memory_mb(200).free_bytes == 72 * MB
        assert BodyBudget.from_memory_mb(300).free_bytes == 172 * MB
        assert BodyBudget.from_memory_mb(64).free_bytes == 8 * MB

    def test_small_body_needs_no_room(self) -> None:
        assert BodyReservation(BodyBudget(0)).extend_to(SMALL_BODY_MAX_BYTES)

    def test_reservation_grows_and_is_freed_once(self) -> None:
        budget = BodyBudget(3 * MB)
        reservation = BodyReservation(budget)
        assert reservation.extend_to(MB) and reservation.extend_to(2 * MB)
        assert budget.free_bytes == MB
        reservation.release()
        reservation.release()
        assert budget.free_bytes == 3 * MB

    def test_of_two_bodies_that_grow_together_one_is_not_refused(self) -> None:
        budget = BodyBudget(4 * MB)
        first, second = BodyReservation(budget), BodyReservation(budget)
        assert first.extend_to(2 * MB) and second.extend_to(2 * MB)
        assert not first.extend_to(3 * MB)
        assert second.extend_to(4 * MB)
