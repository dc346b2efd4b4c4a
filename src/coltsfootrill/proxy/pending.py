"""Requests that wait for an upstream of one service, here or at another instance."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.balancer.admission import AdmissionQueue
from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import ANY_ROOM
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.claim import Room
from coltsfootrill.manifest.model import Kind

# Expected times are not exact: somewhat more than the time left may still do.
TARGET_SLACK_FACTOR = 1.15


class PendingAttempt:
    """A waiting request. ``on_settled`` is called with it once it has a claim or a refusal.

    ``refusal`` is the reason why there will be no claim. ``origin`` is the instance that will send
    the request, ``None`` for this one. ``on_settled`` is called with the lock of the gate held.
    """

    __slots__ = ("claim", "exclude", "kind", "on_settled", "origin", "refusal", "waiter")

    def __init__(
        self,
        waiter: Waiter,
        kind: Kind,
        *,
        exclude: frozenset[str],
        on_settled: Callable[[PendingAttempt], None],
        origin: Origin | None = None,
    ) -> None:
        self.waiter = waiter
        self.kind = kind
        self.exclude = exclude
        self.on_settled = on_settled
        self.origin = origin
        self.claim: Claim | None = None
        self.refusal = ""

    @property
    def is_settled(self) -> bool:
        """Return whether the request has a claim or was refused."""
        return self.claim is not None or bool(self.refusal)

    def settle(self, claim: Claim) -> None:
        """Hand the request an upstream."""
        self.claim = claim
        self.on_settled(self)

    def refuse(self, reason: str) -> None:
        """Tell that there will be no upstream."""
        self.refusal = reason
        self.on_settled(self)

    def get_slot_requirement(self, now_ms: float) -> Room:
        """Return where the request may go."""
        if self.kind.target_ms is None:
            return ANY_ROOM
        if self.waiter.is_late(now_ms):
            return Room(is_spare=True)
        return Room(within_ms=TARGET_SLACK_FACTOR * (self.waiter.target_at_ms - now_ms))


class PendingQueue:
    """The waiting requests of one service, in the order of its admission queue."""

    __slots__ = ("_queue", "_attempt_by_order")

    def __init__(self, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._attempt_by_order: dict[int, PendingAttempt] = {}

    def __len__(self) -> int:
        return len(self._attempt_by_order)

    def add(self, attempt: PendingAttempt, now_ms: float) -> bool:
        """Add a request; return whether there is a place for it.

        A less urgent one that gives up its place is refused.
        """
        evicted = self._queue.add(attempt.waiter, now_ms=now_ms)
        if evicted is attempt.waiter:
            return False
        self._attempt_by_order[attempt.waiter.order] = attempt
        if evicted is not None:
            self._attempt_by_order.pop(evicted.order).refuse("queue-full")
        return True

    def remove(self, attempt: PendingAttempt) -> None:
        """Remove a request, if it still waits."""
        self._queue.remove(attempt.waiter)
        self._attempt_by_order.pop(attempt.waiter.order, None)

    def get_next(self, now_ms: float, *, is_late: bool) -> PendingAttempt | None:
        """Return the most urgent request among those late or on time, without removing it."""
        waiter = self._queue.get_next(now_ms, is_late=is_late)
        return None if waiter is None else self._attempt_by_order[waiter.order]

    def refuse_expired_remote(self, now_ms: float) -> None:
        """Refuse requests of other instances that wait in vain; own ones have threads for it."""
        for attempt in list(self._attempt_by_order.values()):
            if attempt.origin is not None and attempt.waiter.is_hopeless(now_ms):
                self.remove(attempt)
                attempt.refuse("deadline")
