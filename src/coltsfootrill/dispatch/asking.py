"""How an instance takes an upstream that the dispatcher of a service has chosen."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.pool import Claim
from coltsfootrill.balancer.pool import Grant
from coltsfootrill.balancer.pool import Result
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.client import DispatchClient
from coltsfootrill.dispatch.messages import Ask
from coltsfootrill.dispatch.messages import Denied
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.proxy.request import RequestTimes

# The token is set by the client that sends the question.
_NO_TOKEN = 0


class Asker:
    """Asks for attempts of one service; ``lock`` is that of the pool."""

    __slots__ = ("_client", "_clock", "_lock", "_pool")

    def __init__(
        self, client: DispatchClient, pool: ServicePool, *, lock: threading.Lock, clock: Clock
    ) -> None:
        self._client = client
        self._pool = pool
        self._lock = lock
        self._clock = clock

    def acquire(
        self,
        service: Service,
        kind: Kind,
        times: RequestTimes,
        *,
        exclude: frozenset[str],
        is_gone: Callable[[], bool],
        extra_within_ms: float | None = None,
    ) -> Claim | Denied | None:
        """Return the upstream for one attempt, counted in the pool, or why there is none.

        ``None`` says that this instance has to choose itself: work is short, or nobody replies.
        """
        with self._lock:
            latency = self._pool.get_latency(kind.id)
            if not latency.is_learnt or latency.usual_ms < self._client.work_min_ms:
                return None
            ask = make_ask(
                self._pool,
                service,
                kind,
                times,
                now_ms=self._clock.now_ms(),
                exclude=exclude,
                extra_within_ms=extra_within_ms,
            )
        answer = self._client.ask(ask, is_gone=is_gone)
        if not isinstance(answer, Grant):
            return answer
        with self._lock:
            claim = self._pool.start_at(answer.upstream_id, kind, self._clock.now_ms())
        if claim is None:
            # By what is known here it must not get new work.
            self.release(answer, "abandoned", None)
            return None
        claim.grant = answer
        return claim

    def release(self, grant: Grant, result: Result, report: LoadReport | None) -> None:
        """Tell the dispatcher how an attempt ended."""
        self._client.release(grant, result, report)


def make_ask(
    pool: ServicePool,
    service: Service,
    kind: Kind,
    times: RequestTimes,
    *,
    now_ms: float,
    exclude: frozenset[str],
    extra_within_ms: float | None = None,
) -> Ask:
    """Return the question for one attempt.

    With ``extra_within_ms`` it is an attempt beside another one; infinity sets no bound.
    """
    within_ms: int | None = None
    if extra_within_ms is not None and extra_within_ms < math.inf:
        within_ms = int(extra_within_ms)
    return Ask(
        token=_NO_TOKEN,
        service=service.id,
        kind=kind.id,
        zone=pool.origin.zone,
        target_ms=kind.target_ms,
        rank=kind.rank,
        priority=kind.priority,
        latest_ms=kind.latest_ms,
        waited_ms=int(now_ms - times.arrived_ms),
        age_ms=int(times.age_ms),
        left_ms=int(times.deadline_ms - now_ms),
        is_extra=extra_within_ms is not None,
        within_ms=within_ms,
        usual_ms=round(pool.get_latency(kind.id).usual_ms, 1),
        exclude=sorted(exclude.union(pool.list_blocked(now_ms))),
    )
