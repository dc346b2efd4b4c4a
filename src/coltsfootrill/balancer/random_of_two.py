"""The better of two random upstreams by own requests in flight."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.hookspecs import hookimpl


def choose(candidates: Sequence[UpstreamLoad], context: ChoiceContext) -> UpstreamLoad:
    """Return the one with fewer own requests in flight of two drawn at random."""
    first = context.random.choice(candidates)
    second = context.random.choice(candidates)
    return second if second.in_flight < first.in_flight else first


@hookimpl
def coltsfootrill_choice_policy() -> ChoicePolicy:
    """Return the policy ``random-of-two``."""
    return ChoicePolicy(name="random-of-two", choose=choose)
