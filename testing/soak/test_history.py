"""Violates each guarantee once, to verify that the soak's checks report violations."""

from __future__ import annotations

import http.client
import signal
import socket
import time as clock
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from testing.nodes import Node
from testing.soak.callers import KeptCaller
from testing.soak.conftest import FakeTime
from testing.soak.history import MANIFEST_APPLY_MAX_MS
from testing.soak.history import STALE_AFTER_FREEZE_MAX_MS
from testing.soak.history import WORK_AFTER_LEAVING_MAX_MS
from testing.soak.history import History
from testing.soak.history import Reply
from testing.soak.history import Run
from testing.soak.history import make_body
from testing.soak.kept import CROSSED_MAX_MS
from testing.soak.kept import KeptJudge
from testing.soak.proxy import LINGER_RESET

# Of the times that the kernel notes, and more than any tick of it.
RESOLUTION_MS = 20.0
LOOKS_LATE_S = 0.2


def _run(request_id: str, *, is_executed: bool = True) -> Run:
    return Run(request_id, "i-1", is_executed=is_executed)


def _reply(status: int, body: bytes = b"") -> Reply:
    return Reply(status, body)


class TestRequests:
    def test_a_non_idempotent_request_is_executed_at_most_once(self) -> None:
        history = History()
        history.record_request("q1", is_idempotent=False, node="n1")
        history.record_run(_run("q1", is_executed=False))
        history.record_run(_run("q1"))
        history.check_final(is_planned_only=False)
        assert history.violations == []
        history.record_run(_run("q1"))
        history.check_final(is_planned_only=False)
        assert history.violations == ["q1 was executed 2 times"]

    def test_an_idempotent_request_may_be_executed_again(self) -> None:
        history = History()
        history.record_request("q1", is_idempotent=True, node="n1")
        for _ in range(2):
            history.record_run(_run("q1"))
        history.check_final(is_planned_only=False)
        assert history.violations == []

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_a_request_reported_as_not_run_was_not_executed(self, status: int) -> None:
        history = History()
        history.record_request("q1", is_idempotent=False, node="n1")
        history.record_run(_run("q1"))
        history.record_reply("q1", _reply(status))
        history.check_final(is_planned_only=False)
        assert len(history.violations) == 1

    # Guards against a run that begins after the refusal being overlooked.
    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_a_request_reported_as_not_run_is_not_executed_later(self, status: int) -> None:
        history = History()
        for request_id in ("q1", "q2"):
            history.record_request(request_id, is_idempotent=False, node="n1")
            history.record_run(_run(request_id, is_executed=False))
            history.record_reply(request_id, _reply(status))
        history.record_run(_run("q2"))
        history.check_final(is_planned_only=False)
        assert history.violations == [f"q2 was executed but reported as not run ({status})"]

    def test_an_answer_is_complete_and_belongs_to_its_request(self) -> None:
        history = History()
        history.record_reply("q1", _reply(200, make_body("q1")))
        assert history.violations == []
        history.record_reply("q1", _reply(200, make_body("q2")))
        assert len(history.violations) == 1

    def test_only_requests_that_a_caller_sent_reach_upstreams(self) -> None:
        history = History()
        history.record_run(_run("q9"))
        history.check_final(is_planned_only=False)
        assert history.violations == ["q9 reached an upstream but no caller sent it"]

    def test_planned_operations_interrupt_no_request(self) -> None:
        history = History()
        history.record_request("q1", is_idempotent=True, node="n1")
        history.record_run(_run("q1"))
        history.record_reply("q1", _reply(0))
        history.check_final(is_planned_only=False)
        assert history.violations == []
        history.check_final(is_planned_only=True)
        assert history.violations == [
            "q1 was executed but not answered, with planned operations only"
        ]


class TestKeptConnections:
    @pytest.mark.parametrize(
        ("status", "after_ms", "has_run", "name", "count"),
        [
            (0, CROSSED_MAX_MS, False, "SIGTERM", 0),
            (0, CROSSED_MAX_MS + 1, False, "SIGTERM", 1),
            (503, CROSSED_MAX_MS + 1, True, "SIGTERM", 0),
            (0, 1, True, "SIGTERM", 1),
            (0, CROSSED_MAX_MS + 1, True, "SIGKILL", 0),
            (0, CROSSED_MAX_MS + 1, True, "SIGCONT", 0),
        ],
    )
    def test_a_request_is_answered_or_its_connection_ends_at_once(
        self, tmp_path: Path, status: int, after_ms: float, has_run: bool, name: str, count: int
    ) -> None:
        history = History()
        history.record_request("q1", is_idempotent=True, node="n1")
        node = Node(1, tmp_path, {}, [])
        # A fault excuses a request for some time, the former one no longer.
        node.signals = [(-1, signal.SIGKILL), (0, signal.Signals[name])]
        if has_run:
            history.record_run(_run("q1", is_executed=False))
        sent_ms = STALE_AFTER_FREEZE_MAX_MS
        KeptJudge(history).check("q1", node, _reply(status), sent_ms, sent_ms + after_ms)
        history.record_reply("q1", _reply(status))
        history.check_final(is_planned_only=False)
        assert len(history.violations) == count

    @pytest.mark.parametrize("is_reset", [False, True])
    def test_an_end_counts_from_when_it_came_unless_it_was_a_reset(
        self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path, is_reset: bool
    ) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        node = Node(1, tmp_path, {"callers": listener.getsockname()[1]}, [])
        node.host = "127.0.0.1"
        judge = KeptJudge(History())
        judged: list[tuple[float, float]] = []
        monkeypatch.setattr(judge, "check", lambda *times, has_ended: judged.append(times[-2:]))
        operator: Any = SimpleNamespace(idle_timeout_ms=0)
        caller = KeptCaller([node], operator, judge, Random(1))
        receive = http.client.HTTPConnection.getresponse
        peers: list[socket.socket] = []
        times_ms: list[float] = []

        def respond(connection: http.client.HTTPConnection) -> http.client.HTTPResponse:
            """Answer the first request, end the connection at the second, and look for it late."""
            if not peers:
                peers.append(listener.accept()[0])
                peers[0].sendall(b"HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n")
                return receive(connection)
            times_ms.append(clock.monotonic() * 1000)
            clock.sleep(LOOKS_LATE_S)
            if is_reset:
                peers[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                peers[0].close()
            else:
                peers[0].shutdown(socket.SHUT_WR)
            times_ms.append(clock.monotonic() * 1000)
            clock.sleep(LOOKS_LATE_S)
            times_ms.append(clock.monotonic() * 1000)
            return receive(connection)

        monkeypatch.setattr(http.client.HTTPConnection, "getresponse", respond)
        caller._act()
        caller._act()
        sent_ms, ended_ms, looked_ms = times_ms
        ((judged_sent_ms, judged_ms),) = judged
        assert judged_sent_ms <= sent_ms + RESOLUTION_MS
        assert judged_ms >= sent_ms + LOOKS_LATE_S * 1000 - RESOLUTION_MS
        assert judged_ms >= looked_ms if is_reset else judged_ms <= ended_ms + RESOLUTION_MS
        listener.close()
        peers[0].close()


class TestDepartures:
    def test_an_upstream_receives_no_request_later_than_allowed_after_its_departure(
        self, time: FakeTime
    ) -> None:
        history = History()
        history.record_departure("i-1")
        time.now_ms += WORK_AFTER_LEAVING_MAX_MS
        history.record_run(_run("q1"))
        assert history.violations == []
        time.now_ms += 1
        history.record_run(_run("q2"))
        assert len(history.violations) == 1

    def test_only_a_node_that_was_frozen_may_send_requests_later_until_its_state_is_current(
        self, time: FakeTime
    ) -> None:
        history = History()
        for request_id, node in (("q1", "n1"), ("q2", "n2"), ("q3", "n1")):
            history.record_request(request_id, is_idempotent=True, node=node)
        frozen = history.record_freeze("n1")
        history.record_departure("i-1")
        time.now_ms += WORK_AFTER_LEAVING_MAX_MS + 1
        frozen.end()
        history.record_run(_run("q1"))
        assert history.violations == []
        history.record_run(_run("q2"))
        assert len(history.violations) == 1
        time.now_ms += STALE_AFTER_FREEZE_MAX_MS + 1
        history.record_departure("i-3")
        time.now_ms += WORK_AFTER_LEAVING_MAX_MS + 1
        history.record_run(Run("q3", "i-3", is_executed=True))
        assert len(history.violations) == 2


class TestManifests:
    def test_a_node_returns_no_version_older_than_the_acknowledged_one(
        self, time: FakeTime
    ) -> None:
        history = History()
        history.record_acknowledged(4, b"four")
        history.check_read(time.now_ms + MANIFEST_APPLY_MAX_MS, 3, "n1")
        assert history.violations == []
        history.check_read(time.now_ms + MANIFEST_APPLY_MAX_MS + 1, 3, "n1")
        assert len(history.violations) == 1

    def test_the_newest_acknowledged_version_is_returned(self) -> None:
        history = History()
        history.record_acknowledged(4, b"four")
        history.record_acknowledged(6, b"six")
        assert history.get_newest_acknowledged() == (6, b"six")
