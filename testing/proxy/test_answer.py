"""Tests of what is taken for an answer, on a connection that has answered before."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from coltsfootrill.platform.dialect import coltsfootrill_dialect
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.proxy.fakes import send_raw
from testing.proxy.instance import Instance
from testing.proxy.test_dialect import NOT_RUN
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import get_request_id
from testing.proxy.test_dialect import reply_with


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance(dialect=coltsfootrill_dialect(), once_idle_max_ms=4_000)
    yield made
    made.close()


class SurplusUpstream:
    """Answers; from the second answer on a connection on, writes ``surplus`` just before it."""

    def __init__(self, surplus: bytes, status: str) -> None:
        self.run_ids: list[str] = []
        self._surplus = surplus
        self._status = status
        self._seen: set[socket.socket] = set()

    def answer(self, sock: socket.socket, head: bytes, number: int) -> bool:
        self.run_ids.append(get_request_id(head))
        if sock in self._seen:
            return reply_with(before=self._surplus, status=self._status)(sock, head, number)
        self._seen.add(sock)
        return reply_with()(sock, head, number)


def _call_twice(instance: Instance, surplus: bytes, status: str = "200 OK") -> tuple[int, int]:
    """Return the status of the second of two requests, and how often it ran."""
    upstream = SurplusUpstream(surplus, status)
    server = ScriptedUpstream(upstream.answer)
    instance.announce("u1", server.address)
    for request_id in ("q0", "q1"):
        reply = instance.call("/once", method="POST", X_Attempt_Id=request_id)
        wait_until(lambda: instance.server.count_in_progress() == 0)
    server.close()
    return reply.status, upstream.run_ids.count("q1")


class TestCutOffAnswers:
    # Guards against a request that has run being refused by what is left of another answer.
    @pytest.mark.parametrize(
        "cut",
        [
            b"HTTP/1.1 421 ",
            b"HTTP/1.1 421 Misdirected Requ",
            b"HTTP/1.1 503 Full\r\nx-not-executed: 1",
            b"HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nserver: some",
            b"HTTP/1.1 429 Limited\r\nX-Not-Executed: 1\r\nDate: Sun, 06 Dec",
        ],
    )
    def test_a_refusal_that_is_cut_off_does_not_take_the_id_of_the_answer_behind_it(
        self, instance: Instance, cut: bytes
    ) -> None:
        assert _call_twice(instance, cut) == (502, 1)

    # Guards against a failure that reaches the caller as a success.
    @pytest.mark.parametrize("cut", [b"HTTP/1.1 200 ", b"HTTP/1.1 200 OK\r\nserver: some"])
    def test_a_success_that_is_cut_off_does_not_take_the_id_of_the_failure_behind_it(
        self, instance: Instance, cut: bytes
    ) -> None:
        assert _call_twice(instance, cut, "500 Failed") == (502, 1)

    def test_a_header_may_name_the_protocol(self, instance: Instance) -> None:
        server = ScriptedUpstream(reply_with(extra=SIGNATURE + "via: HTTP/1.1 gateway\r\n"))
        instance.announce("u1", server.address)
        assert instance.call("/once", method="POST", X_Attempt_Id="q1").status == 200
        server.close()


class TestStatements:
    # Guards against a request that has run being refused for what stands behind its answer.
    def test_a_trailer_does_not_state_that_a_request_was_not_run(self, instance: Instance) -> None:
        answer = (
            "HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n"
            f"{SIGNATURE}x-attempt-id: q1\r\n\r\n0\r\n{NOT_RUN}\r\n"
        ).encode()

        server = ScriptedUpstream(send_raw(answer, keeps_open=True))
        instance.announce("u1", server.address)
        reply = instance.call("/once", method="POST", X_Attempt_Id="q1")
        assert (reply.status, len(server.heads)) == (500, 1)
        server.close()

    # Guards against an answer that names two requests being taken for that of either.
    @pytest.mark.parametrize("ids", [("q1", "q0"), ("q0", "q1")])
    def test_an_answer_that_names_two_requests_belongs_to_none(
        self, instance: Instance, ids: tuple[str, str]
    ) -> None:
        extra = NOT_RUN + "".join(f"x-attempt-id: {request_id}\r\n" for request_id in ids)
        server = ScriptedUpstream(send_raw(encode(status="503 Full", extra=extra)))
        instance.announce("u1", server.address)
        reply = instance.call("/once", method="POST", X_Attempt_Id="q1")
        assert (reply.status, len(server.heads)) == (502, 1)
        server.close()
