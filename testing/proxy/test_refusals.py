"""Searches for requests that ran although the answer promised that they had not."""

from __future__ import annotations

import socket
import struct
import time
from collections import Counter

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from coltsfootrill.platform.dialect import coltsfootrill_dialect
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.instance import Instance
from testing.proxy.instance import make_request_id
from testing.proxy.test_dialect import NOT_RUN
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import get_request_id
from testing.proxy.test_dialect import reply_with

# Each of these statuses promises that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
DEADLINE_MS = 250
REQUESTS_COUNT = 3
REFUSALS: dict[str, Script] = {
    "full": reply_with(status="503 Full", extra=NOT_RUN),
    "limited": reply_with(status="429 Limited", extra=NOT_RUN),
    "misdirected": reply_with(status="421 Misdirected Request", extra=""),
}
ANSWERS: dict[str, Script] = {
    "good": reply_with(),
    "failed": reply_with(status="500 Failed"),
    "unsigned": reply_with(extra=""),
    "busy": reply_with(status="503 Busy"),
    "busy-later": reply_with(status="503 Busy", extra=SIGNATURE + "retry-after: 1\r\n"),
    "too-many": reply_with(status="429 Too Many"),
    "too-late": reply_with(status="408 Too Late"),
}
RESET = struct.pack("ii", 1, 0)


class FaultyUpstreams:
    """Share one list of steps, one for each arrival, and count the runs of each request.

    A step names an answer or a refusal, or ``reset``, ``cut`` or ``silent``, which run the request
    and lose its answer, or ``unread``, which resets the connection without running it. With
    ``twice`` the answer is written again where the next one on its connection is due.
    """

    def __init__(self, steps: list[tuple[str, bool]]) -> None:
        self._steps = iter(steps)
        self._again: dict[socket.socket, bytes] = {}
        self.runs_by_id: Counter[str] = Counter()

    def serve(self, sock: socket.socket, head: bytes, number: int) -> bool:
        """Take the next step for one request; return whether its connection stays open."""
        step, is_twice = next(self._steps, ("good", False))
        sock.sendall(self._again.pop(sock, b""))
        request_id = get_request_id(head)
        if step not in (*REFUSALS, "unread"):
            self.runs_by_id[request_id] += 1
        if step in ("reset", "unread"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        if step == "silent":
            time.sleep(2 * DEADLINE_MS / 1000)
            return False
        answer = _record(REFUSALS.get(step) or ANSWERS.get(step) or ANSWERS["good"], head)
        if step == "cut":
            sock.sendall(answer[:-1])
            return False
        sock.sendall(answer)
        if is_twice:
            self._again[sock] = answer
        return True


class _Recorder:
    """Takes the place of a socket for a script that writes an answer."""

    def __init__(self) -> None:
        self.data = b""

    def sendall(self, data: bytes) -> None:
        self.data += data


def _record(script: Script, head: bytes) -> bytes:
    recorder = _Recorder()
    script(recorder, head, 1)  # type: ignore[arg-type]
    return recorder.data


STEPS = st.lists(
    st.tuples(
        st.sampled_from([*REFUSALS, *ANSWERS, "reset", "cut", "silent", "unread"]), st.booleans()
    ),
    min_size=1,
    max_size=8,
)


# At how many addresses the two ids of upstreams are listed. Both ids of an upstream that has
# restarted are listed at its address for a while.
ADDRESS_COUNTS = (1, 2)


def _call_with(steps: list[tuple[str, bool]], address_count: int) -> tuple[set[str], Counter[str]]:
    """Send requests to upstreams that take these steps; return the refused ones, and all runs."""
    instance = Instance(
        deadline_ms=DEADLINE_MS, dialect=coltsfootrill_dialect(), once_idle_max_ms=4_000
    )
    upstreams = FaultyUpstreams(steps)
    servers = [ScriptedUpstream(upstreams.serve) for _ in range(address_count)]
    instance.announce("u1", servers[0].address)
    instance.announce("u2", servers[-1].address)
    refused = set()
    for _ in range(REQUESTS_COUNT):
        request_id = make_request_id()
        reply = instance.call("/once", method="POST", X_Attempt_Id=request_id)
        if reply.status in PROMISES:
            refused.add(request_id)
    for server in servers:
        server.close()
    instance.close()
    return refused, upstreams.runs_by_id


# Guards against a request that has run being refused, or run again, whatever upstreams answer.
@settings(max_examples=60)
@given(steps=STEPS, address_count=st.sampled_from(ADDRESS_COUNTS))
@example(steps=[("full", True)], address_count=1)
@example(steps=[("misdirected", True)], address_count=1)
@example(steps=[("full", True), ("full", False)], address_count=2)
def test_no_request_that_is_refused_runs(steps: list[tuple[str, bool]], address_count: int) -> None:
    refused, runs_by_id = _call_with(steps, address_count)
    assert not refused & set(runs_by_id)
    assert max(runs_by_id.values(), default=0) <= 1
