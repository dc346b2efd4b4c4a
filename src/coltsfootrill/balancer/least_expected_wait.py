"""The default policy: the least expected wait in a random sample of upstreams.

All instances have nearly the same reports. If each chose the best of all upstreams they would all
choose the same one; random samples make their choices differ.
"""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.load import estimate_errors
from coltsfootrill.balancer.load import estimate_in_flight
from coltsfootrill.balancer.load import estimate_slowness
from coltsfootrill.balancer.load import get_ramp_share
from coltsfootrill.hookspecs import hookimpl

NEAR_SAMPLE_COUNT = 3
FAR_SAMPLE_COUNT = 2
ZONE_CROSSING_MS = 3.0
ERROR_PENALTY = 2.0
SLOWNESS_NOISE = 1.5


def expect_wait_ms(load: UpstreamLoad, context: ChoiceContext) -> float:
    """Return the expected time to an answer in milliseconds, penalties included."""
    now_ms = context.now_ms
    # Small differences in slowness are noise; acting on them would saturate one upstream.
    work_ms = context.typical_ms * max(1.0, estimate_slowness(load, now_ms) / SLOWNESS_NOISE)
    in_flight = estimate_in_flight(load, now_ms, typical_ms=context.typical_ms)
    queued = max(0.0, in_flight + 1 - load.slots)
    # With a slot free an upstream is hardly slower when busy; the small term spreads the load.
    busy_share = in_flight / load.slots
    wait_ms = work_ms * (1 + queued / load.slots + 0.2 * busy_share)
    wait_ms *= 1 + ERROR_PENALTY * estimate_errors(load, now_ms)
    wait_ms /= get_ramp_share(load, now_ms)
    if load.zone != context.origin.zone:
        wait_ms += ZONE_CROSSING_MS
    return wait_ms


def choose(candidates: Sequence[UpstreamLoad], context: ChoiceContext) -> UpstreamLoad:
    """Return the candidate with the least expected wait in a sample of both near and far zones."""
    near = [load for load in candidates if load.zone == context.origin.zone]
    far = [load for load in candidates if load.zone != context.origin.zone]
    sample = _draw(near, NEAR_SAMPLE_COUNT, context) + _draw(far, FAR_SAMPLE_COUNT, context)
    return min(sample, key=lambda load: expect_wait_ms(load, context))


def _draw(loads: list[UpstreamLoad], count: int, context: ChoiceContext) -> list[UpstreamLoad]:
    if len(loads) <= count:
        return context.random.sample(loads, len(loads))
    return context.random.sample(loads, count)


@hookimpl
def coltsfootrill_choice_policy() -> ChoicePolicy:
    """Return the policy ``least-expected-wait``."""
    return ChoicePolicy(name="least-expected-wait", choose=choose)
