"""Datagrams between the deciders of a quota and the instances that ask them for tokens.

Each message is a msgpack array that starts with a number for its type. ``number`` identifies an
exchange; its sender increases it, and starts higher than before a restart.
"""

from __future__ import annotations

import msgspec

ASK_TOPIC = b"Q"
ANSWER_TOPIC = b"T"
SEAT_TOPIC = b"U"


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for tokens: ``needed`` for requests that wait, and ``wanted`` in all."""

    number: int
    organisation: str
    needed: int
    wanted: int


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks another decider of the same quota to hand over up to ``wanted`` tokens."""

    number: int
    organisation: str
    wanted: int


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Hands out tokens that may be used until ``valid_ms`` after they were asked for.

    If they are fewer than needed, asking again is useful after ``wait_ms``, and from then on there
    is about one token every ``interval_ms``.
    """

    number: int
    count: int
    valid_ms: float
    wait_ms: float = 0.0
    interval_ms: float = 0.0


class Denied(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The quota is used up. Asking again is useful after ``wait_ms``.

    From then on there is about one token every ``interval_ms``. ``is_local`` means that another
    decider of the quota may have tokens now.
    """

    number: int
    wait_ms: float
    interval_ms: float
    is_local: bool


class Unavailable(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The sender does not decide about this quota, or not yet."""

    number: int


class Transfer(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Hands over tokens from one decider to another."""

    number: int
    organisation: str
    count: int


class HeldQuestion(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks another instance for how long it has listed ``holder`` as a decider of a quota."""

    organisation: str
    holder: str


class HeldAnswer(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Tells for how long, without a break, the sender has listed the receiver as a decider.

    ``is_rival`` means that the sender decides itself and does not list the receiver. ``is_new``
    means that the sender has observed the fleet for too short a time to have got a seat.
    """

    organisation: str
    held_ms: float
    is_rival: bool
    is_new: bool = False


SeatMessage = Pull | Transfer | HeldQuestion | HeldAnswer
AskAnswer = Granted | Denied | Unavailable
_ask_decoder = msgspec.msgpack.Decoder(Ask)
_answer_decoder = msgspec.msgpack.Decoder(Granted | Denied | Unavailable)
_seat_decoder = msgspec.msgpack.Decoder(Pull | Transfer | HeldQuestion | HeldAnswer)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Ask | AskAnswer | SeatMessage) -> bytes:
    """Return a message as bytes."""
    return _encoder.encode(message)


def decode_ask(data: bytes) -> Ask:
    """Return a question for tokens; raise ``msgspec.MsgspecError`` if it is malformed."""
    return _ask_decoder.decode(data)


def decode_answer(data: bytes) -> AskAnswer:
    """Return the answer to a question; raise ``msgspec.MsgspecError`` if it is malformed."""
    answer: AskAnswer = _answer_decoder.decode(data)
    return answer


def decode_seat_message(data: bytes) -> SeatMessage:
    """Return a message between deciders; raise ``msgspec.MsgspecError`` if it is malformed."""
    message: SeatMessage = _seat_decoder.decode(data)
    return message
