"""Grants upstreams of one service to attempts, at once or in order of urgency.

Nothing here blocks or reads a clock. The caller holds a lock during each call and passes the time.
"""

from __future__ import annotations

import itertools
import math

from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import SlotRequirement
from coltsfootrill.balancer.demand import ServiceDemand
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.proxy.pending import TARGET_SLACK_FACTOR
from coltsfootrill.proxy.pending import PendingAttempt
from coltsfootrill.proxy.pending import PendingQueue
from coltsfootrill.proxy.request import RequestTimes

GRANT_INTERVAL_MS = 15.0
# A request that has missed its target waits for at most this share of its timeout. It is then
# refused, so that the caller can decide what to do.
LATE_WAIT_SHARE = 0.25
# A caller that comes back sooner than any refusal asked for has not waited, so it goes before none.
RETURN_MIN_MS = 200.0

_orders = itertools.count()


class GrantQueue:
    """Holds the pending attempts of one service and grants them upstreams."""

    __slots__ = ("_demand", "_granted_ms", "_pool", "pending")

    def __init__(self, pool: ServicePool) -> None:
        self._pool = pool
        self._demand = ServiceDemand()
        self.pending = PendingQueue(pool.queue)
        self._granted_ms = float("-inf")

    def make_waiter(
        self, kind: Kind, times: RequestTimes, organisation: Organisation | None, now_ms: float
    ) -> Waiter:
        """Return the entry that orders an attempt of an organisation in the admission queue."""
        name = _get_name(organisation)
        self._demand.record_asked(name, kind, now_ms)
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
            work_ms=self._pool.get_latency(kind.id).typical_ms,
            give_up_ms=give_up_ms,
            organisation_rank=None if organisation is None else organisation.rank,
            is_starved=self._demand.is_starved(name, kind, now_ms),
            is_above_usual=self._demand.is_above_usual(name, now_ms),
            is_returning=times.age_ms >= RETURN_MIN_MS,
        )

    def _try_grant(self, attempt: PendingAttempt, now_ms: float) -> bool:
        """Settle an attempt with a claim if an upstream fits; return whether one did."""
        waiter = attempt.waiter
        needs_free_slot = waiter.priority == "deferrable" and now_ms < waiter.urgent_at_ms
        claim = self._pool.acquire(
            attempt.kind,
            now_ms,
            exclude=attempt.exclude,
            needs_free_slot=needs_free_slot,
            requirement=attempt.get_slot_requirement(now_ms),
            origin=attempt.origin,
        )
        if claim is None:
            return False
        self._demand.record_served(attempt.organisation, attempt.kind, now_ms)
        self._settle(attempt, claim)
        return True

    def admit_second(self, attempt: PendingAttempt, within_ms: float, now_ms: float) -> None:
        """Grant or refuse a second attempt at once; second attempts do not wait."""
        claim = self.acquire_second(
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
        """Grant an attempt an upstream at once if possible, otherwise enqueue or refuse it."""
        if not self.pending and self._try_grant(attempt, now_ms):
            return
        reason = self._find_refusal(attempt, now_ms)
        if not reason and not self.pending.add(attempt, now_ms):
            reason = "queue-full"
        if reason:
            attempt.refuse(reason)
            return
        self.grant_waiting_throttled(now_ms)

    def refuse_unserved(self, now_ms: float) -> None:
        """Refuse at once the attempts that the upstreams left after an evacuation can't serve.

        The most urgent ones stay.
        """
        self.grant_waiting(now_ms)
        for attempt in self.pending.list_in_order(now_ms):
            reason = self._find_refusal(attempt, now_ms)
            if reason:
                self.pending.remove(attempt)
                attempt.refuse(reason)

    def _find_refusal(self, attempt: PendingAttempt, now_ms: float) -> str:
        """Return the reason for refusing an attempt instead of holding it, "" if there is none."""
        if not self._pool.by_id:
            return "zone-evacuated" if self._pool.is_evacuated else "no-upstream"
        typical_ms = self._pool.get_latency(attempt.kind.id).typical_ms
        latest_ms = attempt.waiter.deadline_ms - typical_ms
        if attempt.origin is None and self._pool.get_declined_until_ms() > latest_ms:
            return "declined"
        if not self._pool.can_still_answer(attempt.kind, attempt.waiter, now_ms):
            return "overloaded"
        return ""

    def acquire_second(
        self,
        kind: Kind,
        exclude: frozenset[str],
        within_ms: float,
        now_ms: float,
        *,
        origin: Origin | None = None,
    ) -> Claim | None:
        """Return an upstream for a second attempt, ``None`` if there is none.

        The policy expects it to answer within ``within_ms``.
        """
        if self.pending:
            # Requests that have no upstream yet take precedence over second attempts.
            return None
        requirement = SlotRequirement(within_ms=TARGET_SLACK_FACTOR * within_ms, is_spare=True)
        claim = self._pool.acquire(
            kind, now_ms, exclude=exclude, requirement=requirement, origin=origin
        )
        if claim is not None and claim.load.id in exclude:
            self._pool.end_abandoned(claim, now_ms, is_slow=False)
            return None
        return claim

    def grant_waiting(self, now_ms: float) -> None:
        """Grant upstreams to pending attempts, the most urgent first, while upstreams fit."""
        # A slow upstream would make a request that is on time miss its target, but it can still
        # serve a late one.
        for is_late in (False, True):
            while self._grant_next(now_ms, is_late=is_late):
                pass

    def grant_waiting_throttled(self, now_ms: float) -> None:
        """Grant upstreams where load reports, which all instances receive, show free slots.

        Runs at most once every ``GRANT_INTERVAL_MS``.
        """
        if self.pending and now_ms - self._granted_ms >= GRANT_INTERVAL_MS:
            self._granted_ms = now_ms
            self.grant_waiting(now_ms)

    def _grant_next(self, now_ms: float, *, is_late: bool) -> bool:
        attempt = self.pending.get_next(now_ms, is_late=is_late)
        if attempt is None or not self._try_grant(attempt, now_ms):
            return False
        self.pending.remove(attempt)
        return True


def _get_name(organisation: Organisation | None) -> str:
    return "" if organisation is None else organisation.name
