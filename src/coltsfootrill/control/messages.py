"""State and messages of the control replicas, encoded as MessagePack."""

from __future__ import annotations

import msgspec


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A ballot number: ordered by round, then by the replica that chose it."""

    round: int
    replica_id: str


ZERO_BALLOT = Ballot(0, "")


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A voting replica.

    ``key`` is the random identity of its data folder: a replica that lost its disk comes back
    with another key, and its votes do not count until it has been admitted again. It is empty
    until the first change, which records the keys of all replicas.
    """

    address: str
    key: str


class AcceptedVersion(msgspec.Struct, frozen=True, array_like=True):
    """One manifest that was accepted, kept to answer an operator who sends it again."""

    version: int
    digest: str
    at_ms: int


class AuditRecord(msgspec.Struct, frozen=True, array_like=True):
    """One change, or refused change, of the control state. ``at_ms`` is wall time."""

    number: int
    at_ms: int
    operator: str
    action: str
    before: str
    after: str
    result: str


class ControlState(msgspec.Struct, frozen=True, array_like=True):
    """The one replicated value: all that the control replicas must agree on.

    ``replicas`` maps identifiers to the voting replicas of ``epoch``. ``settled_epoch`` is the
    epoch that was known to be chosen when this state was proposed: where it equals ``epoch``,
    the replica set may be trusted without asking the one before. ``history`` and ``audit`` hold
    the newest entries only; ``audit_count`` counts all audit records ever made.
    """

    epoch: int
    settled_epoch: int
    replicas: dict[str, Replica]
    version: int
    digest: str
    manifest: bytes
    history: list[AcceptedVersion]
    audit: list[AuditRecord]
    audit_count: int


class AcceptedState:
    """A state and the ballot under which it was accepted; a ballot has one state only."""

    __slots__ = ("ballot", "state")

    def __init__(self, ballot: Ballot, state: ControlState | None) -> None:
        self.ballot = ballot
        self.state = state


class Prepare(msgspec.Struct, frozen=True, array_like=True):
    """Asks an acceptor to promise ``ballot`` and to tell what it accepted.

    ``epoch`` is that of the replica set that the sender knows, ``known`` the ballot whose state
    it has already.
    """

    epoch: int
    ballot: Ballot
    known: Ballot = ZERO_BALLOT


class Promise(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Prepare``; not granted when a higher ballot was promised before.

    ``state`` was accepted under ``accepted``; it is left out when the sender has it.
    """

    key: str
    is_granted: bool
    promised: Ballot
    accepted: Ballot
    state: ControlState | None


class Accept(msgspec.Struct, frozen=True, array_like=True):
    """Asks an acceptor to accept ``state`` under ``ballot``."""

    ballot: Ballot
    state: ControlState


class Accepted(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Accept``; granted only after the state was synced."""

    key: str
    is_granted: bool
    promised: Ballot


class Inspect(msgspec.Struct, frozen=True, array_like=True):
    """Asks an acceptor what it accepted last.

    ``sender`` is the replica that asks, ``known`` the ballot whose state it knows already.
    """

    sender: str
    known: Ballot


class Inspection(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Inspect``; without the state when the sender knows it."""

    key: str
    accepted: Ballot
    state: ControlState | None


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """An entry instance asks for a manifest newer than ``known_version``.

    ``must_be_fresh`` asks for a majority read made after the request arrived.
    """

    instance_id: str
    known_version: int
    must_be_fresh: bool


class ReadReply(msgspec.Struct, frozen=True, array_like=True):
    """``is_current`` tells that a majority confirmed it; ``manifest`` is empty if not newer.

    ``replicas`` are the addresses of the replicas that vote now.
    """

    is_current: bool
    version: int
    manifest: bytes
    replicas: list[str]


class SubmitRequest(msgspec.Struct, frozen=True, array_like=True):
    """A node passes on a manifest that an operator submitted to it."""

    raw: bytes
    base_version: int | None
    operator: str


class SubmitReply(msgspec.Struct, frozen=True, array_like=True):
    """What became of it; ``result`` is that of the answer, or ``no-quorum`` or ``unknown``."""

    result: str
    version: int
    digest: str
    message: str
