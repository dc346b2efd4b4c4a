from __future__ import annotations

import pytest

from testing.soak.cold import ALLOWED_COUNT
from testing.soak.cold import COLD_MS
from testing.soak.cold import HEARD_AFTER_MS
from testing.soak.cold import ColdJudge
from testing.soak.history import History
from testing.soak.history import Run
from testing.soak.judge import ManifestJudge

MANY = int(ALLOWED_COUNT) + 1


class TestColdJudge:
    @pytest.mark.parametrize(
        ("at_ms", "count", "is_disturbed", "is_violated"),
        [
            (HEARD_AFTER_MS + 100, MANY, False, True),
            (HEARD_AFTER_MS + 100, MANY - 1, False, False),
            (HEARD_AFTER_MS - 100, MANY, False, False),
            (COLD_MS + 100, MANY, False, False),
            (HEARD_AFTER_MS + 100, MANY, True, False),
        ],
    )
    def test_too_many_requests_of_nodes_in_touch_are_found(
        self, at_ms: float, count: int, is_disturbed: bool, is_violated: bool
    ) -> None:
        history = History()
        judge = ManifestJudge(history, ["n1"])
        cold_judge = ColdJudge(history, judge)
        cold_judge.record("u1")
        for number in range(count):
            history.record_request(f"q{number}", is_idempotent=True, node="n2")
            run = Run(f"q{number}", "u1", is_executed=True)
            run.arrived_ms += at_ms + number
            history.record_run(run)
        if is_disturbed:
            judge.disturb(["n2"])
        cold_judge.check_final()
        assert bool(history.violations) == is_violated
