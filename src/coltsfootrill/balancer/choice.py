"""The interface of a choice policy and the candidates it chooses among."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from coltsfootrill.balancer.load import UpstreamLoad


class ChoiceContext:
    """What a policy may use besides the candidates.

    ``zone`` is the instance's own availability zone, ``usual_ms`` the usual latency of the kind,
    ``turn`` a number that grows by one with each choice.
    """

    __slots__ = ("now_ms", "random", "turn", "usual_ms", "zone")

    def __init__(
        self, *, now_ms: float, random: Random, zone: str, usual_ms: float, turn: int
    ) -> None:
        self.now_ms = now_ms
        self.random = random
        self.zone = zone
        self.usual_ms = usual_ms
        self.turn = turn


Expect = Callable[[UpstreamLoad, ChoiceContext], float]
Choose = Callable[[Sequence[UpstreamLoad], ChoiceContext], UpstreamLoad]


class ChoicePolicy:
    """A named choice function; it gets at least one candidate and returns one of them.

    ``expect`` returns the expected time to an answer in milliseconds. With it, upstreams that
    are known to be full get nothing, and requests go only where they can meet their target.
    """

    __slots__ = ("choose", "expect", "name")

    def __init__(self, *, name: str, choose: Choose, expect: Expect | None = None) -> None:
        self.name = name
        self.choose = choose
        self.expect = expect
