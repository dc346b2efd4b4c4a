"""Violates each guarantee on manifests once, to verify that the judge reports it."""

from __future__ import annotations

import pytest

from testing.soak.conftest import FakeTime
from testing.soak.evacuations import ZoneJudge
from testing.soak.history import MANIFEST_APPLY_MAX_MS
from testing.soak.history import STALE_AFTER_FREEZE_MAX_MS
from testing.soak.history import History
from testing.soak.history import Run
from testing.soak.judge import NO_ROUTE
from testing.soak.judge import REGRESS_MAX_MS
from testing.soak.judge import ROUTES_KEPT_COUNT
from testing.soak.judge import ManifestJudge
from testing.soak.judge import Probe

SERVED = 200


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


class TestEvacuations:
    def test_nothing_reaches_a_zone_later_than_allowed_until_it_is_restored(
        self, judged: Judged, time: FakeTime
    ) -> None:
        zones = ZoneJudge(judged.history, judged.judge)

        def is_violated(upstream_id: str = "i-desk-1") -> bool:
            count = len(judged.history.violations)
            zones.check(Run("q1", upstream_id, is_executed=False), "n")
            return len(judged.history.violations) > count

        zones.record_evacuated("z2")
        time.now_ms += MANIFEST_APPLY_MAX_MS
        assert not is_violated()
        time.now_ms += 1
        assert is_violated()
        assert not is_violated("i-desk-2")
        judged.judge.disturb(["n"])
        assert not is_violated()
        zones.record_restoring("z2")
        assert not is_violated()
