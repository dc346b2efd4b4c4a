from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from coltsfootrill.events.catalog import Attempt
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.events.catalog import UpstreamEjected
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from testing.processes import wait_until
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import encode
from testing.proxy.fakes import send_raw
from testing.proxy.instance import Instance
from testing.proxy.instance import make_request_id
from testing.proxy.test_dialect import NOT_RUN
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import get_request_id
from testing.proxy.test_dialect import reply_with

OTHER = encode(b"other", extra=SIGNATURE + "x-attempt-id: q0\r\n")


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance(dialect=coltsfootrill_dialect())
    yield made
    made.close()


def _wait_ended(instance: Instance) -> RequestEnded:
    wait_until(lambda: any(isinstance(event, RequestEnded) for event in instance.events))
    (event,) = [event for event in instance.events if isinstance(event, RequestEnded)]
    return event


class TestRequestEnded:
    def test_lost_answer_is_reported_with_its_attempt(self, instance: Instance) -> None:
        upstream = ScriptedUpstream(send_raw(b""))
        instance.announce("u1", upstream.address)
        instance.call("/once", method="POST", X_Attempt_Id="q7")
        event = _wait_ended(instance)
        assert (event.id, event.service, event.kind) == ("q7", "work", "once")
        assert (event.outcome, event.reason, event.manifest) == ("unknown", "lost", 1)
        (attempt,) = event.attempts
        assert (attempt.upstream, attempt.result, attempt.occupancy) == ("u1", "lost", 1.0)
        upstream.close()

    def test_refusal_is_reported_with_its_reason(self, instance: Instance) -> None:
        instance.call("/x", X_Attempt_Id="q8")
        event = _wait_ended(instance)
        assert (event.outcome, event.reason, event.attempts) == ("not-run", "no-upstream", [])


def _list_attempts(instance: Instance, script: Script, path: str = "/x") -> list[Attempt]:
    """Return the attempts of one request at upstreams with this script, listed under two ids."""
    upstream = ScriptedUpstream(script)
    for upstream_id in ("u1", "u2"):
        instance.announce(upstream_id, upstream.address)
    instance.call(path, X_Attempt_Id="q1")
    attempts = _wait_ended(instance).attempts
    upstream.close()
    return attempts


class TestAttempts:
    def test_a_kept_connection_is_named_again_with_its_earlier_requests(
        self, instance: Instance
    ) -> None:
        upstream = ScriptedUpstream(reply_with())
        instance.announce("u1", upstream.address)
        attempts = []
        for _ in range(3):
            instance.events.clear()
            instance.call("/x", X_Attempt_Id=make_request_id())
            attempts += _wait_ended(instance).attempts
            wait_until(lambda: instance.server.count_in_progress() == 0)
        assert [attempt.earlier_requests for attempt in attempts] == [0, 1, 2]
        assert len({attempt.connection for attempt in attempts}) == 1
        assert attempts[0].connection > 0
        upstream.close()

    def test_two_attempts_over_two_connections_are_told_apart(self, instance: Instance) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            if number == 1:
                return reply_with(status="429 Too Many", extra=NOT_RUN)(sock, head, number)
            return reply_with()(sock, head, number)

        first, second = _list_attempts(instance, script)
        assert (first.result, second.result) == ("shed", "answered")
        assert 0 < first.connection < second.connection
        assert (first.earlier_requests, second.earlier_requests) == (0, 0)

    def test_an_attempt_that_was_not_sent_names_no_connection(self, instance: Instance) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        instance.announce("u1", address)
        instance.call("/x", X_Attempt_Id="q1")
        attempts = _wait_ended(instance).attempts
        assert {(attempt.result, attempt.connection) for attempt in attempts} == {("refused", 0)}

    def test_skipped_answers_are_counted_with_the_answer(self, instance: Instance) -> None:
        (attempt,) = _list_attempts(instance, reply_with(before=2 * OTHER))
        assert (attempt.result, attempt.skipped, attempt.surplus) == ("answered", 2, False)

    def test_skipped_answers_are_counted_with_a_refusal(self, instance: Instance) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            before = OTHER if number == 1 else b""
            return reply_with(status="421 Misdirected", extra="", before=before)(sock, head, number)

        attempts = _list_attempts(instance, script)
        assert {attempt.result for attempt in attempts} == {"misdirected"}
        assert [attempt.skipped for attempt in attempts] == [1] + [0] * (len(attempts) - 1)

    @pytest.mark.parametrize(
        ("status", "extra", "result"),
        [("500 Failed", SIGNATURE, "server-error"), ("200 OK", "", "not-genuine")],
    )
    def test_skipped_answers_are_counted_with_a_failure(
        self, instance: Instance, status: str, extra: str, result: str
    ) -> None:
        script = reply_with(status=status, extra=extra, before=OTHER)
        (attempt,) = _list_attempts(instance, script, "/once")
        assert (attempt.result, attempt.skipped) == (result, 1)

    def test_an_attempt_that_was_sent_in_part_names_its_connection(
        self, instance: Instance
    ) -> None:
        # The upstream closes the connection with most of the body unread, which resets it.
        upstream = ScriptedUpstream(send_raw(b""))
        instance.announce("u1", upstream.address)
        instance.call("/once", method="POST", body=b"x" * 7_000_000, X_Attempt_Id="q1")
        (attempt,) = _wait_ended(instance).attempts
        assert attempt.result == "lost"
        assert attempt.connection > 0
        upstream.close()

    def test_skipped_answers_are_counted_with_a_lost_answer(self, instance: Instance) -> None:
        (attempt,) = _list_attempts(instance, send_raw(OTHER), "/once")
        assert (attempt.result, attempt.skipped) == ("lost", 1)

    def test_skipped_answers_are_counted_with_an_attempt_that_ends_at_the_deadline(
        self, instance: Instance
    ) -> None:
        (attempt,) = _list_attempts(instance, send_raw(OTHER, keeps_open=True), "/once")
        assert (attempt.result, attempt.skipped) == ("cancelled", 1)

    def test_bytes_behind_the_answer_are_reported(self, instance: Instance) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            echo = f"x-attempt-id: {get_request_id(head)}\r\n"
            sock.sendall(2 * encode(extra=SIGNATURE + echo))
            return True

        (attempt,) = _list_attempts(instance, script)
        assert (attempt.result, attempt.skipped, attempt.surplus) == ("answered", 0, True)


def _answer_late(sock: socket.socket, head: bytes, number: int) -> bool:
    time.sleep(0.1)
    sock.sendall(encode())
    return True


def _list_ejected_after_calls(instance: Instance) -> set[str]:
    """Return the upstreams ejected after many parallel calls.

    The calls occupy all slots of the slow upstreams, so that some reach the failing one too.
    """
    with ThreadPoolExecutor(12) as pool:
        for _ in range(36):
            pool.submit(instance.call, "/once", method="POST")
    return {event.upstream for event in instance.events if isinstance(event, UpstreamEjected)}


class TestUpstreamEjected:
    def test_ejection_of_a_repeatedly_failing_upstream_is_reported(
        self, instance: Instance
    ) -> None:
        upstreams = [ScriptedUpstream(_answer_late) for _ in range(2)]
        upstreams.append(ScriptedUpstream(answer(b"", status="500 Broken")))
        for number, upstream in enumerate(upstreams):
            instance.announce(f"u{number}", upstream.address)
        wait_until(lambda: "u2" in _list_ejected_after_calls(instance))
        for upstream in upstreams:
            upstream.close()
