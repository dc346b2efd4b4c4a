from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import pytest

from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy.answer import NO_ECHO
from coltsfootrill.proxy.answer import AnswerReader
from coltsfootrill.proxy.unsolicited import UnsolicitedCause
from testing.processes import wait_until
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.proxy.instance import Instance
from testing.proxy.instance import make_request_id
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import get_request_id
from testing.proxy.test_dialect import reply_with

OTHER = encode(b"other", extra=SIGNATURE + "x-attempt-id: q0\r\n")
NAMELESS = encode(b"nameless", extra=SIGNATURE)
METRIC = "coltsfootrill_unsolicited_answers_total"
CAUSES: tuple[UnsolicitedCause, ...] = ("other-request", "nameless", "surplus", "idle")


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance(dialect=coltsfootrill_dialect(), once_idle_max_ms=4_000)
    yield made
    made.close()


def _count(instance: Instance) -> dict[str, float]:
    """Return the counter of the service by cause, without the causes that were never counted."""
    get = instance.metrics.registry.get_sample_value
    values = {cause: get(METRIC, {"service": "work", "cause": cause}) for cause in CAUSES}
    return {cause: value for cause, value in values.items() if value is not None}


def _call(instance: Instance) -> bytes:
    reply = instance.call("/once", method="POST", X_Attempt_Id=make_request_id())
    # The upstream connection returns to its pool just after the answer has been sent.
    wait_until(lambda: instance.server.count_in_progress() == 0)
    return reply.body


def _serve(instance: Instance, script: Script) -> ScriptedUpstream:
    upstream = ScriptedUpstream(script)
    instance.announce("u1", upstream.address)
    return upstream


class TestCounter:
    def test_answers_that_name_another_request_are_counted(self, instance: Instance) -> None:
        upstream = _serve(instance, reply_with(b"mine", before=2 * OTHER))
        assert _call(instance) == b"mine"
        assert _count(instance) == {"other-request": 2}
        upstream.close()

    def test_a_nameless_answer_on_a_kept_connection_is_counted(self, instance: Instance) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            before = NAMELESS if number == 2 else b""
            return reply_with(b"mine", before=before)(sock, head, number)

        upstream = _serve(instance, script)
        assert [_call(instance) for _ in range(2)] == [b"mine"] * 2
        assert upstream.connections == 1
        assert _count(instance) == {"nameless": 1}
        upstream.close()

    def test_an_answer_written_twice_at_once_is_counted(self, instance: Instance) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            echo = f"x-attempt-id: {get_request_id(head)}\r\n"
            sock.sendall(2 * encode(b"mine", extra=SIGNATURE + echo))
            return True

        upstream = _serve(instance, script)
        assert _call(instance) == b"mine"
        assert _count(instance) == {"surplus": 1}
        upstream.close()

    def test_bytes_on_an_idle_connection_are_counted(self, instance: Instance) -> None:
        may_repeat = threading.Event()
        has_repeated = threading.Event()

        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            reply_with(b"mine")(sock, head, number)
            if number == 1:
                may_repeat.wait(5)
                reply_with(b"mine")(sock, head, number)
                has_repeated.set()
            return True

        upstream = _serve(instance, script)
        assert _call(instance) == b"mine"
        may_repeat.set()
        assert has_repeated.wait(5)
        assert _count(instance) == {}
        assert _call(instance) == b"mine"
        assert upstream.connections == 2
        assert _count(instance) == {"idle": 1}
        upstream.close()

    def test_answers_skipped_before_the_connection_ends_are_counted(
        self, instance: Instance
    ) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(OTHER)
            return False

        upstream = _serve(instance, script)
        _call(instance)
        assert _count(instance) == {"other-request": 1}
        upstream.close()

    def test_ordinary_requests_and_a_closed_idle_connection_are_not_counted(
        self, instance: Instance
    ) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            reply_with(b"mine")(sock, head, number)
            return number < 3

        upstream = _serve(instance, script)
        for _ in range(3):
            assert _call(instance) == b"mine"
        (idle,) = instance.app.pools.get(upstream.address)._idle
        wait_until(lambda: not idle.has_no_pending_data())
        assert _call(instance) == b"mine"
        assert upstream.connections == 2
        assert _count(instance) == {}
        upstream.close()


class TestReader:
    @pytest.mark.parametrize(
        "behind",
        [
            encode(),
            3 * encode(),
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nx-a: ",
        ],
        ids=["answer", "answers", "no-http", "part-of-an-answer"],
    )
    def test_whatever_is_behind_the_complete_answer_counts_once(self, behind: bytes) -> None:
        reader = AnswerReader("GET", NO_ECHO, is_fresh=True)
        assert reader.feed(encode(b"mine") + behind) is not None
        assert reader.unsolicited_by_cause == {"surplus": 1}
        assert not reader.is_reusable

    def test_a_lone_answer_counts_nothing(self) -> None:
        reader = AnswerReader("GET", NO_ECHO, is_fresh=True)
        assert reader.feed(encode(b"mine")) is not None
        assert reader.unsolicited_by_cause == {}
        assert reader.is_reusable
