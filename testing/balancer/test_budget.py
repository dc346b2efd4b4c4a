"""Retry budgets over a sliding window: extra attempts stay within the fleet's budget."""

from __future__ import annotations

from random import Random

from coltsfootrill.balancer.retry import BUDGET_USE
from coltsfootrill.balancer.retry import WindowBudget
from coltsfootrill.balancer.retry import share_allowance

WINDOW_MS = 10_000.0
INSTANCES = 17
ALLOWANCE = 64
SHARE = 0.2


class TestWindowBudget:
    def test_no_window_holds_more_extra_attempts_than_share_and_allowance(self) -> None:
        budget = WindowBudget(0.2, window_ms=WINDOW_MS, allowance=4)
        random = Random(7)
        firsts: list[float] = []
        extras: list[float] = []
        now_ms = 0.0
        for _ in range(8_000):
            now_ms += random.expovariate(1 / 10)
            if random.random() < 0.5:
                budget.earn(now_ms)
                firsts.append(now_ms)
            elif budget.spend(now_ms):
                extras.append(now_ms)
        assert len(extras) > 500
        for end_ms in extras:
            spent = sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in extras)
            # First attempts of the window before count too, if there were more of them.
            earned = max(
                sum(end_ms - back_ms - WINDOW_MS < at_ms <= end_ms - back_ms for at_ms in firsts)
                for back_ms in (0, WINDOW_MS / 2, WINDOW_MS)
            )
            assert spent <= 0.2 * earned + 4

    def test_without_an_allowance_nothing_is_spent_before_it_is_earned(self) -> None:
        budget = WindowBudget(0.2, window_ms=WINDOW_MS, allowance=0)
        for _ in range(4):
            budget.earn(0)
        assert not budget.spend(0)
        budget.earn(0)
        assert budget.spend(0)
        assert not budget.spend(0)

    def test_a_spent_attempt_counts_until_the_window_has_passed(self) -> None:
        budget = WindowBudget(0.0, window_ms=WINDOW_MS, allowance=1)
        assert budget.spend(0)
        assert not budget.spend(WINDOW_MS - 1)
        assert budget.spend(WINDOW_MS * 1.1)


class TestFleet:
    def test_the_fleet_stays_within_its_budget_while_half_of_all_requests_are_refused(self) -> None:
        # Ten instances are killed and restarted in mid-window, and one request in fifty is counted
        # by an instance but not by the upstreams.
        random = Random(11)
        started_ms = dict.fromkeys(range(INSTANCES), -WINDOW_MS)
        budgets = {number: _make_budget() for number in range(INSTANCES)}
        firsts: list[float] = []
        extras: list[float] = []
        now_ms = 0.0
        while now_ms < 25_000:
            now_ms += random.expovariate(1 / 5)
            if now_ms > 9_000 and max(started_ms.values()) < 0:
                for number in range(10):
                    started_ms[number] = now_ms
                    budgets[number] = _make_budget()
            number = random.randrange(INSTANCES)
            budget = budgets[number]
            budget.allowance = share_allowance(
                ALLOWANCE,
                instances=INSTANCES,
                running_ms=now_ms - started_ms[number],
                window_ms=WINDOW_MS,
            )
            budget.earn(now_ms)
            if random.random() > 0.02:
                firsts.append(now_ms)
            if random.random() < 0.55 and budget.spend(now_ms):
                extras.append(now_ms)
        for end_ms in extras:
            if end_ms < WINDOW_MS:
                continue
            spent = sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in extras)
            earned = sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in firsts)
            assert spent <= SHARE * earned + ALLOWANCE

    def test_an_instance_has_no_allowance_after_its_start_or_without_known_instances(self) -> None:
        for instances, running_ms in [(None, 60_000.0), (0, 60_000.0), (17, 9_999.0)]:
            part = share_allowance(
                ALLOWANCE, instances=instances, running_ms=running_ms, window_ms=WINDOW_MS
            )
            assert part == 0


def _make_budget() -> WindowBudget:
    return WindowBudget(BUDGET_USE * SHARE, window_ms=WINDOW_MS, allowance=0)
