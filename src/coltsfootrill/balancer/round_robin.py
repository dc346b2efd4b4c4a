"""Round robin: the baseline that ignores load."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.hookspecs import hookimpl


def choose(candidates: Sequence[UpstreamLoad], context: ChoiceContext) -> UpstreamLoad:
    """Return the next candidate in turn."""
    return candidates[context.turn % len(candidates)]


@hookimpl
def coltsfootrill_choice_policy() -> ChoicePolicy:
    """Return the policy ``round-robin``."""
    return ChoicePolicy(name="round-robin", choose=choose)
