"""Choice by the load that upstreams report: for fleets in which every instance has fresh reports.

All instances read much the same reports. Taking the best upstream would send them all there until
the next report, so the choice is random, with weights that fall steeply with the expected time.
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

# Bytes between zones cost, and work there depends on one more zone: an upstream elsewhere must
# be faster by this share of the usual work.
ZONE_CROSSING_SHARE = 0.5
# A new connection takes time of the upstream.
COLD_SHARE = 0.3
ERROR_PENALTY = 3.0
SLOWNESS_NOISE = 1.5
STEEPNESS = 7
# The last free slot of an upstream is slower than the others, and one more request may come.
LAST_SLOT_PENALTY = 0.35
BUSY_PENALTY = 0.1
# Answers that took no time at all must not leave a choice without weights.
EXPECTED_MIN_MS = 0.001


def expect_ms(load: UpstreamLoad, context: ChoiceContext) -> float:
    """Return the expected time of the work alone in milliseconds."""
    slowness = max(1.0, estimate_slowness(load, context.now_ms) / SLOWNESS_NOISE)
    return context.usual_ms * max(estimate_pace(load, context.now_ms), slowness)


def weigh_ms(load: UpstreamLoad, context: ChoiceContext) -> float:
    """Return the expected time to an answer in milliseconds, penalties included."""
    now_ms = context.now_ms
    work_ms = expect_ms(load, context)
    in_flight = estimate_in_flight(load, now_ms, usual_ms=context.usual_ms)
    queued = max(0.0, in_flight + 1 - load.slots)
    last_slot = min(1.0, max(0.0, in_flight + 2 - load.slots))
    crowding = 1 + BUSY_PENALTY * in_flight / load.slots + LAST_SLOT_PENALTY * last_slot
    expected_ms = work_ms * (crowding + queued / load.slots)
    expected_ms *= 1 + ERROR_PENALTY * estimate_errors(load, now_ms)
    expected_ms /= max(0.5, get_ramp_share(load, now_ms))
    if load.zone != context.origin.zone:
        expected_ms += ZONE_CROSSING_SHARE * context.usual_ms
    if not _is_warm(load, context):
        expected_ms += COLD_SHARE * context.usual_ms
    return expected_ms


def _is_warm(load: UpstreamLoad, context: ChoiceContext) -> bool:
    warm_ids = context.origin.warm_ids
    if warm_ids is not None:
        return load.id in warm_ids
    return is_warm(load, context.now_ms)


def choose(candidates: Sequence[UpstreamLoad], context: ChoiceContext) -> UpstreamLoad:
    """Return a candidate, by chance with weights that fall with the expected time."""
    expected = [max(weigh_ms(load, context), EXPECTED_MIN_MS) for load in candidates]
    least_ms = min(expected)
    weights = [(least_ms / ms) ** STEEPNESS for ms in expected]
    return context.random.choices(candidates, weights)[0]


@hookimpl
def coltsfootrill_choice_policy() -> ChoicePolicy:
    """Return the policy ``reported-load``."""
    return ChoicePolicy(name="reported-load", choose=choose, expect=expect_ms)
