from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.events.catalog import UpstreamEjected
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import encode
from testing.proxy.fakes import send_raw
from testing.proxy.instance import Instance


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
