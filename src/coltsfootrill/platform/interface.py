"""The platform's calls to the control port and the readiness port."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import msgspec

from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.http import HttpRequest
from coltsfootrill.operators.interface import ControlInterface
from coltsfootrill.operators.interface import ControlOperations
from coltsfootrill.platform.desired_state import parse_version
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import InvalidAnnouncementError
from coltsfootrill.registry.announcement import UpstreamState
from coltsfootrill.registry.announcement import split_address

HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"
REPLACE_PATH = "/Configuration.Replace"
READ_PATH = "/Configuration.Read"
READY_PATH = "/readiness"
BASE_VERSION_HEADER = "X-Base-Version"
OPERATOR = "platform"
_SLOTS_MAX = 10_000
_STATUS_BY_RESULT = {
    "accepted": "200 OK",
    "conflict": "412 Precondition Failed",
    "older": "412 Precondition Failed",
}
_STATE_BY_WORD: dict[str, UpstreamState] = {"ready": "serving", "draining": "leaving"}


class _ServerInfo(msgspec.Struct, frozen=True):
    """``concurrency`` is the number of slots."""

    service: str
    zone: str
    concurrency: int
    version: str = ""


class _Status(msgspec.Struct, frozen=True, rename="camel"):
    """``cold_remaining_ms`` tells how much longer the upstream is slow after its start."""

    state: Literal["ready", "draining"]
    sequence: int
    cold_remaining_ms: float = 0


class _Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """``born`` is the Unix time of the upstream's start in milliseconds: its incarnation."""

    address: str
    server_info: _ServerInfo
    status: _Status
    born: int = 0


class _Deregistration(msgspec.Struct, frozen=True):
    born: int | None = None


class _HeartbeatReply(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    heartbeat_address: str | None = None


def decode_heartbeat(upstream_id: str, raw: bytes) -> Announcement:
    """Return the announcement in a heartbeat; raise ``InvalidAnnouncementError``."""
    try:
        beat = msgspec.json.decode(raw, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidAnnouncementError(str(error)) from error
    info = beat.server_info
    split_address(beat.address)
    if not upstream_id or not info.service or not info.zone:
        raise InvalidAnnouncementError("id, service and zone must not be empty")
    if not 1 <= info.concurrency <= _SLOTS_MAX or beat.status.sequence < 0 or beat.born < 0:
        raise InvalidAnnouncementError("slots, sequence or start are out of range")
    return Announcement(
        id=upstream_id,
        incarnation=beat.born,
        sequence=beat.status.sequence,
        address=beat.address,
        zone=info.zone,
        services=[info.service],
        slots=info.concurrency,
        state=_STATE_BY_WORD[beat.status.state],
        cold_ms=max(0, int(beat.status.cold_remaining_ms)),
    )


def _decode_deregistration(raw: bytes) -> int | None:
    """Return the incarnation that leaves, ``None`` when the body does not tell it."""
    if not raw.strip():
        return None
    try:
        return msgspec.json.decode(raw, type=_Deregistration).born
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidAnnouncementError(str(error)) from error


class _Responders:
    """Answers one call each, by the operations of the node."""

    __slots__ = ("_operations",)

    def __init__(self, operations: ControlOperations) -> None:
        self._operations = operations

    def answer_heartbeat(self, request: HttpRequest) -> HttpReply:
        try:
            upstream_id = request.path.removeprefix(HEARTBEAT_PREFIX)
            announcement = decode_heartbeat(upstream_id, request.body)
            next_address = self._operations.announce(announcement)
        except InvalidAnnouncementError as error:
            return _explain("400 Bad Request", str(error))
        except NoQuorumError as error:
            return _explain("503 Service Unavailable", str(error))
        reply = _HeartbeatReply(heartbeat_address=next_address)
        return HttpReply("200 OK", msgspec.json.encode(reply))

    def answer_deregistration(self, request: HttpRequest) -> HttpReply:
        try:
            upstream_id = request.path.removeprefix(DEREGISTER_PREFIX)
            self._operations.leave(upstream_id, _decode_deregistration(request.body))
        except InvalidAnnouncementError as error:
            return _explain("400 Bad Request", str(error))
        except NoQuorumError as error:
            return _explain("503 Service Unavailable", str(error))
        return HttpReply("200 OK", b"{}")

    def answer_replace(self, request: HttpRequest) -> HttpReply:
        text = request.get_header(BASE_VERSION_HEADER)
        try:
            base_version = parse_version(text) if text else None
        except ValueError as error:
            return _explain("400 Bad Request", str(error))
        try:
            answer = self._operations.submit(
                request.body, base_version=base_version, operator=OPERATOR
            )
        except InvalidManifestError as error:
            return _explain("400 Bad Request", str(error.exceptions[0]))
        except (NoQuorumError, UnknownResultError) as error:
            return _explain("503 Service Unavailable", str(error))
        return _explain(_STATUS_BY_RESULT[answer.result], answer.message)

    def answer_read(self, request: HttpRequest) -> HttpReply:
        try:
            raw = self._operations.read_manifest()
        except NoQuorumError as error:
            return _explain("503 Service Unavailable", str(error))
        return HttpReply("200 OK", raw)


def _explain(status: str, message: str) -> HttpReply:
    return HttpReply(status, msgspec.json.encode({"message": message}))


def add_control_routes(app: HttpApp, operations: ControlOperations) -> None:
    """Serve upstreams and operators."""
    responders = _Responders(operations)
    app.add_prefix("POST", HEARTBEAT_PREFIX, responders.answer_heartbeat)
    app.add_prefix("POST", DEREGISTER_PREFIX, responders.answer_deregistration)
    app.add("POST", REPLACE_PATH, responders.answer_replace)
    app.add("GET", READ_PATH, responders.answer_read)


def add_ready_routes(app: HttpApp, is_ready: Callable[[], bool]) -> None:
    """Serve the platform's balancer, which asks whether callers may be sent here."""

    def answer(request: HttpRequest) -> HttpReply:
        if is_ready():
            return _explain("200 OK", "ready")
        return _explain("503 Service Unavailable", "not ready")

    app.add("GET", READY_PATH, answer)


@hookimpl
def coltsfootrill_control_interface() -> ControlInterface:
    """Return the interface ``platform``."""
    return ControlInterface(
        name="platform",
        add_control_routes=add_control_routes,
        add_ready_routes=add_ready_routes,
    )
