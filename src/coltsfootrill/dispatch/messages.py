"""Datagrams between the dispatcher of a service and the instances that request upstreams.

Each message is a msgpack array that starts with a number for its type. The requesting instance
chooses the ``token``, which identifies one attempt. Tokens are never reused, not even after a
restart.
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
    """Requests an upstream for one attempt, or renews that request. Times are in milliseconds.

    ``target_ms``, ``rank``, ``priority`` and ``latest_ms`` are copied from the request's kind.
    ``waited_ms`` is the time since the request arrived at the requesting instance, ``age_ms`` the
    time its caller had waited before that, and ``remaining_ms`` the time until its deadline.
    ``is_second_attempt`` marks an attempt that runs in parallel with the first one of the
    request and is granted or refused at once; ``within_ms`` bounds its expected latency.
    ``typical_ms`` is the typical latency of the kind. Upstreams in ``exclude`` must not be chosen.
    ``organisation`` is the name of the caller's organisation, "" if it has none, and
    ``organisation_rank`` its rank, if it has one.
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
    remaining_ms: int
    is_second_attempt: bool
    within_ms: int | None
    typical_ms: float
    exclude: list[str]
    organisation: str = ""
    organisation_rank: int | None = None


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Assigns ``upstream`` to the attempt, which may start."""

    token: int
    upstream: str


class Waiting(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No upstream is free; a final reply follows as long as the request is renewed."""

    token: int


class Denied(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Refuses the attempt.

    The reason ``unavailable`` means that the dispatcher cannot choose: it is stopping, its
    manifest does not contain the service, or it has no usable upstream. The requesting instance
    then chooses itself.
    """

    token: int
    reason: DenialReason


class Release(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Reports the end of an attempt, or withdraws its request.

    ``in_flight``, ``slots`` and ``pace`` are the load that the upstream reported with its answer.
    ``slots`` is 0 without a report, and ``pace`` is ``None`` if the report does not contain it.
    ``per_s`` is the rate of requests that the upstream stated, ``None`` if it stated none.
    """

    token: int
    result: Result
    in_flight: int = 0
    slots: int = 0
    pace: float | None = None
    per_s: float | None = None

    def get_report(self) -> LoadReport | None:
        """Return the load that the upstream reported, ``None`` without a report."""
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
    """Return ``message`` encoded as msgpack."""
    return _encoder.encode(message)


def decode_request(payload: bytes) -> DispatchRequest:
    """Return the request in ``payload``; raise ``msgspec.MsgspecError`` if it is malformed."""
    request: DispatchRequest = _request_decoder.decode(payload)
    return request


def decode_reply(payload: bytes) -> DispatchReply:
    """Return the reply in ``payload``; raise ``msgspec.MsgspecError`` if it is malformed."""
    reply: DispatchReply = _reply_decoder.decode(payload)
    return reply
