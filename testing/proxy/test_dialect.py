"""Tests of requests with the platform dialect against scripted upstreams."""

from __future__ import annotations

import queue
import socket
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy import forward
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.answer import UpstreamAnswer
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.second_attempt import get_second_attempt_at_ms
from testing.processes import wait_until
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import encode
from testing.proxy.instance import Instance
from testing.proxy.instance import Reply
from testing.proxy.instance import make_request_id

Serve = Callable[..., ScriptedUpstream]
SIGNATURE = "x-server-signature: s\r\n"
NOT_RUN = "x-not-executed: 1\r\n"
DEADLINE_MS = 1_500
SLOW_MS = 500.0


def get_request_id(head: bytes) -> str:
    for line in head.decode().split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "x-attempt-id":
            return value
    return ""


def reply_with(
    body: bytes = b"hello", *, status: str = "200 OK", extra: str = SIGNATURE, before: bytes = b""
) -> Script:
    def script(sock: socket.socket, head: bytes, number: int) -> bool:
        echo = f"x-attempt-id: {get_request_id(head)}\r\n"
        sock.sendall(before + encode(body, status=status, extra=extra + echo))
        return True

    return script


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def instance(clock: Clock) -> Iterator[Instance]:
    made = Instance(
        dialect=coltsfootrill_dialect(),
        deadline_ms=DEADLINE_MS,
        once_idle_max_ms=4_000,
        clock=clock,
    )
    yield made
    made.close()


@pytest.fixture
def serve(instance: Instance) -> Iterator[Serve]:
    started: list[ScriptedUpstream] = []

    def start(script: Script, upstream_id: str = "") -> ScriptedUpstream:
        started.append(ScriptedUpstream(script))
        instance.announce(upstream_id or f"u{len(started)}", started[-1].address)
        return started[-1]

    yield start
    for upstream in started:
        upstream.close()


def _call(instance: Instance, path: str = "/x", *, method: str = "GET", **headers: str) -> Reply:
    request_id = headers.pop("X_Attempt_Id", None) or make_request_id()
    reply = instance.call(path, method=method, X_Attempt_Id=request_id, **headers)
    # The upstream connection returns to its pool just after the answer has been sent.
    wait_until(lambda: instance.server.count_in_progress() == 0)
    return reply


class TestRequestHeaders:
    def test_upstream_id_and_remaining_time_are_sent(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(reply_with(), "u7")
        _call(
            instance,
            X_Attempt_Id="q1",
            X_Deadline_Milliseconds="700",
            X_Expected_Instance="forged",
        )
        lines = upstream.heads[0].decode().lower().split("\r\n")
        deadlines = [line for line in lines if line.startswith("x-deadline-milliseconds: ")]
        assert len(deadlines) == 1
        assert 600 < int(deadlines[0].split(": ")[1]) <= 700
        assert [line for line in lines if "expected-instance" in line] == [
            "x-expected-instance: u7"
        ]
        assert "x-attempt-id: q1" in lines

    def test_caller_deadline_is_limited_by_the_route(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(reply_with())
        _call(instance, X_Deadline_Milliseconds="60000")
        text = upstream.heads[0].decode().lower().partition("x-deadline-milliseconds: ")[2]
        assert int(text.split("\r\n")[0]) <= 1_500


class TestNotRunProofs:
    def test_misdirected_upstream_is_not_used_again(self, instance: Instance, serve: Serve) -> None:
        other = serve(reply_with(status="421 Misdirected Request", extra=""))
        healthy = serve(reply_with())
        for _ in range(6):
            assert _call(instance, "/once", method="POST").status == 200
        assert len(other.heads) <= 1
        assert len(healthy.heads) == 6

    def test_not_run_header_proves_not_run_with_any_status(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(reply_with(status="429 Too Many Requests", extra=NOT_RUN))
        healthy = serve(reply_with())
        assert _call(instance, "/once", method="POST").status == 200
        assert len(healthy.heads) == 1

    @pytest.mark.parametrize("status", ["503 Busy", "429 Too Many", "408 Late"])
    def test_status_that_implies_not_run_is_not_forwarded_without_proof(
        self, instance: Instance, serve: Serve, status: str
    ) -> None:
        upstream = serve(reply_with(status=status))
        reply = _call(instance, "/once", method="POST")
        assert (reply.status, reply.outcome) == (502, "unknown")
        assert reply.headers["X-Server-Signature"] is None
        assert len(upstream.heads) == 1


class TestAnswerMatching:
    def test_success_without_the_signature_is_an_error(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(reply_with(extra=""))
        assert _call(instance, "/once", method="POST").status == 502

    def test_answer_with_encoded_body_is_not_genuine(
        self, instance: Instance, serve: Serve
    ) -> None:
        serve(reply_with(extra=SIGNATURE + "content-encoding: gzip\r\n"))
        assert _call(instance, "/once", method="POST").status == 502

    def test_answer_to_an_earlier_request_is_skipped(
        self, instance: Instance, serve: Serve
    ) -> None:
        late = encode(b"other", extra=SIGNATURE + "x-attempt-id: q0\r\n")
        upstream = serve(reply_with(b"mine", before=late))
        replies = [_call(instance, "/once", method="POST").body for _ in range(3)]
        assert replies == [b"mine"] * 3
        assert upstream.connections == 3

    # The clock stands still, so that no deadline passes and the connection stays fit for reuse.
    @pytest.mark.parametrize("clock", [ManualClock()], ids=["manual"])
    def test_answer_without_an_id_is_accepted_only_on_a_fresh_connection(
        self,
        clock: ManualClock,
        instance: Instance,
        serve: Serve,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(encode(str(number).encode(), extra=SIGNATURE))
            return True

        are_answers: list[bool] = []
        read_available = UpstreamConnection.read_available

        def record_read(connection: UpstreamConnection) -> UpstreamAnswer | None:
            answer = read_available(connection)
            are_answers.append(answer is not None)
            return answer

        monkeypatch.setattr(UpstreamConnection, "read_available", record_read)
        upstream = serve(script)
        assert _call(instance, "/once", method="POST").body == b"1"
        replies: list[Reply] = []
        caller = threading.Thread(
            target=lambda: replies.append(_call(instance, "/once", method="POST"))
        )
        caller.start()
        wait_until(lambda: len(are_answers) == 2)
        clock.advance(DEADLINE_MS)
        caller.join()
        assert are_answers == [True, False]
        assert (replies[0].outcome, upstream.connections) == ("unknown", 1)

    # Guards against a request that has run being refused for an answer that names no request.
    def test_answer_without_an_id_is_not_accepted_behind_the_answer_to_another_request(
        self, instance: Instance, serve: Serve
    ) -> None:
        other = encode(b"other", extra=SIGNATURE + "x-attempt-id: q0\r\n")
        nameless = encode(b"", status="503 Full", extra=NOT_RUN)
        upstream = serve(reply_with(before=other + nameless))
        reply = _call(instance, "/once", method="POST")
        assert (reply.status, len(upstream.heads)) == (200, 1)

    def test_answer_without_a_length_ends_when_the_connection_closes(
        self, instance: Instance, serve: Serve
    ) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(f"HTTP/1.1 200 OK\r\n{SIGNATURE}x-attempt-id: q1\r\n\r\nwhole".encode())
            return False

        serve(script)
        assert _call(instance, "/once", method="POST", X_Attempt_Id="q1").body == b"whole"


class TestReuse:
    def test_connection_that_has_just_answered_is_reused(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(reply_with())
        for _ in range(4):
            _call(instance, "/once", method="POST")
        assert upstream.connections == 1

    def test_requests_use_fresh_connections_after_a_loss_on_a_reused_one(
        self, instance: Instance, serve: Serve
    ) -> None:
        used: list[socket.socket] = []

        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            used.append(sock)
            if number == 2:
                return False
            return reply_with()(sock, head, number)

        serve(script)
        statuses = [_call(instance, "/once", method="POST").status for _ in range(5)]
        assert statuses == [200, 502, 200, 200, 200]
        assert used[1] is used[0]
        assert len(set(used)) == 4

    def test_keep_alive_timeout_of_an_upstream_is_respected(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = serve(reply_with(extra=SIGNATURE + "keep-alive: timeout=1\r\n"))
        _call(instance)
        time.sleep(0.3)
        _call(instance)
        assert upstream.connections == 2


class TestHedging:
    def test_request_that_would_miss_its_target_is_hedged(
        self, instance: Instance, serve: Serve
    ) -> None:
        def slow(sock: socket.socket, head: bytes, number: int) -> bool:
            time.sleep(1.0)
            return reply_with(b"slow")(sock, head, number)

        serve(slow)
        serve(slow)
        started_s = time.monotonic()
        assert _call(instance, "/single").body == b"slow"
        assert time.monotonic() - started_s >= 1.0
        serve(reply_with(b"quick"), "u3")
        bodies = [_call(instance, "/targeted").body for _ in range(5)]
        assert bodies.count(b"quick") >= 4

    @pytest.mark.parametrize("clock", [ManualClock()], ids=["manual"])
    def test_retry_budget_is_not_spent_without_a_second_upstream(
        self,
        clock: ManualClock,
        instance: Instance,
        serve: Serve,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        second_at_ms: queue.SimpleQueue[float] = queue.SimpleQueue()
        found: queue.SimpleQueue[object] = queue.SimpleQueue()
        tried_count = 0

        def record_time(*args: Any, **names: Any) -> float:
            at_ms = get_second_attempt_at_ms(*args, **names)
            second_at_ms.put(at_ms)
            return at_ms

        def record_claim(*args: Any, **names: Any) -> Claim | None:
            claim = try_acquire(*args, **names)
            found.put(claim)
            return claim

        def slow(sock: socket.socket, head: bytes, number: int) -> bool:
            nonlocal tried_count
            # Only once the instance waits for this answer, and not again before it has tried.
            until_ms = clock.now_ms() + SLOW_MS
            is_tried = second_at_ms.get() <= until_ms
            clock.advance(SLOW_MS)
            if is_tried:
                assert found.get() is None
                tried_count += 1
            return reply_with()(sock, head, number)

        try_acquire = AdmissionController.try_acquire
        monkeypatch.setattr(forward, "get_second_attempt_at_ms", record_time)
        monkeypatch.setattr(AdmissionController, "try_acquire", record_claim)
        serve(slow)
        for _ in range(6):
            assert _call(instance, "/targeted").status == 200
        assert tried_count > 0
        controller = instance.app.controllers_by_service["work"]
        tokens: list[float] = []
        controller.read_pool(lambda pool, now_ms: tokens.append(pool.retry_budget.tokens))
        # Six first attempts earned 0.2 tokens each, in addition to the initial 3.
        assert tokens == [pytest.approx(4.2)]


class RefusingUpstream:
    """Refuses its first request, and again where it answers the next one on that connection."""

    def __init__(self, refuse: Script) -> None:
        self.run_count = 0
        self._refuse = refuse
        self._refused_on: socket.socket | None = None

    def answer(self, sock: socket.socket, head: bytes, number: int) -> bool:
        if number == 1:
            self._refused_on = sock
            return self._refuse(sock, head, number)
        if sock is self._refused_on:
            self._refuse(sock, head, number)
        self.run_count += 1
        return reply_with()(sock, head, number)


class TestRepeatedRefusals:
    # Guards against a request that has run being called not run, or run again.
    def test_a_refusal_that_is_written_again_is_no_answer_to_the_next_attempt(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = RefusingUpstream(reply_with(status="429 Too Many Requests", extra=NOT_RUN))
        serve(upstream.answer)
        reply = _call(instance, "/once", method="POST")
        assert (reply.status, reply.outcome) == (200, "answered")
        assert upstream.run_count == 1

    # Guards against a request that has run being refused, when an upstream restarts under a new id.
    def test_a_refusal_for_the_former_id_at_an_address_is_no_answer_to_the_attempt_at_the_new_one(
        self, instance: Instance, serve: Serve
    ) -> None:
        upstream = RefusingUpstream(reply_with(status="421 Misdirected Request", extra=""))
        instance.announce("u2", serve(upstream.answer, "u1").address)
        reply = _call(instance, "/once", method="POST")
        assert (reply.status, reply.outcome) == (200, "answered")
        assert upstream.run_count == 1

    # Guards against a request that has run being refused for the refusal of an earlier request.
    @pytest.mark.parametrize("ids", [("q1", "q1"), ("q1", ""), ("", "")])
    def test_a_refusal_that_is_written_again_is_no_answer_to_a_request_that_its_id_does_not_tell(
        self, instance: Instance, serve: Serve, ids: tuple[str, str]
    ) -> None:
        upstream = RefusingUpstream(reply_with(status="503 Full", extra=NOT_RUN))
        serve(upstream.answer)
        statuses = [
            instance.call(
                "/once", method="POST", X_Attempt_Id=request_id, Coltsfootrill_Retried="1"
            ).status
            for request_id in ids
        ]
        assert (statuses, upstream.run_count) == ([503, 200], 1)

    # Guards against a request that has run being called not run, or run again, without any ids.
    def test_a_refusal_that_is_written_again_is_no_answer_to_the_next_attempt_without_ids(
        self,
    ) -> None:
        instance = Instance(once_idle_max_ms=4_000)
        refuse = answer(b"", status="503 Service Unavailable", extra="upstream-shed: 1\r\n")
        upstream = RefusingUpstream(refuse)
        server = ScriptedUpstream(upstream.answer)
        instance.announce("u1", server.address)
        reply = instance.call("/once", method="POST")
        server.close()
        instance.close()
        assert (reply.status, upstream.run_count) == (200, 1)
