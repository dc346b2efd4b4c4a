"""HTTP handlers for the platform's calls to the control port and the readiness port."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated
from typing import Literal

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.hookspecs import hookimpl
from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.model import Identifier
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.http import HttpRequest
from coltsfootrill.operators.interface import ControlInterface
from coltsfootrill.operators.interface import ControlOperations
from coltsfootrill.platform.desired_state import parse_version
from coltsfootrill.registry.announcement import COLD_MAX_MS
from coltsfootrill.registry.announcement import AddressText
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import Count
from coltsfootrill.registry.announcement import InvalidAnnouncementError
from coltsfootrill.registry.announcement import SlotCount
from coltsfootrill.registry.announcement import UpstreamState
from coltsfootrill.registry.announcement import split_address
from coltsfootrill.zones.orders import InvalidZoneOrderError
from coltsfootrill.zones.orders import ZoneAction

HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"
REPLACE_PATH = "/Configuration.Replace"
READ_PATH = "/Configuration.Read"
EVACUATE_PREFIX = "/Evacuation.Start/"
RESTORE_PREFIX = "/Evacuation.Finish/"
READY_PATH = "/readiness"
BASE_VERSION_HEADER = "X-Base-Version"
OPERATOR = "platform"
SYSTEM_CLOCK = Clock()
_STATUS_BY_RESULT = {
    "accepted": "200 OK",
    "conflict": "412 Precondition Failed",
    "older": "412 Precondition Failed",
}
_STATE_BY_STATUS: dict[str, UpstreamState] = {"ready": "serving", "draining": "leaving"}


class _ServerInfo(msgspec.Struct, frozen=True):
    """The upstream: its only service, its availability zone and its number of slots.

    ``concurrency`` is the number of slots. ``version`` is accepted but not used.
    """

    service: Identifier
    zone: Identifier
    concurrency: SlotCount
    version: str = ""


class _Status(msgspec.Struct, frozen=True, rename="camel"):
    """The state of the upstream. ``sequence`` orders the heartbeats of one start.

    ``cold_remaining_ms`` is how much longer the upstream stays slow after its start.
    """

    state: Literal["ready", "draining"]
    sequence: Count
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=COLD_MAX_MS)] = 0


class _Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """One heartbeat of an upstream that listens on ``address``.

    ``born`` is the Unix time in milliseconds at which the upstream started, used as its
    incarnation.
    """

    address: AddressText
    server_info: _ServerInfo
    status: _Status
    born: Count = 0


class _Deregistration(msgspec.Struct, frozen=True):
    """``born`` is the incarnation that leaves, as in ``_Heartbeat``."""

    born: Count | None = None


class _HeartbeatReply(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """``heartbeat_address`` is the address for later heartbeats, absent if it stays the same."""

    heartbeat_address: str | None = None


def decode_heartbeat(upstream_id: str, raw: bytes) -> Announcement:
    """Return the heartbeat as an announcement; raise ``InvalidAnnouncementError`` if invalid.

    What is accepted here is passed on to all instances, so each figure and name is checked.
    """
    known_id = _decode_identifier(upstream_id)
    try:
        heartbeat = msgspec.json.decode(raw, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidAnnouncementError(str(error)) from error
    info = heartbeat.server_info
    split_address(heartbeat.address)
    return Announcement(
        id=known_id,
        incarnation=heartbeat.born,
        sequence=heartbeat.status.sequence,
        address=heartbeat.address,
        zone=info.zone,
        services=[info.service],
        slots=info.concurrency,
        state=_STATE_BY_STATUS[heartbeat.status.state],
        cold_ms=max(0, int(heartbeat.status.cold_remaining_ms)),
    )


def _decode_identifier(text: str) -> str:
    """Return the identifier of an upstream in a path; raise ``InvalidAnnouncementError``."""
    try:
        return msgspec.convert(text, Identifier)
    except msgspec.ValidationError as error:
        raise InvalidAnnouncementError(str(error)) from error


def _decode_deregistration(raw: bytes) -> int | None:
    """Return the incarnation that leaves, ``None`` if the body does not contain it."""
    if not raw.strip():
        return None
    try:
        return msgspec.json.decode(raw, type=_Deregistration).born
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidAnnouncementError(str(error)) from error


class _ControlHandlers:
    """One handler per route; each calls one operation of the node."""

    __slots__ = ("_clock", "_operations")

    def __init__(self, operations: ControlOperations, *, clock: Clock) -> None:
        self._operations = operations
        self._clock = clock

    def handle_heartbeat(self, request: HttpRequest) -> HttpReply:
        try:
            upstream_id = request.path.removeprefix(HEARTBEAT_PREFIX)
            announcement = decode_heartbeat(upstream_id, request.body)
            next_address = self._operations.announce(announcement)
        except InvalidAnnouncementError as error:
            return _reply_with_message("400 Bad Request", str(error))
        except NoQuorumError as error:
            return _reply_with_message("503 Service Unavailable", str(error))
        reply = _HeartbeatReply(heartbeat_address=next_address)
        return HttpReply("200 OK", msgspec.json.encode(reply))

    def handle_deregistration(self, request: HttpRequest) -> HttpReply:
        try:
            upstream_id = _decode_identifier(request.path.removeprefix(DEREGISTER_PREFIX))
            incarnation = _decode_deregistration(request.body)
            # Incarnations are start times, so one that starts later did not send this.
            latest_incarnation = self._clock.wall_ms()
            self._operations.leave(upstream_id, incarnation, latest_incarnation=latest_incarnation)
        except InvalidAnnouncementError as error:
            return _reply_with_message("400 Bad Request", str(error))
        except NoQuorumError as error:
            return _reply_with_message("503 Service Unavailable", str(error))
        return HttpReply("200 OK", b"{}")

    def handle_replace(self, request: HttpRequest) -> HttpReply:
        text = request.get_header(BASE_VERSION_HEADER)
        try:
            base_version = parse_version(text) if text else None
        except ValueError as error:
            return _reply_with_message("400 Bad Request", str(error))
        try:
            reply = self._operations.submit(
                request.body, base_version=base_version, operator=OPERATOR
            )
        except InvalidManifestError as error:
            return _reply_with_message("400 Bad Request", str(error.exceptions[0]))
        except (NoQuorumError, UnknownResultError) as error:
            return _reply_with_message("503 Service Unavailable", str(error))
        return _reply_with_message(_STATUS_BY_RESULT[reply.result], reply.message)

    def handle_evacuate(self, request: HttpRequest) -> HttpReply:
        return self._order_zone("evacuate", request.path.removeprefix(EVACUATE_PREFIX))

    def handle_restore(self, request: HttpRequest) -> HttpReply:
        return self._order_zone("restore", request.path.removeprefix(RESTORE_PREFIX))

    def _order_zone(self, action: ZoneAction, zone: str) -> HttpReply:
        try:
            orders = self._operations.order_zone(action, zone, operator=OPERATOR)
        except InvalidZoneOrderError as error:
            return _reply_with_message("400 Bad Request", str(error))
        except (NoQuorumError, UnknownResultError) as error:
            return _reply_with_message("503 Service Unavailable", str(error))
        return _reply_with_message("200 OK", f"in force since order {orders.number}")

    def handle_read(self, request: HttpRequest) -> HttpReply:
        try:
            answer = self._operations.read_manifest()
        except NoQuorumError as error:
            return _reply_with_message("503 Service Unavailable", str(error))
        if answer.source is not None:
            location = f"http://{answer.source}{READ_PATH}"
            return HttpReply("307 Temporary Redirect", b"", location=location)
        return HttpReply("200 OK", answer.raw)


def _reply_with_message(status: str, message: str) -> HttpReply:
    return HttpReply(status, msgspec.json.encode({"message": message}))


def add_control_routes(
    app: HttpApp, operations: ControlOperations, *, clock: Clock = SYSTEM_CLOCK
) -> None:
    """Add the routes for upstreams and operators."""
    handlers = _ControlHandlers(operations, clock=clock)
    app.add_prefix("POST", HEARTBEAT_PREFIX, handlers.handle_heartbeat)
    app.add_prefix("POST", DEREGISTER_PREFIX, handlers.handle_deregistration)
    app.add("POST", REPLACE_PATH, handlers.handle_replace)
    app.add("GET", READ_PATH, handlers.handle_read)
    app.add_prefix("POST", EVACUATE_PREFIX, handlers.handle_evacuate)
    app.add_prefix("POST", RESTORE_PREFIX, handlers.handle_restore)


def add_ready_routes(app: HttpApp, is_ready: Callable[[], bool]) -> None:
    """Add the route by which the platform checks whether callers may be sent here."""

    def handle_readiness(request: HttpRequest) -> HttpReply:
        if is_ready():
            return _reply_with_message("200 OK", "ready")
        return _reply_with_message("503 Service Unavailable", "not ready")

    app.add("GET", READY_PATH, handle_readiness)


@hookimpl
def coltsfootrill_control_interface() -> ControlInterface:
    """Return the interface ``platform``."""
    return ControlInterface(
        name="platform",
        add_control_routes=add_control_routes,
        add_ready_routes=add_ready_routes,
    )
