"""The interface of a choice policy and the candidates it chooses among."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from coltsfootrill.balancer.load import UpstreamLoad


class Origin:
    """The instance that works on a request: its zone, and where it has idle connections.

    ``warm_ids`` are the upstreams it has one to; ``None`` where only this instance's own answers
    tell.
    """

    __slots__ = ("warm_ids", "zone")

    def __init__(self, zone: str, warm_ids: frozenset[str] | None = None) -> None:
        self.zone = zone
        self.warm_ids = warm_ids


class ChoiceContext:
    """What a policy may use besides the candidates.

    ``usual_ms`` is the usual latency of the kind, ``turn`` a number that grows by one with each
    choice.
    """

    __slots__ = ("now_ms", "origin", "random", "turn", "usual_ms")

    def __init__(
        self, *, now_ms: float, random: Random, origin: Origin, usual_ms: float, turn: int
    ) -> None:
        self.now_ms = now_ms
        self.random = random
        self.origin = origin
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
