"""Violates each guarantee on manifests once, to verify that the judge reports it."""

from __future__ import annotations

import pytest

from testing.soak import history as history_module
from testing.soak import judge as judge_module
from testing.soak.history import MANIFEST_APPLY_MAX_MS
from testing.soak.history import STALE_AFTER_FREEZE_MAX_MS
from testing.soak.history import History
from testing.soak.judge import NO_ROUTE
from testing.soak.judge import REGRESS_MAX_MS
from testing.soak.judge import ROUTES_KEPT_COUNT
from testing.soak.judge import ManifestJudge
from testing.soak.judge import Probe
from testing.soak.test_history import FakeTime

SERVED = 200


@pytest.fixture
def time(monkeypatch: pytest.MonkeyPatch) -> FakeTime:
    fake_time = FakeTime()
    for module in (judge_module, history_module):
        monkeypatch.setattr(module, "now_ms", fake_time)
    return fake_time


class Judged:
    """A judge for the voter ``v`` and the node ``n``, with change 1 acknowledged."""

    def __init__(self, time: FakeTime) -> None:
        self._time = time
        self.history = History()
        self.judge = ManifestJudge(self.history, ["v"])
        self.judge.record_acknowledged(1)

    def probe(self, status: int, *, change: int = 1, host: str = "n", pid: int = 1) -> bool:
        """Check an answer to a request sent now; return whether that is a violation."""
        count = len(self.history.violations)
        self.judge.check(Probe(host, pid, change, sent_ms=self._time.now_ms, status=status))
        return len(self.history.violations) > count


@pytest.fixture
def judged(time: FakeTime) -> Judged:
    return Judged(time)


class TestChangesInForce:
    def test_an_added_route_is_missing_no_longer_than_allowed(
        self, judged: Judged, time: FakeTime
    ) -> None:
        time.now_ms += MANIFEST_APPLY_MAX_MS
        assert not judged.probe(NO_ROUTE)
        time.now_ms += 1
        assert judged.probe(NO_ROUTE)
        assert not judged.probe(503)

    def test_a_dropped_route_is_served_no_longer_than_allowed(
        self, judged: Judged, time: FakeTime
    ) -> None:
        for change in range(2, ROUTES_KEPT_COUNT + 2):
            judged.judge.record_acknowledged(change)
        time.now_ms += MANIFEST_APPLY_MAX_MS
        assert not judged.probe(SERVED)
        time.now_ms += 1
        assert judged.probe(SERVED)
        assert not judged.probe(NO_ROUTE)

    def test_a_process_answers_by_no_older_manifest_than_before(
        self, judged: Judged, time: FakeTime
    ) -> None:
        judged.judge.record_acknowledged(2)
        assert not judged.probe(SERVED, change=2)
        time.now_ms += REGRESS_MAX_MS
        assert not judged.probe(NO_ROUTE)
        time.now_ms += 1
        assert not judged.probe(NO_ROUTE, pid=2)
        assert judged.probe(NO_ROUTE)


class TestInTouch:
    def test_a_disturbed_node_has_time_to_hear_of_changes(
        self, judged: Judged, time: FakeTime
    ) -> None:
        disturbance = judged.judge.disturb(["n"])
        time.now_ms += MANIFEST_APPLY_MAX_MS + 1
        assert not judged.probe(NO_ROUTE)
        assert judged.probe(NO_ROUTE, host="other")
        disturbance.end()
        time.now_ms += STALE_AFTER_FREEZE_MAX_MS
        assert not judged.probe(NO_ROUTE)
        time.now_ms += 1
        assert judged.probe(NO_ROUTE)

    def test_a_disturbed_voter_gives_all_nodes_time(self, judged: Judged, time: FakeTime) -> None:
        disturbance = judged.judge.disturb(["v"])
        time.now_ms += MANIFEST_APPLY_MAX_MS + 1
        assert not judged.probe(NO_ROUTE)
        assert judged.judge.judged_count == 0
        disturbance.end()
        time.now_ms += STALE_AFTER_FREEZE_MAX_MS + 1
        assert judged.probe(NO_ROUTE)
