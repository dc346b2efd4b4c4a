from __future__ import annotations

from coltsfootrill.clock import ManualClock
from coltsfootrill.proxy.in_progress import RequestsInProgress
from coltsfootrill.proxy.turns import Turn
from coltsfootrill.proxy.turns import TurnOrder


def _take(order: TurnOrder) -> Turn:
    turn = order.take()
    assert turn is not None
    return turn


class TestRequestsInProgress:
    def test_each_place_is_given_once_until_its_turn_ends(self, clock: ManualClock) -> None:
        requests = RequestsInProgress(2, clock)
        order = TurnOrder()
        first, second, third = (_take(order) for _ in range(3))
        assert [requests.add(turn) for turn in (first, second, third)] == [True, True, False]
        assert len(requests) == 3
        for turn in (third, first, first):
            turn.end()
        assert len(requests) == 1
        assert requests.add(_take(TurnOrder()))

    def test_the_age_is_that_of_the_oldest_which_has_not_ended(self, clock: ManualClock) -> None:
        requests = RequestsInProgress(8, clock)
        order = TurnOrder()
        assert requests.get_oldest_age_ms() == 0
        first, second = _take(order), _take(order)
        requests.add(first)
        clock.advance(70)
        requests.add(second)
        clock.advance(30)
        assert requests.get_oldest_age_ms() == 100
        first.end()
        assert requests.get_oldest_age_ms() == 30


class TestFullSince:
    # Guards against a node that refuses everything and says that it is ready.
    def test_requests_that_do_not_end_make_it_full(self, clock: ManualClock) -> None:
        requests = RequestsInProgress(2, clock)
        turns = [_take(TurnOrder()) for _ in range(2)]
        for turn in turns:
            requests.add(turn)
        clock.advance(1_000)
        assert not requests.is_full_since(1_000)
        clock.advance(1)
        with _take(TurnOrder()) as refused:
            assert not requests.add(refused)
            assert requests.is_full_since(1_000)
        turns[0].end()
        assert not requests.is_full_since(1_000)

    # Guards against nodes that all say that they are not ready because of a high load.
    def test_requests_that_end_do_not(self, clock: ManualClock) -> None:
        requests = RequestsInProgress(2, clock)
        turns = [_take(TurnOrder()) for _ in range(2)]
        for turn in turns:
            requests.add(turn)
        for _ in range(10):
            clock.advance(600)
            turns.pop(0).end()
            turns.append(_take(TurnOrder()))
            assert requests.add(turns[-1])
            assert not requests.is_full_since(1_000)
