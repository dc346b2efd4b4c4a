"""Submission of a manifest to the control state."""

from __future__ import annotations

from typing import Literal

import msgspec

from coltsfootrill.control.messages import AcceptedVersion
from coltsfootrill.control.messages import AuditRecord
from coltsfootrill.control.messages import ControlState

HISTORY_MAX_COUNT = 2_000
AUDIT_MAX_COUNT = 1_000

SubmitResult = Literal["accepted", "conflict", "older", "invalid"]


class SubmitAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an operator: the result, and the digest accepted for the version."""

    result: SubmitResult
    version: int
    digest: str
    message: str


def submit_manifest(
    state: ControlState,
    *,
    version: int,
    digest: str,
    manifest: bytes,
    operator: str,
    wall_ms: int,
    base_version: int | None = None,
) -> tuple[ControlState, SubmitAnswer]:
    """Return the state after a submission, and the answer to it.

    Submissions are idempotent: the same version with the same content gets the same answer, even
    after later versions. If ``base_version`` is given, a new version is accepted only while that
    version is in force.
    """
    known = _find_version(state, version)
    if known is not None and known.digest == digest:
        return state, _answer(
            "accepted", version, digest, "already accepted; in force or replaced by a later version"
        )
    if known is not None:
        message = f"version {version} was accepted with other content; submit a higher version"
        answer = _answer("conflict", version, known.digest, message)
        return _audit(state, operator, wall_ms, digest, f"conflict with {known.digest}"), answer
    if version < state.version:
        message = f"version {state.version} is in force; submit a higher version"
        answer = _answer("older", state.version, state.digest, message)
        return _audit(state, operator, wall_ms, digest, "older version"), answer
    if base_version is not None and base_version != state.version:
        message = (
            f"version {state.version} is in force, not {base_version}; use the one in force as base"
        )
        answer = _answer("conflict", state.version, state.digest, message)
        return _audit(state, operator, wall_ms, digest, f"built on {base_version}"), answer
    audited = _audit(state, operator, wall_ms, digest, "accepted")
    history = [*state.history, AcceptedVersion(version, digest, wall_ms)][-HISTORY_MAX_COUNT:]
    new_state = msgspec.structs.replace(
        audited, version=version, digest=digest, manifest=manifest, history=history
    )
    return new_state, _answer("accepted", version, digest, "accepted by a majority")


def refuse_invalid(
    state: ControlState, *, digest: str, operator: str, wall_ms: int
) -> tuple[ControlState, None]:
    """Return the state with an audit record of a manifest with invalid content."""
    return _audit(state, operator, wall_ms, digest, "invalid"), None


def append_audit(state: ControlState, record: AuditRecord) -> ControlState:
    """Append an audit record; only the newest ``AUDIT_MAX_COUNT`` are retained."""
    return msgspec.structs.replace(
        state,
        audit=[*state.audit, record][-AUDIT_MAX_COUNT:],
        audit_count=state.audit_count + 1,
    )


def _audit(
    state: ControlState, operator: str, wall_ms: int, digest: str, result: str
) -> ControlState:
    record = AuditRecord(
        state.audit_count + 1,
        wall_ms,
        operator,
        "submit-manifest",
        state.digest,
        digest,
        result,
    )
    return append_audit(state, record)


def _find_version(state: ControlState, version: int) -> AcceptedVersion | None:
    for known in reversed(state.history):
        if known.version == version:
            return known
    return None


def _answer(result: SubmitResult, version: int, digest: str, message: str) -> SubmitAnswer:
    return SubmitAnswer(result=result, version=version, digest=digest, message=message)
