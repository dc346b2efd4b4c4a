"""State and messages of the control replicas, encoded as MessagePack."""

from __future__ import annotations

import msgspec

from coltsfootrill.zones.orders import ZoneOrder
from coltsfootrill.zones.orders import ZoneOrders


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A Paxos ballot number, ordered by round, then by the proposing replica."""

    round: int
    replica_id: str


ZERO_BALLOT = Ballot(0, "")

# The epoch of the replica set in the settings, whose keys are unknown.
INITIAL_EPOCH = 0


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A voting replica.

    ``key`` is the random identity of its data folder. A replica that lost its disk returns with
    another key, and its votes do not count until it has been admitted again. The key is empty
    in the initial replica set: the first change records the keys of all replicas.
    """

    address: str
    key: str


class AcceptedVersion(msgspec.Struct, frozen=True, array_like=True):
    """An accepted manifest version, stored so that a repeated submission gets the same answer."""

    version: int
    digest: str
    at_ms: int


class AuditRecord(msgspec.Struct, frozen=True, array_like=True):
    """An applied or refused change of the control state; ``at_ms`` is wall-clock time."""

    number: int
    at_ms: int
    operator: str
    action: str
    before: str
    after: str
    result: str


class ControlState(msgspec.Struct, frozen=True, array_like=True):
    """The replicated value: everything that the control replicas must agree on.

    ``replicas`` maps identifiers to the voting replicas of ``epoch``. ``chosen_epoch`` is the
    epoch that was known to be chosen when this state was proposed; if it is another, ``previous``
    holds its voting replicas. ``history`` and ``audit`` hold the newest entries only;
    ``audit_count`` counts all audit records ever written. ``zone_orders`` stay in force when the
    manifest is replaced.
    """

    epoch: int
    chosen_epoch: int
    replicas: dict[str, Replica]
    version: int
    digest: str
    manifest: bytes
    history: list[AcceptedVersion]
    audit: list[AuditRecord]
    audit_count: int
    previous: dict[str, Replica] = {}
    zone_orders: ZoneOrders = ZoneOrders()

    @property
    def is_replica_set_chosen(self) -> bool:
        """Return whether the replica set is valid without a check with the previous set."""
        return self.chosen_epoch == self.epoch

    @property
    def chosen_replicas(self) -> dict[str, Replica]:
        """Return the voting replicas of ``chosen_epoch``; empty if a former release wrote it."""
        return self.replicas if self.is_replica_set_chosen else self.previous


class AcceptedState:
    """A state and the ballot under which it was accepted; each ballot has at most one state."""

    __slots__ = ("ballot", "state")

    def __init__(self, ballot: Ballot, state: ControlState | None) -> None:
        self.ballot = ballot
        self.state = state


class Prepare(msgspec.Struct, frozen=True, array_like=True):
    """Asks an acceptor to promise ``ballot`` and to return the state it accepted last.

    ``epoch`` is the epoch of the replica set that the sender calls. ``known`` is the ballot
    of a state that the sender already has, so that the reply can omit it.
    """

    epoch: int
    ballot: Ballot
    known: Ballot = ZERO_BALLOT


class Promise(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Prepare``; not granted when an equal or higher ballot was promised before.

    ``state`` was accepted under ``accepted``; it is omitted when the sender already has it.
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
    """Asks an acceptor for the state it accepted last.

    ``sender`` is the requesting replica; ``known`` is the ballot of a state that it already has.
    """

    sender: str
    known: Ballot


class Inspection(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``Inspect``; the state is omitted when the sender already has it."""

    key: str
    accepted: Ballot
    state: ControlState | None


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request of an entry instance for a manifest newer than ``known_version``.

    ``must_be_fresh`` requires a majority read that starts after the request arrived.
    ``takes_packed`` means that the reply may be packed.
    """

    instance_id: str
    known_version: int
    must_be_fresh: bool
    takes_packed: bool = False


class AdoptRequest(msgspec.Struct, frozen=True, array_like=True):
    """What a majority has accepted, to be in force before it is acknowledged.

    ``raw`` is the manifest, empty if only ``zone_orders`` have changed.
    """

    raw: bytes
    zone_orders: ZoneOrders = ZoneOrders()


class AdoptReply(msgspec.Struct, frozen=True, array_like=True):
    """The manifest version and the number of the zone orders in force at a replica, 0 for none."""

    version: int
    order_number: int = 0


class ReadReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``ReadRequest``.

    ``is_current`` is true if a majority confirmed the state; ``manifest`` is empty if not newer.
    ``replicas`` are the addresses of the current voting replicas. ``zone_orders`` are in force with
    the manifest.
    """

    is_current: bool
    version: int
    manifest: bytes
    replicas: list[str]
    zone_orders: ZoneOrders = ZoneOrders()


class SubmitRequest(msgspec.Struct, frozen=True, array_like=True):
    """A manifest that an operator submitted to a node, forwarded to a voting replica."""

    raw: bytes
    base_version: int | None
    operator: str


class SubmitReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``SubmitRequest``.

    ``result`` is a submission result, ``no-quorum`` or ``unknown``.
    """

    result: str
    version: int
    digest: str
    message: str


class ZoneOrderRequest(msgspec.Struct, frozen=True, array_like=True):
    """An order that an operator gave to a node, forwarded to a voting replica."""

    order: ZoneOrder
    operator: str


class ZoneOrderReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to ``ZoneOrderRequest``: the orders in force, or why they are not.

    ``result`` is ``done``, ``invalid``, ``no-quorum`` or ``unknown``.
    """

    result: str
    message: str
    orders: ZoneOrders
