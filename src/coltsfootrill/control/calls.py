"""Calls of a proposer to the acceptors of the replica sets, and the collection of their replies."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from concurrent.futures import FIRST_COMPLETED
from concurrent.futures import Executor
from concurrent.futures import Future
from concurrent.futures import wait

from absl import logging

from coltsfootrill.clock import Clock
from coltsfootrill.control.messages import Accept
from coltsfootrill.control.messages import Accepted
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Inspection
from coltsfootrill.control.messages import Prepare
from coltsfootrill.control.messages import Promise
from coltsfootrill.control.votes import Reply
from coltsfootrill.control.votes import Votes
from coltsfootrill.errors import ColtsfootrillError

CALL_TIMEOUT_MS = 1_000.0
# Once a majority has replied, the others have this much more time: one that is lost never replies.
STRAGGLER_TIMEOUT_MS = 100.0


class PeerCalls:
    """Calls to the acceptor at an address; each raises ``ColtsfootrillError`` on failure."""

    __slots__ = ("accept", "inspect", "prepare")

    def __init__(
        self,
        *,
        prepare: Callable[[str, Prepare], Promise],
        accept: Callable[[str, Accept], Accepted],
        inspect: Callable[[str, Inspect], Inspection],
    ) -> None:
        self.prepare = prepare
        self.accept = accept
        self.inspect = inspect


class ReplyCollector:
    """Calls replicas in parallel and collects what they reply."""

    __slots__ = ("_clock", "_executor")

    def __init__(self, executor: Executor, clock: Clock) -> None:
        self._executor = executor
        self._clock = clock

    def collect(
        self, votes: Votes[Reply], call: Callable[[str], Reply], has_enough: Callable[[], bool]
    ) -> None:
        """Call all replicas that have not replied yet, until ``has_enough`` or the timeout.

        That is ``CALL_TIMEOUT_MS``, or ``STRAGGLER_TIMEOUT_MS`` after a majority has replied: it
        can settle what it disagrees on without the others.
        """
        addresses = {
            replica.address for replicas in votes.replica_sets for replica in replicas.values()
        }
        addresses -= votes.by_address.keys()
        try:
            pending: dict[Future[Reply], str] = {
                self._executor.submit(call, address): address for address in sorted(addresses)
            }
        except RuntimeError as error:
            # The executor is shut down because the replica is stopping. Replicas that were called
            # already are treated as if they had not replied.
            logging.warning(
                'call to replicas failed because this replica is stopping error="%s"', error
            )
            return
        timeout_at_ms = self._clock.now_ms() + CALL_TIMEOUT_MS
        while pending and not has_enough():
            left_ms = timeout_at_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            done, _ = wait(pending, timeout=left_ms / 1000, return_when=FIRST_COMPLETED)
            had_majority = votes.has_majority(lambda reply: True)
            _move_replies(done, pending, votes)
            if not had_majority and votes.has_majority(lambda reply: True):
                timeout_at_ms = min(timeout_at_ms, self._clock.now_ms() + STRAGGLER_TIMEOUT_MS)


def _move_replies(
    done: Iterable[Future[Reply]], pending: dict[Future[Reply], str], votes: Votes[Reply]
) -> None:
    """Move the calls that are ``done`` from ``pending`` to ``votes``, without those that failed."""
    for future in done:
        address = pending.pop(future)
        try:
            votes.by_address[address] = future.result()
        except ColtsfootrillError:
            continue
