"""Choice by the load that upstreams report, for fleets whose instances all have fresh reports.

All instances have nearly the same reports. If each chose the best upstream, all requests would go
there until the next report. The choice is therefore random, with weights that decrease steeply
with the expected time.
"""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_errors
from coltsfootrill.balancer.load import estimate_in_flight
from coltsfootrill.balancer.load import estimate_pace
from coltsfootrill.balancer.load import estimate_slowness
from coltsfootrill.balancer.load import get_ramp_share
from coltsfootrill.balancer.load import is_warm
from coltsfootrill.hookspecs import hookimpl

# Traffic between zones has a cost, and a request to another zone depends on one zone more. An
# upstream there must be faster by this share of the typical latency.
ZONE_CROSSING_SHARE = 0.5
# Penalty for an upstream without an idle connection: opening one takes time there.
NEW_CONNECTION_SHARE = 0.3
ERROR_PENALTY = 3.0
SLOWNESS_NOISE = 1.5
STEEPNESS = 7
# The last free slot of an upstream is slower than the others, and another instance may be
# sending a request there.
LAST_SLOT_PENALTY = 0.35
BUSY_PENALTY = 0.1
# Lower bound that keeps the weights defined when answers took no measurable time.
EXPECTED_MIN_MS = 0.001


def expect_ms(load: UpstreamLoad, context: ChoiceContext) -> float:
    """Return the expected latency in milliseconds without queueing and penalties."""
    slowness = max(1.0, estimate_slowness(load, context.now_ms) / SLOWNESS_NOISE)
    return context.typical_ms * max(estimate_pace(load, context.now_ms), slowness)


def estimate_cost_ms(load: UpstreamLoad, context: ChoiceContext) -> float:
    """Return the expected time to an answer in milliseconds, penalties included."""
    now_ms = context.now_ms
    work_ms = expect_ms(load, context)
    in_flight = estimate_in_flight(load, now_ms, typical_ms=context.typical_ms)
    queued = max(0.0, in_flight + 1 - load.slots)
    last_slot = min(1.0, max(0.0, in_flight + 2 - load.slots))
    busy_factor = 1 + BUSY_PENALTY * in_flight / load.slots + LAST_SLOT_PENALTY * last_slot
    expected_ms = work_ms * (busy_factor + queued / load.slots)
    expected_ms *= 1 + ERROR_PENALTY * estimate_errors(load, now_ms)
    expected_ms /= max(0.5, get_ramp_share(load, now_ms))
    if load.zone != context.origin.zone:
        expected_ms += ZONE_CROSSING_SHARE * context.typical_ms
    if not _is_warm(load, context):
        expected_ms += NEW_CONNECTION_SHARE * context.typical_ms
    return expected_ms


def _is_warm(load: UpstreamLoad, context: ChoiceContext) -> bool:
    warm_ids = context.origin.warm_ids
    if warm_ids is not None:
        return load.id in warm_ids
    return is_warm(load, context.now_ms)


def choose(candidates: Sequence[UpstreamLoad], context: ChoiceContext) -> UpstreamLoad:
    """Return a random candidate; its weight decreases with its expected time."""
    return _choose_weighted(candidates, _list_costs_ms(candidates, context), context)


def choose_near(near: Sequence[UpstreamLoad], context: ChoiceContext) -> UpstreamLoad | None:
    """Return one of the upstreams in the origin's zone as ``choose`` does, or ``None``.

    With ``None``, each of them costs more than an idle upstream in another zone. In a large fleet
    most requests thus neither leave their zone nor need a comparison with all upstreams.
    """
    costs_ms = _list_costs_ms(near, context)
    if min(costs_ms) > (1 + ZONE_CROSSING_SHARE) * context.typical_ms:
        return None
    return _choose_weighted(near, costs_ms, context)


def _list_costs_ms(loads: Sequence[UpstreamLoad], context: ChoiceContext) -> list[float]:
    return [max(estimate_cost_ms(load, context), EXPECTED_MIN_MS) for load in loads]


def _choose_weighted(
    loads: Sequence[UpstreamLoad], costs_ms: Sequence[float], context: ChoiceContext
) -> UpstreamLoad:
    least_ms = min(costs_ms)
    weights = [(least_ms / ms) ** STEEPNESS for ms in costs_ms]
    return context.random.choices(loads, weights)[0]


@hookimpl
def coltsfootrill_choice_policy() -> ChoicePolicy:
    """Return the policy ``reported-load``."""
    return ChoicePolicy(
        name="reported-load", choose=choose, expect=expect_ms, choose_near=choose_near
    )
