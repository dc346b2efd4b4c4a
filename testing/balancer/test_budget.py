"""Retries of many callers at once: further attempts stay within the fleet's budget."""

from __future__ import annotations

from random import Random

from coltsfootrill.balancer.retry import WindowBudget

WINDOW_MS = 10_000.0


class TestWindowBudget:
    def test_no_span_of_the_window_holds_more_than_the_share_and_the_allowance(self) -> None:
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
            # Firsts of the window before count too, where there were more of them.
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

    def test_what_was_spent_counts_until_the_window_has_passed(self) -> None:
        budget = WindowBudget(0.0, window_ms=WINDOW_MS, allowance=1)
        assert budget.spend(0)
        assert not budget.spend(WINDOW_MS - 1)
        assert budget.spend(WINDOW_MS * 1.1)
