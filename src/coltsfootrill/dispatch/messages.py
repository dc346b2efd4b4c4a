"""Datagrams between the instance that chooses upstreams for a service and those that ask it.

All are msgpack arrays behind a number for their type. ``token`` is chosen by the asking instance
and names one attempt; tokens are never used again, also not after a restart.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from coltsfootrill.balancer.claim import Result
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.manifest.model import Priority

REQUEST_TOPIC = b"D"
REPLY_TOPIC = b"G"

DenialReason = Literal["overloaded", "queue-full", "deadline", "no-room", "unavailable"]


class AcquireRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for an upstream for one attempt, or renews that. Times are in milliseconds.

    ``target_ms``, ``rank``, ``priority`` and ``latest_ms`` are those of the request's kind.
    ``waited_ms`` is how long the request has been at the asking instance, ``age_ms`` how long its
    caller had been waiting before, ``left_ms`` the time to its deadline. ``within_ms`` bounds the
    expected answer of an attempt beside another one, which does not wait (``is_extra``).
    ``usual_ms`` is the usual latency of the kind. Upstreams in ``exclude``
    are to be left out.
    """

    token: int
    service: str
    kind: str
    zone: str
    target_ms: int | None
    rank: int
    priority: Priority
    latest_ms: int | None
    waited_ms: int
    age_ms: int
    left_ms: int
    is_extra: bool
    within_ms: int | None
    usual_ms: float
    exclude: list[str]


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The attempt may start at ``upstream``."""

    token: int
    upstream: str


class Waiting(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No upstream is free; the answer follows as long as the question is renewed."""

    token: int


class Denied(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """There will be no upstream for the attempt; ``unavailable`` says that others may choose."""

    token: int
    reason: DenialReason


class Release(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The attempt has ended, or its request waits no more.

    The last fields are the load that the upstream stated with its answer, ``slots`` 0 where it
    stated none; ``pace`` is ``None`` where it is not told.
    """

    token: int
    result: Result
    in_flight: int = 0
    slots: int = 0
    pace: float | None = None

    def get_report(self) -> LoadReport | None:
        """Return the load that the upstream stated."""
        if self.slots < 1:
            return None
        return LoadReport(
            in_flight=self.in_flight, slots=self.slots, state="serving", pace=self.pace
        )


DispatchRequest = AcquireRequest | Release
DispatchReply = Granted | Waiting | Denied

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(DispatchRequest)
_reply_decoder = msgspec.msgpack.Decoder(DispatchReply)


def encode(message: DispatchRequest | DispatchReply) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_request(payload: bytes) -> DispatchRequest:
    """Return the question in ``payload``; raise ``msgspec.MsgspecError`` if there is none."""
    question: DispatchRequest = _request_decoder.decode(payload)
    return question


def decode_reply(payload: bytes) -> DispatchReply:
    """Return the reply in ``payload``; raise ``msgspec.MsgspecError`` if there is none."""
    reply: DispatchReply = _reply_decoder.decode(payload)
    return reply
