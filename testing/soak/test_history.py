"""Violates each guarantee once, to verify that the soak's checks report violations."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from testing.nodes import Node
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
