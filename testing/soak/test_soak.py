"""Short soaks with fixed seeds; ``make soak`` runs longer ones with more seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from testing.soak.linked_node import FAULT_BY_NAME
from testing.soak.run import Soak

DURATION_S = 6.0
FAULTY_DURATION_MAX_S = 60.0


class TestSoak:
    @pytest.mark.parametrize(("seed", "is_planned_only"), [(1, False), (3, True)])
    def test_no_guarantee_is_violated(
        self, tmp_path: Path, seed: int, is_planned_only: bool
    ) -> None:
        soak = Soak(tmp_path, seed, is_planned_only=is_planned_only)
        assert soak.run(DURATION_S) == []
        assert soak.history.count_outcomes()["200"] > 0
        assert soak.history.faults
        assert soak.judge.acknowledged_count > 0
        assert soak.zones.acknowledged_count > 0

    # Guards against a soak that overlooks a change which is not in force in time.
    @pytest.mark.parametrize("fault", sorted(FAULT_BY_NAME))
    def test_a_fault_put_in_on_purpose_is_found(self, tmp_path: Path, fault: str) -> None:
        soak = Soak(tmp_path, 3, is_planned_only=True, fault=fault)
        soak.run(FAULTY_DURATION_MAX_S, ends_once_late=True)
        assert soak.kept_judge.lost_count if fault == "drops-at-idle" else soak.late_count
