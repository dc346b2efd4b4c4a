"""Short soaks with fixed seeds; ``make soak`` runs longer ones with more seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from testing.soak.run import Soak

DURATION_S = 6.0


class TestSoak:
    @pytest.mark.parametrize(("seed", "is_planned_only"), [(1, False), (3, True)])
    def test_no_guarantee_is_violated(
        self, tmp_path: Path, seed: int, is_planned_only: bool
    ) -> None:
        soak = Soak(tmp_path, seed, is_planned_only=is_planned_only)
        assert soak.run(DURATION_S) == []
        assert soak.history.count_outcomes()["200"] > 0
        assert soak.history.faults
