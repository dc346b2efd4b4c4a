"""Answers of upstreams whose status is none that HTTP has: callers must not get them."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from coltsfootrill.platform.dialect import coltsfootrill_dialect
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.instance import Instance
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import get_request_id

# Statuses of three digits go from 100 to 599, and 1xx are no final answers.
NO_STATUSES = ["000", "001", "099", "100", "199", "600", "700", "999"]
# Nor is this a status line at all.
NO_STATUS_LINES = ["0", "20", "2000", "0200", "-200", "+200", "2e2", "20x", "abc", "", " ", "200OK"]


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance(dialect=coltsfootrill_dialect())
    yield made
    made.close()


def _call(instance: Instance, status: str) -> tuple[int, str, int]:
    """Return status and outcome of a call whose upstream answers with a status, and its runs."""
    run_ids: list[str] = []

    def answer(sock: socket.socket, head: bytes, number: int) -> bool:
        request_id = get_request_id(head)
        run_ids.append(request_id)
        sock.sendall(
            f"HTTP/1.1 {status} Reason\r\ncontent-length: 4\r\nx-attempt-id: {request_id}\r\n"
            f"{SIGNATURE}\r\nbody".encode()
        )
        return True

    upstream = ScriptedUpstream(answer)
    instance.announce("u1", upstream.address)
    reply = instance.call("/once", method="POST", X_Attempt_Id="q1")
    upstream.close()
    return reply.status, reply.outcome, len(run_ids)


class TestStatuses:
    @pytest.mark.parametrize("status", ["200", "299", "404", "500", "599"])
    def test_an_answer_reaches_the_caller(self, instance: Instance, status: str) -> None:
        assert _call(instance, status)[0] == int(status)

    # Guards against an answer with the status 000, or another that HTTP does not have.
    @pytest.mark.parametrize("status", NO_STATUSES + NO_STATUS_LINES)
    def test_what_is_no_status_is_no_answer(self, instance: Instance, status: str) -> None:
        assert _call(instance, status) == (502, "unknown", 1)
