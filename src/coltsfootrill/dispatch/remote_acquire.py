"""Acquires upstreams for the attempts of this instance from the dispatcher of a service."""

from __future__ import annotations

import math
import threading

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import Grant
from coltsfootrill.balancer.claim import Result
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.client import DispatchClient
from coltsfootrill.dispatch.messages import AcquireRequest
from coltsfootrill.dispatch.messages import Denied
from coltsfootrill.proxy.request import AttemptDemand

# Placeholder: ``DispatchClient`` assigns the token when it sends the request.
_UNASSIGNED_TOKEN = 0


class RemoteAcquirer:
    """Requests upstreams of one service from its dispatcher. ``lock`` guards ``pool``."""

    __slots__ = ("_client", "_clock", "_lock", "_pool")

    def __init__(
        self, client: DispatchClient, pool: ServicePool, *, lock: threading.Lock, clock: Clock
    ) -> None:
        self._client = client
        self._pool = pool
        self._lock = lock
        self._clock = clock

    def acquire(self, demand: AttemptDemand) -> Claim | Denied | None:
        """Return the claim on an upstream for one attempt, or the dispatcher's refusal.

        The claim is counted in the local pool. Returns ``None`` when this instance has to choose
        the upstream itself: no typical latency has been measured yet, the work is too short for a
        round trip, no dispatcher can be used, or the chosen upstream must not get new work
        according to the local pool. While an upstream states a rate, or many are cold, only the
        dispatcher knows how many requests they get, so the first two reasons do not apply.
        """
        with self._lock:
            latency = self._pool.get_latency(demand.kind.id)
            is_worthwhile = latency.has_samples and latency.typical_ms >= self._client.work_min_ms
            now_ms = self._clock.now_ms()
            if not is_worthwhile and not self._pool.has_rate_limits(now_ms):
                return None
            request = make_acquire_request(self._pool, demand, now_ms=now_ms)
        result = self._client.acquire(request, should_stop_waiting=demand.should_stop_waiting)
        if not isinstance(result, Grant):
            return result
        with self._lock:
            claim = self._pool.start_at(result.upstream_id, demand.kind, self._clock.now_ms())
        if claim is None:
            # The local pool does not allow new work on this upstream.
            self._client.release(result, "abandoned")
            return None
        claim.grant = result
        return claim

    def release(self, claim: Claim, result: Result, report: LoadReport | None) -> None:
        """Report the result of an attempt to the dispatcher that granted it, if one did."""
        if claim.grant is not None:
            self._client.release(claim.grant, result, report, claim.stated_per_s)


def make_acquire_request(
    pool: ServicePool, demand: AttemptDemand, *, now_ms: float
) -> AcquireRequest:
    """Return the acquire request for one attempt.

    An infinite ``second_within_ms`` is sent as no bound.
    """
    kind = demand.kind
    times = demand.times
    organisation = demand.organisation
    within_ms: int | None = None
    if demand.second_within_ms is not None and demand.second_within_ms < math.inf:
        within_ms = int(demand.second_within_ms)
    return AcquireRequest(
        token=_UNASSIGNED_TOKEN,
        service=demand.service.id,
        kind=kind.id,
        zone=pool.origin.zone,
        target_ms=kind.target_ms,
        rank=kind.rank,
        priority=kind.priority,
        latest_ms=kind.latest_ms,
        waited_ms=int(now_ms - times.arrived_ms),
        age_ms=int(times.age_ms),
        remaining_ms=int(times.deadline_ms - now_ms),
        is_second_attempt=demand.second_within_ms is not None,
        within_ms=within_ms,
        typical_ms=round(pool.get_latency(kind.id).typical_ms, 1),
        exclude=sorted(demand.exclude.union(pool.list_blocked(now_ms))),
        organisation="" if organisation is None else organisation.name,
        organisation_rank=None if organisation is None else organisation.rank,
    )
