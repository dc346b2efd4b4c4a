"""The interface of a choice policy: its functions and the context they get."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from coltsfootrill.balancer.load import UpstreamLoad


class Origin:
    """The instance that sends a request: its zone and its idle connections.

    ``warm_ids`` holds the upstreams to which it has an idle connection. With ``None`` this is
    estimated from the times of the answers that this instance received.
    """

    __slots__ = ("warm_ids", "zone")

    def __init__(self, zone: str, warm_ids: frozenset[str] | None = None) -> None:
        self.zone = zone
        self.warm_ids = warm_ids


class ChoiceContext:
    """What a policy may use besides the candidates.

    ``typical_ms`` is the typical latency of the kind. ``turn`` is a sequence number that increases
    with each choice.
    """

    __slots__ = ("now_ms", "origin", "random", "turn", "typical_ms")

    def __init__(
        self, *, now_ms: float, random: Random, origin: Origin, typical_ms: float, turn: int
    ) -> None:
        self.now_ms = now_ms
        self.random = random
        self.origin = origin
        self.typical_ms = typical_ms
        self.turn = turn


Expect = Callable[[UpstreamLoad, ChoiceContext], float]
Choose = Callable[[Sequence[UpstreamLoad], ChoiceContext], UpstreamLoad]
ChooseNear = Callable[[Sequence[UpstreamLoad], ChoiceContext], UpstreamLoad | None]


class ChoicePolicy:
    """A named choice function; it gets at least one candidate and returns one of them.

    ``expect`` returns the expected time to an answer in milliseconds. If it is set, requests of
    kinds with a target are sent only to upstreams that are not known to be saturated and that are
    expected to answer within the target. ``choose_near`` gets the upstreams in the zone of the
    origin, if they are many; it returns ``None`` if one in another zone may be faster.
    """

    __slots__ = ("choose", "choose_near", "expect", "name")

    def __init__(
        self,
        *,
        name: str,
        choose: Choose,
        expect: Expect | None = None,
        choose_near: ChooseNear | None = None,
    ) -> None:
        self.name = name
        self.choose = choose
        self.expect = expect
        self.choose_near = choose_near
