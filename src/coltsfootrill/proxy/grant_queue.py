"""Hands upstreams of one service to requests, at once or in order of urgency.

Nothing here blocks or reads a clock. The owner holds a lock around each call and passes the time.
"""

from __future__ import annotations

import itertools
import math

from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import Room
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.manifest.model import Kind
from coltsfootrill.proxy.pending import TARGET_SLACK_FACTOR
from coltsfootrill.proxy.pending import PendingAttempt
from coltsfootrill.proxy.pending import PendingQueue
from coltsfootrill.proxy.request import RequestTimes

GRANT_INTERVAL_MS = 15.0
# A request that has missed its target waits for this share of its time, then its caller decides.
LATE_WAIT_SHARE = 0.25

_orders = itertools.count()


class GrantQueue:
    """The waiting requests of one service, and which of them gets an upstream next."""

    __slots__ = ("_granted_ms", "_pool", "pending")

    def __init__(self, pool: ServicePool) -> None:
        self._pool = pool
        self.pending = PendingQueue(pool.queue)
        self._granted_ms = float("-inf")

    def make_waiter(self, kind: Kind, times: RequestTimes) -> Waiter:
        """Return a request's place in the order of urgency."""
        target_at_ms = math.inf
        give_up_ms = math.inf
        if kind.target_ms is not None:
            target_at_ms = times.arrived_ms + kind.target_ms - times.age_ms
            give_up_ms = times.arrived_ms + LATE_WAIT_SHARE * (times.deadline_ms - times.arrived_ms)
        return Waiter(
            priority=kind.priority,
            deadline_ms=times.deadline_ms,
            urgent_at_ms=times.arrived_ms + (kind.latest_ms or 0),
            order=next(_orders),
            rank=kind.rank,
            target_at_ms=target_at_ms,
            work_ms=self._pool.get_latency(kind.id).usual_ms,
            give_up_ms=give_up_ms,
        )

    def _try_grant(self, attempt: PendingAttempt, now_ms: float) -> bool:
        """Choose an upstream for a request if there is one for it; return whether there was."""
        waiter = attempt.waiter
        is_patient = waiter.priority == "deferrable" and now_ms < waiter.urgent_at_ms
        claim = self._pool.acquire(
            attempt.kind,
            now_ms,
            exclude=attempt.exclude,
            is_patient=is_patient,
            room=attempt.get_slot_requirement(now_ms),
            origin=attempt.origin,
        )
        if claim is None:
            return False
        self._settle(attempt, claim)
        return True

    def admit_extra(self, attempt: PendingAttempt, within_ms: float, now_ms: float) -> None:
        """Settle an attempt beside another one, which does not wait."""
        claim = self.acquire_extra(
            attempt.kind, attempt.exclude, within_ms, now_ms, origin=attempt.origin
        )
        if claim is None:
            attempt.refuse("no-room")
        else:
            self._settle(attempt, claim)

    def _settle(self, attempt: PendingAttempt, claim: Claim) -> None:
        if attempt.origin is not None:
            claim.load.remote_tokens.add(claim.token)
        attempt.settle(claim)

    def admit(self, attempt: PendingAttempt, now_ms: float) -> None:
        """Settle a request at once if that can be done, else have it wait."""
        if not self.pending and self._try_grant(attempt, now_ms):
            return
        reason = self._enqueue(attempt, now_ms)
        if reason:
            attempt.refuse(reason)
            return
        self.grant_waiting_throttled(now_ms)

    def _enqueue(self, attempt: PendingAttempt, now_ms: float) -> str:
        """Have a request wait; return why it cannot, "" if it does."""
        if not self._pool.by_id:
            return "no-upstream"
        if not self._pool.can_still_answer(attempt.kind, attempt.waiter, now_ms):
            return "overloaded"
        return "" if self.pending.add(attempt, now_ms) else "queue-full"

    def acquire_extra(
        self,
        kind: Kind,
        exclude: frozenset[str],
        within_ms: float,
        now_ms: float,
        *,
        origin: Origin | None = None,
    ) -> Claim | None:
        """Return an upstream for an attempt beside another one, ``None`` when there is none.

        It is expected to answer within ``within_ms``, as far as the policy can tell.
        """
        if self.pending:
            # Requests that have no upstream yet come before second attempts.
            return None
        room = Room(within_ms=TARGET_SLACK_FACTOR * within_ms, is_spare=True)
        claim = self._pool.acquire(kind, now_ms, exclude=exclude, room=room, origin=origin)
        if claim is not None and claim.load.id in exclude:
            self._pool.end_abandoned(claim, now_ms, is_slow=False)
            return None
        return claim

    def grant_waiting(self, now_ms: float) -> None:
        """Let waiters in, the most urgent first, while there are upstreams for them."""
        # A slow upstream is no use to a request that can meet its target, but to a late one.
        for is_late in (False, True):
            while self._grant_next(now_ms, is_late=is_late):
                pass

    def grant_waiting_throttled(self, now_ms: float) -> None:
        """Let waiters in where reports, which all instances have, show room."""
        if self.pending and now_ms - self._granted_ms >= GRANT_INTERVAL_MS:
            self._granted_ms = now_ms
            self.grant_waiting(now_ms)

    def _grant_next(self, now_ms: float, *, is_late: bool) -> bool:
        attempt = self.pending.get_next(now_ms, is_late=is_late)
        if attempt is None or not self._try_grant(attempt, now_ms):
            return False
        self.pending.remove(attempt)
        return True
