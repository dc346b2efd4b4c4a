"""Power of two choices: the upstream with fewer own requests in flight of two random ones."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.hookspecs import hookimpl


def choose(candidates: Sequence[UpstreamLoad], context: ChoiceContext) -> UpstreamLoad:
    """Draw two candidates at random and return the one with fewer own requests in flight."""
    first = context.random.choice(candidates)
    second = context.random.choice(candidates)
    return second if second.in_flight < first.in_flight else first


@hookimpl
def coltsfootrill_choice_policy() -> ChoicePolicy:
    """Return the policy ``random-of-two``."""
    return ChoicePolicy(name="random-of-two", choose=choose)
