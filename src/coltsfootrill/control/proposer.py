"""Paxos proposer of the replicated register: prepare, change and accept with a majority each.

The register holds one value, the whole ``ControlState``. A change runs one Paxos round: a
majority promises a ballot and returns the states it accepted, the change is applied to the newest
of these, and a majority accepts the result. A change of the replica set needs majorities of both
the old and the new set, so that every later round sees it. While the keys of the replicas are
unknown, all of them must promise: a majority could include one that lost its disk.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor
from random import Random
from typing import TypeVar

import msgspec
from absl import logging

from coltsfootrill.clock import Clock
from coltsfootrill.control.calls import PeerCalls
from coltsfootrill.control.calls import ReplyCollector
from coltsfootrill.control.messages import INITIAL_EPOCH
from coltsfootrill.control.messages import ZERO_BALLOT
from coltsfootrill.control.messages import Accept
from coltsfootrill.control.messages import Accepted
from coltsfootrill.control.messages import AcceptedState
from coltsfootrill.control.messages import Ballot
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.messages import Inspection
from coltsfootrill.control.messages import Prepare
from coltsfootrill.control.messages import Promise
from coltsfootrill.control.messages import Replica
from coltsfootrill.control.votes import Votes
from coltsfootrill.errors import ColtsfootrillError

BACKOFF_MS = 20.0
BACKOFF_MAX_MS = 400.0
# A change of a large manifest takes about 200 ms. A read that starts a round with a higher ballot
# makes both start again, so a read first retries without a round while a change is in progress.
MAJORITY_READ_ATTEMPTS = 4
MAJORITY_READ_BACKOFF_MS = 15.0

Result = TypeVar("Result")


class NoQuorumError(ColtsfootrillError):
    """No majority agreed; this call changed nothing."""


class UnknownResultError(ColtsfootrillError):
    """A state was sent to acceptors, but no majority confirmed it; it may still be chosen."""


class Register:
    """The proposer of one replica.

    ``initial`` is the state before any change. ``get_accepted`` returns the state that the
    replica's own acceptor holds, so that the other acceptors need not send it; ``learn`` makes that
    acceptor store a chosen state.
    """

    def __init__(
        self,
        replica_id: str,
        initial: ControlState,
        *,
        calls: PeerCalls,
        get_accepted: Callable[[], AcceptedState],
        learn: Callable[[Ballot, ControlState], None],
        executor: Executor,
        clock: Clock,
        random: Random,
    ) -> None:
        self._replica_id = replica_id
        self._calls = calls
        self._get_accepted = get_accepted
        self._learn = learn
        self._collector = ReplyCollector(executor, clock)
        self._clock = clock
        self._random = random
        self._round = 0
        # The newest state known to be chosen; its replica set is the one that is called.
        self.known = initial
        self._known_ballot = ZERO_BALLOT

    @property
    def known_ballot(self) -> Ballot:
        """Return the ballot under which ``known`` was accepted; zero if unknown."""
        return self._known_ballot

    def change(
        self,
        apply: Callable[[ControlState], tuple[ControlState, Result]],
        *,
        deadline_ms: float,
    ) -> Result:
        """Apply a change to the current state and return its result once it is durable.

        Raises ``NoQuorumError`` when certainly nothing was changed, and ``UnknownResultError``
        when the outcome cannot be determined.
        """
        was_sent = False
        attempt = 0
        while self._clock.now_ms() < deadline_ms:
            start_ms = self._clock.now_ms()
            self._adopt_own()
            prepared = self._prepare()
            if prepared is not None:
                ballot, state, replica_sets = prepared
                new_state, result = apply(state)
                new_state = self._add_chosen_set(new_state)
                # Only the set that follows the chosen one is proposed, never the one after that.
                if new_state.epoch <= self.known.epoch + 1:
                    if self._accept(ballot, new_state, replica_sets):
                        self.known = new_state
                        if new_state.chosen_epoch == INITIAL_EPOCH:
                            self._record_first_keys(deadline_ms)
                        return result
                    was_sent = True
            self._back_off(attempt, deadline_ms, round_ms=self._clock.now_ms() - start_ms)
            attempt += 1
        if was_sent:
            raise UnknownResultError(
                "no majority confirmed the change before the deadline; send it again"
            )
        raise NoQuorumError(
            "no majority of the control replicas agreed before the deadline; nothing was changed"
        )

    def record_chosen_epoch(self, *, deadline_ms: float) -> None:
        """Record that a changed replica set is chosen, so that a restart needs only that set.

        Raises as ``change`` does.
        """
        if not self.known.is_replica_set_chosen:
            self.change(lambda state: (state, None), deadline_ms=deadline_ms)

    def _record_first_keys(self, deadline_ms: float) -> None:
        """Record that the keys are chosen: until then, a restarted replica needs all the others.

        The change that recorded the keys is durable, whether or not this succeeds.
        """
        try:
            self.record_chosen_epoch(deadline_ms=deadline_ms)
        except (NoQuorumError, UnknownResultError) as error:
            logging.warning('keys of the replicas not yet recorded as chosen error="%s"', error)

    def adopt_if_chosen(self, state: ControlState) -> None:
        """Adopt the chosen replica set of a state that any acceptor holds, if it is newer.

        The rest of that state is not adopted, because it is not necessarily chosen.
        """
        if state.chosen_epoch <= self.known.epoch or not state.chosen_replicas:
            return
        self.known = msgspec.structs.replace(
            self.known,
            epoch=state.chosen_epoch,
            chosen_epoch=state.chosen_epoch,
            replicas=state.chosen_replicas,
            previous={},
        )
        self._known_ballot = ZERO_BALLOT

    def _adopt_own(self) -> None:
        """After a restart, adopt the replica set that this replica has stored, with its keys."""
        own = self._get_accepted().state
        if own is not None:
            self.adopt_if_chosen(own)

    def _add_chosen_set(self, state: ControlState) -> ControlState:
        """Return ``state`` with the replica set that this proposer knows to be chosen."""
        is_chosen = state.epoch == self.known.epoch
        return msgspec.structs.replace(
            state,
            chosen_epoch=self.known.epoch,
            previous={} if is_chosen else self.known.replicas,
        )

    def read(self, *, deadline_ms: float) -> ControlState:
        """Return the current state as confirmed by a majority; raise ``NoQuorumError``."""
        for attempt in range(MAJORITY_READ_ATTEMPTS):
            state = self.read_without_round()
            if state is not None:
                return state
            if self._clock.now_ms() >= deadline_ms:
                break
            # A round started here would interrupt a change by another proposer, which ends soon.
            self._clock.sleep_ms(
                MAJORITY_READ_BACKOFF_MS * 2**attempt * (0.5 + self._random.random())
            )
        try:
            return self.change(lambda state: (state, state), deadline_ms=deadline_ms)
        except UnknownResultError as error:
            raise NoQuorumError(str(error)) from error

    def read_without_round(self) -> ControlState | None:
        """Return the current state if a majority agrees on it at this moment."""
        self._adopt_own()
        if not self._try_majority_read():
            return None
        self._store_chosen()
        return self.known

    def _store_chosen(self) -> None:
        """Store the state that was read if this replica missed it, so that it is on one disk more.

        The change that the replica missed may otherwise be on the smallest majority of disks until
        the next change.
        """
        if self._get_accepted().ballot >= self._known_ballot:
            return
        try:
            self._learn(self._known_ballot, self.known)
        except ColtsfootrillError as error:
            logging.log_every_n_seconds(
                logging.WARNING, 'chosen state not stored on this replica error="%s"', 60, error
            )
            return
        logging.info('chosen state stored on this replica version="%d"', self.known.version)

    def _try_majority_read(self) -> bool:
        """Read without writing; return whether a majority accepted the same ballot."""
        votes: Votes[Inspection] = Votes([self.known.replicas])
        local = self._get_newest_accepted()
        request = Inspect(self._replica_id, local.ballot)

        def inspect_all() -> None:
            self._collector.collect(
                votes,
                lambda address: self._calls.inspect(address, request),
                lambda: self._get_agreed_ballot(votes) != ZERO_BALLOT,
            )

        inspect_all()
        ballot = self._get_agreed_ballot(votes)
        if ballot == ZERO_BALLOT:
            self._adopt_newer_set(votes, local)
            return False
        state = self._find_chosen_state(votes, ballot, local)
        if state.replicas != self.known.replicas:
            # The state is chosen only if a majority of its own replica set has accepted it too.
            votes.replica_sets.append(state.replicas)
            inspect_all()
            if self._get_agreed_ballot(votes) != ballot:
                return False
        self.known = state
        self._known_ballot = ballot
        return True

    def _get_agreed_ballot(self, votes: Votes[Inspection]) -> Ballot:
        """Return the newest ballot seen if majorities accepted exactly it, else ``ZERO_BALLOT``."""
        ballots = [reply.accepted for reply in votes.by_address.values()]
        newest = max(ballots, default=ZERO_BALLOT)
        return newest if votes.has_majority(lambda reply: reply.accepted == newest) else ZERO_BALLOT

    def _find_chosen_state(
        self, votes: Votes[Inspection], ballot: Ballot, local: AcceptedState
    ) -> ControlState:
        for reply in votes.by_address.values():
            if reply.accepted == ballot and reply.state is not None:
                return reply.state
        return local.state or self.known

    def _get_newest_accepted(self) -> AcceptedState:
        """Return the newest state on this replica, whether or not it is known to be chosen."""
        own = self._get_accepted()
        if own.state is not None and own.ballot > self._known_ballot:
            return own
        return AcceptedState(self._known_ballot, self.known)

    def _prepare(self) -> tuple[Ballot, ControlState, list[dict[str, Replica]]] | None:
        """Obtain promises for a new ballot from a majority.

        Returns the ballot, the newest accepted state and the replica sets that must accept the next
        state, or ``None`` when no majority promised.
        """
        self._round += 1
        ballot = Ballot(self._round, self._replica_id)
        local = self._get_newest_accepted()
        request = Prepare(self.known.epoch, ballot, local.ballot)
        votes: Votes[Promise] = Votes([self.known.replicas])
        self._collector.collect(
            votes,
            lambda address: self._calls.prepare(address, request),
            lambda: votes.has_majority(lambda promise: promise.is_granted),
        )
        self._round = max([self._round, *(p.promised.round for p in votes.by_address.values())])
        if self.known.epoch == INITIAL_EPOCH:
            return self._prepare_initial(ballot, votes, local)
        if not votes.has_majority(lambda promise: promise.is_granted):
            self._adopt_newer_set(votes, local)
            return None
        newest = self._find_newest(votes, local)
        if newest.epoch > self.known.epoch:
            return self._prepare_joint(ballot, newest, votes, local)
        return ballot, newest, [newest.replicas]

    def _prepare_initial(
        self, ballot: Ballot, votes: Votes[Promise], local: AcceptedState
    ) -> tuple[Ballot, ControlState, list[dict[str, Replica]]] | None:
        """Return what ``_prepare`` does, for promises of the initial set, whose keys are unknown.

        All replicas must have promised, unless a reply has a chosen set, which is then adopted for
        the next attempt. Keys that are not known to be chosen are no reason to trust a majority:
        those of another first change, before a disk was lost, may have been chosen instead.
        """
        self._adopt_newer_set(votes, local)
        is_initial = self.known.epoch == INITIAL_EPOCH
        if not is_initial or not votes.are_all_selected(lambda promise: promise.is_granted):
            return None
        newest = self._find_newest(votes, local)
        if newest.epoch == INITIAL_EPOCH:
            newest = _record_keys(newest, votes)
        votes.replica_sets = [newest.replicas]
        if not votes.has_majority(lambda promise: promise.is_granted):
            return None
        return ballot, newest, [newest.replicas]

    def _prepare_joint(
        self, ballot: Ballot, newest: ControlState, votes: Votes[Promise], local: AcceptedState
    ) -> tuple[Ballot, ControlState, list[dict[str, Replica]]] | None:
        """Obtain promises for ``ballot`` from the replica set of a newer epoch as well.

        The change to that set may be incomplete, so majorities of both sets are needed.
        """
        request = Prepare(newest.epoch, ballot, local.ballot)
        votes.replica_sets.append(newest.replicas)
        self._collector.collect(
            votes,
            lambda address: self._calls.prepare(address, request),
            lambda: votes.has_majority(lambda promise: promise.is_granted),
        )
        if not votes.has_majority(lambda promise: promise.is_granted):
            return None
        latest = self._find_newest(votes, local)
        if latest.epoch > newest.epoch:
            self.adopt_if_chosen(latest)
            return None
        return ballot, latest, [self.known.replicas, newest.replicas]

    def _adopt_newer_set(
        self, votes: Votes[Promise] | Votes[Inspection], local: AcceptedState
    ) -> None:
        """Adopt a newer replica set from any reply: the set called may have been replaced."""
        for reply in votes.by_address.values():
            state = _get_state(reply, local)
            if state is not None:
                self.adopt_if_chosen(state)

    def _find_newest(self, votes: Votes[Promise], local: AcceptedState) -> ControlState:
        newest = self.known
        newest_ballot = ZERO_BALLOT
        for promise in votes.by_address.values():
            state = _get_state(promise, local)
            if not promise.is_granted or state is None:
                continue
            if promise.accepted > newest_ballot:
                newest = state
                newest_ballot = promise.accepted
        return newest

    def _accept(
        self, ballot: Ballot, state: ControlState, replica_sets: list[dict[str, Replica]]
    ) -> bool:
        """Send ``state`` to all sets involved; return whether majorities of each accepted it."""
        sets = list(replica_sets)
        if state.replicas not in sets:
            sets.append(state.replicas)
        votes: Votes[Accepted] = Votes(sets)
        request = Accept(ballot, state)
        self._collector.collect(
            votes,
            lambda address: self._calls.accept(address, request),
            lambda: votes.has_majority(lambda reply: reply.is_granted),
        )
        self._round = max([self._round, *(a.promised.round for a in votes.by_address.values())])
        if not votes.has_majority(lambda reply: reply.is_granted):
            return False
        self._known_ballot = ballot
        return True

    def _back_off(self, attempt: int, deadline_ms: float, *, round_ms: float) -> None:
        pause_ms = choose_backoff_ms(attempt, round_ms=round_ms, share=self._random.random())
        self._clock.sleep_ms(min(pause_ms, max(0.0, deadline_ms - self._clock.now_ms())))


def choose_backoff_ms(attempt: int, *, round_ms: float, share: float) -> float:
    """Return the pause after a round that failed: exponential, with ``share`` as its jitter.

    It may be twice as long as the round took, so that another proposer can complete one.
    """
    longest_ms: float = min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** min(attempt, 10))
    return share * max(longest_ms, 2 * round_ms)


def _record_keys(state: ControlState, votes: Votes[Promise]) -> ControlState:
    """Return the initial state in the first epoch, with the keys from the promises."""
    replicas = {
        replica_id: Replica(replica.address, votes.by_address[replica.address].key)
        for replica_id, replica in state.replicas.items()
    }
    return msgspec.structs.replace(state, epoch=INITIAL_EPOCH + 1, replicas=replicas)


def _get_state(reply: Promise | Inspection, local: AcceptedState) -> ControlState | None:
    """Return the state that a replica accepted; it omits one that the caller holds already."""
    return local.state if reply.accepted == local.ballot else reply.state
