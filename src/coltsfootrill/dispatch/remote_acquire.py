"""How an instance takes an upstream that the dispatcher of a service has chosen."""

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

# The token is set by the client that sends the question.
_NO_TOKEN = 0


class RemoteAcquirer:
    """Asks for attempts of one service; ``lock`` is that of the pool."""

    __slots__ = ("_client", "_clock", "_lock", "_pool")

    def __init__(
        self, client: DispatchClient, pool: ServicePool, *, lock: threading.Lock, clock: Clock
    ) -> None:
        self._client = client
        self._pool = pool
        self._lock = lock
        self._clock = clock

    def acquire(self, demand: AttemptDemand) -> Claim | Denied | None:
        """Return the upstream for one attempt, counted in the pool, or why there is none.

        ``None`` says that this instance has to choose itself: work is short, or nobody replies.
        """
        with self._lock:
            latency = self._pool.get_latency(demand.kind.id)
            if not latency.is_learnt or latency.usual_ms < self._client.work_min_ms:
                return None
            ask = make_acquire_request(self._pool, demand, now_ms=self._clock.now_ms())
        answer = self._client.ask(ask, is_gone=demand.is_gone)
        if not isinstance(answer, Grant):
            return answer
        with self._lock:
            claim = self._pool.start_at(answer.upstream_id, demand.kind, self._clock.now_ms())
        if claim is None:
            # By what is known here it must not get new work.
            self.release(answer, "abandoned", None)
            return None
        claim.grant = answer
        return claim

    def release(self, grant: Grant, result: Result, report: LoadReport | None) -> None:
        """Tell the dispatcher how an attempt ended."""
        self._client.release(grant, result, report)


def make_acquire_request(
    pool: ServicePool, demand: AttemptDemand, *, now_ms: float
) -> AcquireRequest:
    """Return the question for one attempt; an infinite time of an extra one sets no bound."""
    kind = demand.kind
    times = demand.times
    within_ms: int | None = None
    if demand.extra_within_ms is not None and demand.extra_within_ms < math.inf:
        within_ms = int(demand.extra_within_ms)
    return AcquireRequest(
        token=_NO_TOKEN,
        service=demand.service.id,
        kind=kind.id,
        zone=pool.origin.zone,
        target_ms=kind.target_ms,
        rank=kind.rank,
        priority=kind.priority,
        latest_ms=kind.latest_ms,
        waited_ms=int(now_ms - times.arrived_ms),
        age_ms=int(times.age_ms),
        left_ms=int(times.deadline_ms - now_ms),
        is_extra=demand.extra_within_ms is not None,
        within_ms=within_ms,
        usual_ms=round(pool.get_latency(kind.id).usual_ms, 1),
        exclude=sorted(demand.exclude.union(pool.list_blocked(now_ms))),
    )
