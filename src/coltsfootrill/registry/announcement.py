"""What an upstream announces about itself, as it arrives over HTTP."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Literal

import msgspec

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.model import Identifier

SIZE_MAX_BYTES = 16 * 1024
PORT_MAX = 65_535

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
AddressText = Annotated[str, msgspec.Meta(min_length=3, max_length=64)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
COLD_MAX_MS = 3_600_000
UpstreamState = Literal["starting", "serving", "leaving"]


class InvalidAnnouncementError(ColtsfootrillError):
    """Raised for an announcement that is malformed or has an invalid address."""


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One announcement.

    ``incarnation`` grows with each start of the upstream and ``sequence`` with each announcement
    of one incarnation. ``sent_at_ms`` is read from the upstream's own clock; only differences of
    it are used. ``cold_ms`` is for how much longer the upstream expects to be slow after its start.
    """

    id: Identifier
    incarnation: Count
    sequence: Count
    address: AddressText
    zone: Identifier
    services: Annotated[list[Identifier], msgspec.Meta(min_length=1, max_length=64)]
    slots: SlotCount
    state: UpstreamState
    sent_at_ms: Count = 0
    cold_ms: Annotated[int, msgspec.Meta(ge=0, le=COLD_MAX_MS)] = 0


_decoder = msgspec.json.Decoder(Announcement)


def decode_announcement(raw: bytes) -> Announcement:
    """Return the announcement in ``raw`` or raise ``InvalidAnnouncementError``."""
    if len(raw) > SIZE_MAX_BYTES:
        raise InvalidAnnouncementError(
            f"the announcement has {len(raw)} bytes; at most {SIZE_MAX_BYTES} are accepted"
        )
    try:
        announcement = _decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidAnnouncementError(str(error)) from error
    split_address(announcement.address)
    return announcement


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``ip:port``; raise ``InvalidAnnouncementError``."""
    host, _, port_text = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        port = int(port_text) if port_text.isascii() and port_text.isdigit() else -1
    except ValueError as error:
        raise InvalidAnnouncementError(f"{address!r} is not ip:port ({error})") from error
    if not 0 < port <= PORT_MAX:
        raise InvalidAnnouncementError(f"{address!r} has no port between 1 and {PORT_MAX}")
    return host.strip("[]"), port
