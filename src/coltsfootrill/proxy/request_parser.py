"""Parses callers' requests with waitress, and bounds what their bodies take."""

from __future__ import annotations

from typing import Any

import waitress.parser
from waitress.adjustments import Adjustments
from waitress.utilities import BadRequest

from coltsfootrill.proxy.block_buffer import BlockBuffer
from coltsfootrill.proxy.body_budget import SMALL_BODY_MAX_BYTES
from coltsfootrill.proxy.body_budget import BodyReservation

# A body in chunks does not state its length, so memory for it is reserved in steps.
RESERVATION_STEP_BYTES = 1024 * 1024
# Of the size of a chunk with its extensions, and of all trailers.
CHUNK_FRAMING_MAX_BYTES = 16 * 1024


class RequestParser(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """Parses one request; refuses ambiguous framing, which would allow request smuggling.

    ``is_body_refused`` is set, and the request complete, when there is no room for its body.
    ``close`` frees the body.
    """

    command: str
    completed: bool
    connection_close: bool
    # A receiver of waitress, which passes the bytes of the body to its buffer, or ``None``.
    body_rcv: Any
    # An error of waitress, with a status code and a reason, or ``None``.
    error: Any
    headers: dict[str, str]
    path: str
    request_uri: str
    version: str

    def __init__(self, adjustments: Adjustments, reservation: BodyReservation) -> None:
        super().__init__(adjustments)
        self._reservation = reservation
        self.is_body_refused = False

    @property
    def body(self) -> BlockBuffer:
        """Return the body, which is empty if the request has none."""
        return BlockBuffer() if self.body_rcv is None else self.body_rcv.buf

    def received(self, data: bytes) -> int:
        """Parse bytes; return how many belong to the request."""
        consumed: int = super().received(data)
        if self.error is not None or self.body_rcv is None:
            return consumed
        if self._has_endless_framing():
            self.error = BadRequest("the framing of a chunk, or the trailers, are too long")
            self.completed = True
        elif not self._reservation.extend_to(self._get_body_bytes()):
            self.is_body_refused = True
            self.body_rcv = None
            self.connection_close = True
            self.completed = True
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head; raise ``ParsingError`` if it is ambiguous."""
        head = header_plus.lower()
        has_chunks = b"\ntransfer-encoding:" in head
        if has_chunks and b"\ncontent-length:" in head:
            raise waitress.parser.ParsingError(
                "both Content-Length and Transfer-Encoding are given; only one is accepted"
            )
        if head.count(b"\nhost:") > 1 or head.count(b"\ncontent-length:") > 1:
            raise waitress.parser.ParsingError("Host or Content-Length is given more than once")
        try:
            super().parse_header(header_plus)
        except waitress.parser.ParsingError as error:
            # Waitress quotes the line, which may hold a secret.
            raise waitress.parser.ParsingError(str(error).partition('"')[0].rstrip()) from None
        if has_chunks and self.version != "1.1":
            raise waitress.parser.ParsingError("Transfer-Encoding requires HTTP/1.1")
        if self.body_rcv is not None:
            # Waitress would write large bodies to files, which count as memory on some platforms.
            self.body_rcv.buf = BlockBuffer()

    def close(self) -> None:
        """Free the body and its reservation."""
        self.body_rcv = None
        self._reservation.release()

    def _get_body_bytes(self) -> int:
        if not self.chunked:
            return int(self.content_length)
        received_bytes = int(self.body_bytes_received)
        if received_bytes <= SMALL_BODY_MAX_BYTES:
            return received_bytes
        return -(-received_bytes // RESERVATION_STEP_BYTES) * RESERVATION_STEP_BYTES

    def _has_endless_framing(self) -> bool:
        if not self.chunked:
            return False
        receiver = self.body_rcv
        return max(len(receiver.control_line), len(receiver.trailer)) > CHUNK_FRAMING_MAX_BYTES
