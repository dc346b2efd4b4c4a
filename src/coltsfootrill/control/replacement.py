"""Replacement of a voting replica in the control state."""

from __future__ import annotations

from typing import Literal

import msgspec

from coltsfootrill.control.messages import AuditRecord
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Replica
from coltsfootrill.control.submission import append_audit
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.model import Identifier
from coltsfootrill.registry.announcement import InvalidAnnouncementError
from coltsfootrill.registry.announcement import split_address

FaultKind = Literal["silent", "lost-state"]
ReplaceResult = Literal["replaced", "refused"]


class ReplacementError(ColtsfootrillError):
    """The replacement request is invalid, or the new replica does not reply."""


class ReplaceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's request to replace replica ``old`` with ``new`` at ``address``."""

    old: Identifier
    new: Identifier
    address: str


class ReplicaChange:
    """A change of the replica set; ``key`` is the identity of the new replica's data folder.

    If ``old_id`` is ``None``, the new replica is added and none is removed.
    """

    __slots__ = ("address", "key", "new_id", "old_id", "operator")

    def __init__(
        self, *, old_id: str | None, new_id: str, address: str, key: str, operator: str
    ) -> None:
        self.old_id = old_id
        self.new_id = new_id
        self.address = address
        self.key = key
        self.operator = operator


class ReplaceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a replacement request."""

    result: ReplaceResult
    epoch: int
    message: str


def decode_replace_request(raw: bytes) -> ReplaceRequest:
    """Decode a replacement request; raise ``ReplacementError`` if it is invalid."""
    try:
        request = msgspec.json.decode(raw, type=ReplaceRequest)
        split_address(request.address)
    except (msgspec.MsgspecError, UnicodeDecodeError, InvalidAnnouncementError) as error:
        raise ReplacementError(str(error)) from error
    return request


def replace_replica(
    state: ControlState, change: ReplicaChange, *, wall_ms: int
) -> tuple[ControlState, ReplaceAnswer]:
    """Return the state with one replica replaced or added, and the answer.

    The change is idempotent: a repeated request gets the same answer.
    """
    new_replica = Replica(change.address, change.key)
    is_already_replaced = (
        change.old_id in (None, change.new_id) or change.old_id not in state.replicas
    )
    if is_already_replaced and state.replicas.get(change.new_id) == new_replica:
        return state, _answer("replaced", state, f"{change.new_id} votes in epoch {state.epoch}")
    if change.old_id is not None and change.old_id not in state.replicas:
        message = f"{change.old_id!r} is not among the voting replicas {', '.join(state.replicas)}"
        return state, _answer("refused", state, message)
    if change.new_id != change.old_id and change.new_id in state.replicas:
        return state, _answer(
            "refused", state, f"{change.new_id!r} is already a voting replica; name another"
        )
    others = {
        replica_id: replica
        for replica_id, replica in state.replicas.items()
        if replica_id != change.old_id
    }
    if any(replica.address == change.address for replica in others.values()):
        return state, _answer(
            "refused", state, f"{change.address} is the address of another voting replica"
        )
    replicas = dict(sorted((others | {change.new_id: new_replica}).items()))
    new_state = msgspec.structs.replace(state, epoch=state.epoch + 1, replicas=replicas)
    record = AuditRecord(
        state.audit_count + 1,
        wall_ms,
        change.operator,
        "replace-replica",
        "" if change.old_id is None else _describe(change.old_id, state.replicas[change.old_id]),
        _describe(change.new_id, new_replica),
        f"epoch {new_state.epoch}",
    )
    new_state = append_audit(new_state, record)
    return new_state, _answer(
        "replaced", new_state, f"{change.new_id} votes in epoch {new_state.epoch}"
    )


def _describe(replica_id: str, replica: Replica) -> str:
    return f"{replica_id}={replica.address} key {replica.key}"


def _answer(result: ReplaceResult, state: ControlState, message: str) -> ReplaceAnswer:
    return ReplaceAnswer(result=result, epoch=state.epoch, message=message)
