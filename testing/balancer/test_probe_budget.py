from __future__ import annotations

from random import Random

import pytest

from coltsfootrill.balancer.probe_budget import ProbeBudget
from coltsfootrill.balancer.probe_budget import get_divisor


class TestProbeBudget:
    @pytest.mark.parametrize("restart_every_ms", [None, 700])
    def test_the_fleet_stays_within_the_budget(self, restart_every_ms: int | None) -> None:
        instances = 20
        rate_per_ms = 0.5 / 1000
        divisor = get_divisor(
            count=instances, stable_for_ms=0, is_isolated=False, fleet_max_count=22
        )
        assert divisor == 22
        budgets = [ProbeBudget(Random(n)) for n in range(instances)]
        probes = []
        for now_ms in range(0, 200_000, 50):
            for number in range(instances):
                if restart_every_ms and (now_ms + 50 * number) % restart_every_ms == 0:
                    budgets[number] = ProbeBudget(Random(now_ms + number))
                budget = budgets[number]
                budget.earn("u", rate_per_ms=rate_per_ms / divisor, now_ms=now_ms)
                if budget.spend("u"):
                    probes.append(now_ms)
        window_ms = int(divisor / rate_per_ms)
        for start_ms in range(0, 200_000, 1_000):
            count = sum(start_ms <= at_ms < start_ms + window_ms for at_ms in probes)
            assert count <= rate_per_ms * window_ms

    def test_probes_do_not_accumulate_while_none_is_needed(self) -> None:
        budget = ProbeBudget(Random(1))
        budget.earn("u", rate_per_ms=1, now_ms=0)
        budget.earn("u", rate_per_ms=1, now_ms=1_000)
        budget.drop("u")
        budget.earn("u", rate_per_ms=1, now_ms=2_000)
        assert not budget.spend("u")

    def test_an_isolated_instance_does_not_probe(self) -> None:
        divisor = get_divisor(count=9, stable_for_ms=1e9, is_isolated=True, fleet_max_count=22)
        assert divisor is None
