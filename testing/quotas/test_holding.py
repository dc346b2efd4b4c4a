from __future__ import annotations

from coltsfootrill.quotas.holding import RETRY_AFTER_MAX_MS
from coltsfootrill.quotas.holding import Holding
from coltsfootrill.quotas.messages import Denied
from coltsfootrill.quotas.messages import Granted


def _make_holding(count: int, valid_ms: float = 400.0) -> Holding:
    holding = Holding()
    holding.apply_grant(Granted(1, count, valid_ms), asked_ms=0.0, now_ms=5.0)
    return holding


class TestTokens:
    def test_each_is_taken_once(self) -> None:
        holding = _make_holding(2)
        assert holding.take(10.0) is not None
        assert holding.take(10.0) is not None
        assert holding.take(10.0) is None

    def test_they_expire_counted_from_the_question(self) -> None:
        holding = _make_holding(2)
        assert holding.take(399.0) is not None
        assert holding.take(400.0) is None

    def test_one_that_is_given_back_keeps_its_expiry(self) -> None:
        holding = _make_holding(1)
        token = holding.take(10.0)
        assert token is not None
        holding.give_back(token)
        assert holding.take(399.0) is token
        holding.give_back(token)
        assert holding.take(400.0) is None


class TestAskingAhead:
    def test_an_instance_with_few_requests_asks_for_what_it_needs(self) -> None:
        holding = _make_holding(1)
        holding.add_demand(10.0)
        assert holding.get_wanted(1, 10.0) == 1
        assert not holding.should_refill(10.0)

    def test_a_busy_instance_asks_before_it_runs_out(self) -> None:
        holding = _make_holding(3)
        for number in range(1_000):
            holding.add_demand(number * 10.0)
        assert holding.get_wanted(1, 10_000.0) > 10
        assert holding.should_refill(10_000.0)

    def test_it_stops_when_the_demand_ends(self) -> None:
        holding = _make_holding(0)
        for number in range(1_000):
            holding.add_demand(number * 10.0)
        assert not holding.should_refill(20_000.0)


class TestRefusals:
    def test_they_hold_until_the_decider_expects_a_token(self) -> None:
        holding = Holding()
        holding.apply_denial(Denied(1, 100.0, 10.0, False), 0.0)
        assert holding.is_denied(99.0)
        assert not holding.is_denied(100.0)

    def test_each_refused_caller_is_told_a_later_time(self) -> None:
        holding = Holding()
        holding.apply_denial(Denied(1, 100.0, 10.0, False), 0.0)
        assert [holding.get_retry_after_ms(40.0) for _ in range(3)] == [60.0, 70.0, 80.0]

    def test_the_time_is_bounded(self) -> None:
        holding = Holding()
        holding.apply_denial(Denied(1, 2_000.0, 2_000.0, False), 0.0)
        times_ms = [holding.get_retry_after_ms(0.0) for _ in range(10)]
        assert max(times_ms) == RETRY_AFTER_MAX_MS

    def test_a_grant_ends_them(self) -> None:
        holding = Holding()
        holding.apply_denial(Denied(1, 100.0, 10.0, False), 0.0)
        holding.apply_grant(Granted(2, 1, 400.0), asked_ms=10.0, now_ms=12.0)
        assert not holding.is_denied(12.0)
