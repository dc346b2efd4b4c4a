"""Attempts that wait for an upstream of one service, sent by this or another instance."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.balancer.admission import AdmissionQueue
from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.admission import rank_waiter
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import ANY_SLOT
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import SlotRequirement
from coltsfootrill.manifest.model import Kind

# Expected times are estimates, so an upstream may exceed the time left by this factor.
TARGET_SLACK_FACTOR = 1.15


class PendingAttempt:
    """An attempt that waits for an upstream until it is settled with a claim or a refusal.

    ``on_settled`` is then called with the attempt, with the admission controller's lock held.
    ``refusal`` is the reason for a refusal. ``origin`` is the instance that will send the request,
    ``None`` for this instance. ``organisation`` is the name of the caller's, "" if it has none.
    """

    __slots__ = (
        "claim",
        "exclude",
        "kind",
        "on_settled",
        "organisation",
        "origin",
        "refusal",
        "waiter",
    )

    def __init__(
        self,
        waiter: Waiter,
        kind: Kind,
        *,
        exclude: frozenset[str],
        on_settled: Callable[[PendingAttempt], None],
        origin: Origin | None = None,
        organisation: str = "",
    ) -> None:
        self.organisation = organisation
        self.waiter = waiter
        self.kind = kind
        self.exclude = exclude
        self.on_settled = on_settled
        self.origin = origin
        self.claim: Claim | None = None
        self.refusal = ""

    @property
    def is_settled(self) -> bool:
        """Return whether the attempt has a claim or was refused."""
        return self.claim is not None or bool(self.refusal)

    def settle(self, claim: Claim) -> None:
        """Grant the attempt an upstream."""
        self.claim = claim
        self.on_settled(self)

    def refuse(self, reason: str) -> None:
        """Refuse the attempt with ``reason``."""
        self.refusal = reason
        self.on_settled(self)

    def get_slot_requirement(self, now_ms: float) -> SlotRequirement:
        """Return the requirement on a slot for this attempt.

        Without a target any slot will do. Otherwise the slot must be expected to meet the target,
        or, once the attempt is late, be a spare one.
        """
        if self.kind.target_ms is None:
            return ANY_SLOT
        if self.waiter.is_late(now_ms):
            return SlotRequirement(is_spare=True)
        return SlotRequirement(within_ms=TARGET_SLACK_FACTOR * (self.waiter.target_at_ms - now_ms))


class PendingQueue:
    """Holds the pending attempts of one service in the order of its admission queue."""

    __slots__ = ("_attempt_by_order", "_queue")

    def __init__(self, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._attempt_by_order: dict[int, PendingAttempt] = {}

    def __len__(self) -> int:
        return len(self._attempt_by_order)

    def add(self, attempt: PendingAttempt, now_ms: float) -> bool:
        """Add an attempt; return ``False`` if the queue is full of more urgent ones.

        A less urgent attempt that is evicted is refused with "queue-full".
        """
        evicted = self._queue.add(attempt.waiter, now_ms=now_ms)
        if evicted is attempt.waiter:
            return False
        self._attempt_by_order[attempt.waiter.order] = attempt
        if evicted is not None:
            self._attempt_by_order.pop(evicted.order).refuse("queue-full")
        return True

    def remove(self, attempt: PendingAttempt) -> None:
        """Remove an attempt if it is still pending."""
        self._queue.remove(attempt.waiter)
        self._attempt_by_order.pop(attempt.waiter.order, None)

    def get_next(self, now_ms: float, *, is_late: bool) -> PendingAttempt | None:
        """Return the most urgent attempt that is late or on time, without removing it."""
        waiter = self._queue.get_next(now_ms, is_late=is_late)
        return None if waiter is None else self._attempt_by_order[waiter.order]

    def list_in_order(self, now_ms: float) -> list[PendingAttempt]:
        """Return the attempts, the most urgent one first."""
        attempts = self._attempt_by_order.values()
        return sorted(attempts, key=lambda attempt: rank_waiter(attempt.waiter, now_ms))

    def refuse_expired_remote(self, now_ms: float) -> None:
        """Refuse attempts of other instances that should give up.

        Threads of this instance check their own attempts while they wait.
        """
        for attempt in list(self._attempt_by_order.values()):
            if attempt.origin is not None and attempt.waiter.should_give_up(now_ms):
                self.remove(attempt)
                attempt.refuse("deadline")
