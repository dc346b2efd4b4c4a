"""Model of the replicated register, checked exhaustively by ``minicheck``.

Steps are named after the functions that they model: ``prepare`` and ``accept`` of an
acceptor, ``submit_manifest``, ``replace_replica`` and ``read`` of a proposer. Each round is a
separate proposer with its own ballot. A step can happen at any time after the previous one, or
never, which covers late, lost and repeated messages and proposers that stop. A round that knows
only the initial replica set models the most outdated proposer. With ``forgets_keys`` the first
change records the keys of the replicas, and a round begins either without them, as a proposer that
has restarted, or with keys that are known to be chosen.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

# Members of the initial and the second replica set; replica 3 replaces replica 2.
REPLICA_SETS = ((0, 1, 2), (0, 1, 3))
ACCEPTOR_COUNT = 4

RULES = frozenset(
    (
        "promise-blocks-lower-ballots",
        "promise-is-durable",
        "adopt-newest-accepted",
        "majority-promises",
        "majority-accepts",
        "majorities-of-both-sets",
        "newer-set-must-promise",
        "key-of-lost-disk-does-not-vote",
        "repeats-are-found-in-history",
        "lower-version-refused",
        "only-chosen-sets-are-adopted",
        "unknown-keys-need-all",
        "only-chosen-keys-are-adopted",
    )
)


Keys = tuple[int, ...] | None
# The keys that the data folders have before any disk is lost.
FIRST_KEYS = (0,) * ACCEPTOR_COUNT


class State(NamedTuple):
    """The replicated value: the epoch of the replica set and the accepted versions with content.

    ``chosen`` is the set that was known to be chosen when the value was proposed. ``keys`` are
    those of the replicas by index, ``None`` before the first change; ``has_chosen_keys`` says
    whether they were known to be chosen when the value was proposed.
    """

    epoch: int
    history: tuple[tuple[int, str], ...]
    chosen: int = 0
    keys: Keys = FIRST_KEYS
    has_chosen_keys: bool = True


EMPTY = State(0, ())
EMPTY_WITHOUT_KEYS = EMPTY._replace(keys=None, has_chosen_keys=False)


class Acceptor(NamedTuple):
    """The stored state of a replica. ``key`` counts lost disks; ballot 0 stands for none."""

    key: int
    promised: int
    accepted: int
    state: State


class Round(NamedTuple):
    """One proposer. ``phase`` is idle, prepare, accept or done.

    ``confirmed`` is the state that had been confirmed to operators when the round began. ``keys``
    are those by which the promises count, ``None`` while the proposer knows none.
    """

    phase: str
    promises: frozenset[tuple[int, Acceptor]]
    sets: tuple[int, ...]
    value: State
    accepts: frozenset[int]
    answer: str
    confirmed: State
    keys: Keys = FIRST_KEYS


class Operation(NamedTuple):
    """The operation of a round: submit a version with a content, replace a replica, or read."""

    name: str
    version: int = 0
    content: str = ""


IDLE = Round("idle", frozenset(), (0,), EMPTY, frozenset(), "", EMPTY)


def make_model(
    operations: tuple[Operation, ...],
    *,
    losses: int = 0,
    restarts: int = 0,
    loss_after_round: int | None = None,
    forgets_keys: bool = False,
    learns: bool = False,
    disabled_rule: str | None = None,
) -> Protocol:
    """Return the model of some rounds, ``losses`` lost disks and ``restarts`` of acceptors.

    ``loss_after_round`` is the round that must be done before a disk is lost. With
    ``forgets_keys`` rounds may begin without the keys of the replicas, with ``learns`` acceptors
    may store chosen values. ``disabled_rule`` is the rule to leave out, which the check must
    detect.
    """
    assert disabled_rule is None or disabled_rule in RULES, disabled_rule
    rules = RULES - {disabled_rule}
    steps = _Steps(operations, rules, loss_after_round, forgets_keys=forgets_keys, learns=learns)
    initial = (
        tuple(Acceptor(0, 0, 0, steps.empty) for _ in range(ACCEPTOR_COUNT)),
        tuple(IDLE for _ in operations),
        losses,
        restarts,
    )
    return Protocol(
        name="replicated register",
        candidate=False,
        fields=("acceptors", "rounds", "losses", "restarts"),
        initial=initial,
        transitions=steps.list_steps,
        invariants={
            "each version has one content": lambda d: _has_one_content(operations, d["rounds"]),
            "accepted versions are retained": lambda d: _retains_accepted(d["rounds"]),
            "versions increase": lambda d: _has_increasing_versions(d["rounds"]),
            "a repeated submission gets the same answer": lambda d: _answers_repeats_equally(
                operations, d["rounds"]
            ),
        },
    )


class _Steps:
    """Lists all steps that are possible in a state of the model."""

    def __init__(
        self,
        operations: tuple[Operation, ...],
        rules: frozenset[str],
        loss_after_round: int | None,
        *,
        forgets_keys: bool,
        learns: bool,
    ) -> None:
        self._operations = operations
        self._rules = rules
        self._loss_after_round = loss_after_round
        self._forgets_keys = forgets_keys
        self._learns = learns
        self.empty = EMPTY_WITHOUT_KEYS if forgets_keys else EMPTY

    def list_steps(self, state: tuple) -> list[tuple[str, tuple]]:  # type: ignore[type-arg]
        acceptors, rounds, losses, restarts = state
        steps: list[tuple[str, tuple]] = []  # type: ignore[type-arg]
        for number in range(len(rounds)):
            for label, new_acceptors, new_round in self._advance(acceptors, rounds, number):
                new_rounds = rounds[:number] + (new_round,) + rounds[number + 1 :]
                steps.append((label, (new_acceptors, new_rounds, losses, restarts)))
        can_lose = self._loss_after_round is None or rounds[self._loss_after_round].phase == "done"
        steps.extend(self._learn(state))
        if losses and can_lose:
            steps.extend(self._lose_disk(state))
        if restarts:
            steps.extend(self._restart(state))
        return steps

    def _advance(
        self, acceptors: tuple[Acceptor, ...], rounds: tuple[Round, ...], number: int
    ) -> Iterator[tuple[str, tuple[Acceptor, ...], Round]]:
        current = rounds[number]
        if current.phase == "idle":
            started = current._replace(phase="prepare", confirmed=_get_confirmed(rounds))
            for keys in self._list_known_keys(acceptors, rounds):
                keyed = started._replace(keys=keys)
                yield f"start {number} with keys {keys}", acceptors, keyed
                if self._may_know_second_set(acceptors, rounds):
                    yield f"start {number} in set 1", acceptors, keyed._replace(sets=(1,))
        elif current.phase == "prepare":
            yield from self._prepare(acceptors, current, number)
        elif current.phase == "accept":
            yield from self._accept(acceptors, current, number)

    def _list_known_keys(
        self, acceptors: tuple[Acceptor, ...], rounds: tuple[Round, ...]
    ) -> set[Keys]:
        """Return the keys that a proposer may begin with."""
        if not self._forgets_keys:
            return {FIRST_KEYS}
        done = {current.value.keys for current in rounds if current.phase == "done"}
        stored = {a.state.keys for a in acceptors if self._may_adopt_keys(a.state)}
        return {None} | done | stored

    def _may_adopt_keys(self, state: State) -> bool:
        adopts_any = "only-chosen-keys-are-adopted" not in self._rules
        return state.has_chosen_keys or (adopts_any and state.keys is not None)

    def _may_know_second_set(
        self, acceptors: tuple[Acceptor, ...], rounds: tuple[Round, ...]
    ) -> bool:
        """Return whether any proposer can know that the second set was chosen."""
        if any(current.phase == "done" and current.value.epoch == 1 for current in rounds):
            return True
        adopts_any = "only-chosen-sets-are-adopted" not in self._rules
        return any(
            acceptor.state.epoch == 1 and (acceptor.state.chosen == 1 or adopts_any)
            for acceptor in acceptors
        )

    def _prepare(
        self, acceptors: tuple[Acceptor, ...], current: Round, number: int
    ) -> Iterator[tuple[str, tuple[Acceptor, ...], Round]]:
        ballot = number + 1
        replied = {index for index, _ in current.promises}
        for index in _members(current.sets) - replied:
            acceptor = acceptors[index]
            if ballot <= acceptor.promised:
                continue
            promised = acceptor._replace(promised=ballot)
            new_round = current._replace(promises=current.promises | {(index, acceptor)})
            yield (
                f"prepare {number} at {index}",
                _replace(acceptors, index, promised),
                self._after_promise(new_round, acceptors, number),
            )

    def _after_promise(self, current: Round, acceptors: tuple[Acceptor, ...], number: int) -> Round:
        voters = {i: a.key for i, a in current.promises}
        if current.keys is None and "unknown-keys-need-all" in self._rules:
            stored = [a.state.keys for _, a in current.promises if self._may_adopt_keys(a.state)]
            if stored:
                current = current._replace(keys=stored[0])
            elif len(voters) < len(REPLICA_SETS[0]):
                return current
        if not self._is_enough(voters, current.sets, current.keys, "majority-promises"):
            return current
        newest = self._find_newest(current)
        if newest.keys is None:
            # Replicas that refuse to promise reply with their keys as well.
            keys = tuple(voters.get(i, a.key) for i, a in enumerate(acceptors))
            newest = newest._replace(keys=keys)
        if (
            not self._is_enough(voters, current.sets, newest.keys, "majority-promises")
            and "unknown-keys-need-all" in self._rules
        ):
            return current
        if newest.epoch > max(current.sets) and "newer-set-must-promise" in self._rules:
            # The change to the newer set may be incomplete, so its majority must promise too.
            joint = current._replace(sets=(*current.sets, newest.epoch))
            return self._after_promise(joint, acceptors, number)
        sets = current.sets if len(current.sets) > 1 else (newest.epoch,)
        return self._apply(current._replace(sets=sets), newest, number)

    def _apply(self, current: Round, newest: State, number: int) -> Round:
        operation = self._operations[number]
        if operation.name == "submit_manifest":
            value, answer = self._submit_manifest(newest, operation)
        elif operation.name == "replace_replica":
            value, answer = newest._replace(epoch=1), "replaced"
        else:
            value, answer = newest, "read"
        has_chosen_keys = value.has_chosen_keys or current.keys is not None
        value = value._replace(chosen=current.sets[0], has_chosen_keys=has_chosen_keys)
        sets = current.sets
        if value.epoch not in sets:
            both = "majorities-of-both-sets" in self._rules
            sets = (*sets, value.epoch) if both else (value.epoch,)
        return current._replace(phase="accept", value=value, answer=answer, sets=sets)

    def _submit_manifest(self, state: State, operation: Operation) -> tuple[State, str]:
        searches_all = "repeats-are-found-in-history" in self._rules
        searched = state.history if searches_all else state.history[-1:]
        known = dict(searched).get(operation.version)
        if known is not None:
            return state, "accepted" if known == operation.content else "conflict"
        is_lower = bool(state.history) and operation.version < state.history[-1][0]
        if is_lower and "lower-version-refused" in self._rules:
            return state, "older"
        entry = (operation.version, operation.content)
        return state._replace(history=(*state.history, entry)), "accepted"

    def _accept(
        self, acceptors: tuple[Acceptor, ...], current: Round, number: int
    ) -> Iterator[tuple[str, tuple[Acceptor, ...], Round]]:
        ballot = number + 1
        for index in _members(current.sets) - current.accepts:
            acceptor = acceptors[index]
            if ballot < acceptor.promised and "promise-blocks-lower-ballots" in self._rules:
                continue
            accepted = Acceptor(acceptor.key, max(ballot, acceptor.promised), ballot, current.value)
            new_round = current._replace(accepts=current.accepts | {index})
            # A vote counts by the key that the acceptor has when it accepts.
            voters = {i: acceptors[i].key for i in new_round.accepts}
            if self._is_enough(voters, current.sets, current.value.keys, "majority-accepts"):
                new_round = new_round._replace(phase="done", promises=frozenset())
            yield f"accept {number} at {index}", _replace(acceptors, index, accepted), new_round

    def _is_enough(
        self, key_by_voter: dict[int, int], sets: tuple[int, ...], keys: Keys, rule: str
    ) -> bool:
        checks_keys = "key-of-lost-disk-does-not-vote" in self._rules and keys is not None
        valid = {i for i, key in key_by_voter.items() if not checks_keys or key == keys[i]}
        needed = 2 if rule in self._rules else 1
        return all(len(valid & set(REPLICA_SETS[epoch])) >= needed for epoch in sets)

    def _find_newest(self, current: Round) -> State:
        if "adopt-newest-accepted" not in self._rules:
            return self.empty
        _, newest = max(current.promises, key=lambda promise: promise[1].accepted)
        return newest.state

    def _learn(self, state: tuple) -> Iterator[tuple[str, tuple]]:  # type: ignore[type-arg]
        """List the steps in which an acceptor stores a chosen value, whatever it has promised."""
        acceptors, rounds, losses, restarts = state
        if not self._learns:
            return
        for number, current in enumerate(rounds):
            ballot = number + 1
            for index, acceptor in enumerate(acceptors):
                if current.phase != "done" or acceptor.accepted >= ballot:
                    continue
                promised = max(ballot, acceptor.promised)
                learned = Acceptor(acceptor.key, promised, ballot, current.value)
                yield (
                    f"learn {number} at {index}",
                    (_replace(acceptors, index, learned), rounds, losses, restarts),
                )

    def _lose_disk(self, state: tuple) -> Iterator[tuple[str, tuple]]:  # type: ignore[type-arg]
        acceptors, rounds, losses, restarts = state
        for index, acceptor in enumerate(acceptors):
            if acceptor.promised or acceptor.accepted:
                empty = Acceptor(acceptor.key + 1, 0, 0, self.empty)
                yield (
                    f"lose disk {index}",
                    (_replace(acceptors, index, empty), rounds, losses - 1, restarts),
                )

    def _restart(self, state: tuple) -> Iterator[tuple[str, tuple]]:  # type: ignore[type-arg]
        acceptors, rounds, losses, restarts = state
        if "promise-is-durable" in self._rules:
            # A restart reads the same state from disk, so nothing changes.
            return
        for index, acceptor in enumerate(acceptors):
            if acceptor.promised > acceptor.accepted:
                without_promise = acceptor._replace(promised=acceptor.accepted)
                yield (
                    f"restart {index}",
                    (_replace(acceptors, index, without_promise), rounds, losses, restarts - 1),
                )


def _members(sets: tuple[int, ...]) -> set[int]:
    return {index for epoch in sets for index in REPLICA_SETS[epoch]}


def _replace(
    acceptors: tuple[Acceptor, ...], index: int, acceptor: Acceptor
) -> tuple[Acceptor, ...]:
    return acceptors[:index] + (acceptor,) + acceptors[index + 1 :]


def _get_confirmed(rounds: tuple[Round, ...]) -> State:
    """Return the longest history and the newest set confirmed to any operator."""
    done = [current.value for current in rounds if current.phase == "done"]
    epoch = max((value.epoch for value in done), default=0)
    return State(epoch, max((value.history for value in done), key=len, default=()))


def _has_one_content(operations: tuple[Operation, ...], rounds: tuple[Round, ...]) -> bool:
    contents: dict[int, str] = {}
    for operation, current in zip(operations, rounds, strict=True):
        if current.phase == "done" and current.answer == "accepted":
            if contents.setdefault(operation.version, operation.content) != operation.content:
                return False
    return True


def _retains_accepted(rounds: tuple[Round, ...]) -> bool:
    """Return whether every finished round holds all that was confirmed before it began."""
    return all(
        current.value.history[: len(current.confirmed.history)] == current.confirmed.history
        and current.value.epoch >= current.confirmed.epoch
        for current in rounds
        if current.phase == "done"
    )


def _has_increasing_versions(rounds: tuple[Round, ...]) -> bool:
    for current in rounds:
        versions = [version for version, _ in current.value.history]
        if current.phase == "done" and versions != sorted(set(versions)):
            return False
    return True


def _answers_repeats_equally(operations: tuple[Operation, ...], rounds: tuple[Round, ...]) -> bool:
    """Return whether each repeated submission of an accepted version is accepted again."""
    for first, earlier in zip(operations, rounds, strict=True):
        for second, later in zip(operations, rounds, strict=True):
            is_repeat = first == second and first.name == "submit_manifest"
            if not is_repeat or earlier.answer != "accepted" or earlier.phase != "done":
                continue
            was_confirmed = (first.version, first.content) in later.confirmed.history
            if later.phase == "done" and was_confirmed and later.answer != "accepted":
                return False
    return True
