from __future__ import annotations

from coltsfootrill.proxy.in_progress import RequestsInProgress
from coltsfootrill.proxy.turns import Turn
from coltsfootrill.proxy.turns import TurnOrder


def _take(order: TurnOrder) -> Turn:
    turn = order.take()
    assert turn is not None
    return turn


class TestRequestsInProgress:
    def test_each_place_is_given_once_until_its_turn_ends(self) -> None:
        requests = RequestsInProgress(2)
        order = TurnOrder()
        first, second, third = (_take(order) for _ in range(3))
        assert [requests.add(turn) for turn in (first, second, third)] == [True, True, False]
        assert len(requests) == 3
        for turn in (third, first, first):
            turn.end()
        assert len(requests) == 1
        assert requests.add(_take(TurnOrder()))
