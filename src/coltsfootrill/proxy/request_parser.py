"""Parses callers' requests with waitress, and bounds what their bodies take."""

from __future__ import annotations

import re
from typing import Any

import waitress.parser
from waitress.adjustments import Adjustments
from waitress.utilities import RequestEntityTooLarge

from coltsfootrill.proxy.block_buffer import BlockBuffer
from coltsfootrill.proxy.body_budget import FREE_BODY_MAX_BYTES
from coltsfootrill.proxy.body_budget import SMALL_BODY_MAX_BYTES
from coltsfootrill.proxy.body_budget import BodyReservation
from coltsfootrill.proxy.chunk_decoder import ChunkDecoder

# A body in chunks does not state its length, so memory for it is reserved in steps.
RESERVATION_STEP_BYTES = 1024 * 1024
SMALL_RESERVATION_STEP_BYTES = 16 * 1024
# More digits than any limit has; Python refuses to convert thousands of them.
_LONG_LENGTH = re.compile(rb"\ncontent-length:[ \t]*[0-9]{19}")


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
        # Waitress refuses a body of this size already.
        self._body_max_bytes = int(adjustments.max_request_body_size) - 1
        self._reservation = reservation
        self.is_body_refused = False
        self._has_long_length = False

    @property
    def body(self) -> BlockBuffer:
        """Return the body, which is empty if the request has none."""
        return BlockBuffer() if self.body_rcv is None else self.body_rcv.buf

    @property
    def room_bytes(self) -> int:
        """Return how much of the memory reserved for the body is not used yet."""
        if self.body_rcv is None:
            return 0
        return self._reservation.reserved_bytes - len(self.body_rcv)

    def received(self, data: bytes) -> int:
        """Parse bytes; return how many belong to the request."""
        if self.body_rcv is None:
            consumed: int = super().received(data)
            if self._has_long_length or isinstance(self.error, RequestEntityTooLarge):
                self.error = self._make_too_large()
        else:
            consumed = self._receive_body(data)
        if self.error is None and self.body_rcv is not None:
            if not self._reservation.extend_to(self._get_body_bytes()):
                self.refuse_body()
        return consumed

    def refuse(self) -> None:
        """Complete a request of which not even the head may have arrived."""
        if not self.headers_finished:
            self.command = self.path = self.request_uri = ""
        self.refuse_body()

    def refuse_body(self) -> None:
        """Complete the request without its body, for which there is no room."""
        self.is_body_refused = True
        self.close()
        self.connection_close = True
        self.completed = True

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
        if _LONG_LENGTH.search(head):
            self._has_long_length = True
            raise waitress.parser.ParsingError("Content-Length has too many digits")
        try:
            super().parse_header(header_plus)
        except waitress.parser.ParsingError as error:
            # Waitress quotes the line, which may hold a secret.
            raise waitress.parser.ParsingError(str(error).partition('"')[0].rstrip()) from None
        except ValueError:
            # Of Python, for a host that is no address, or a length in more digits than it converts.
            raise waitress.parser.ParsingError("The target or the length is invalid") from None
        if has_chunks and self.version != "1.1":
            raise waitress.parser.ParsingError("Transfer-Encoding requires HTTP/1.1")
        if self.chunked:
            self.body_rcv = ChunkDecoder()
        elif self.body_rcv is not None:
            # Waitress would write large bodies to files, which count as memory on some platforms.
            self.body_rcv.buf = BlockBuffer()

    def close(self) -> None:
        """Free the body and its reservation."""
        self.body_rcv = None
        self._reservation.release()

    def _receive_body(self, data: bytes) -> int:
        receiver = self.body_rcv
        consumed = int(receiver.received(data))
        self.body_bytes_received += consumed
        if receiver.error:
            self.error = receiver.error
        elif self.chunked and receiver.announced_bytes > self._body_max_bytes:
            self.error = self._make_too_large()
        elif receiver.completed and self.chunked:
            # Upstreams get the body with its length.
            self.headers["CONTENT_LENGTH"] = str(len(receiver))
        self.completed = bool(self.error or receiver.completed)
        return consumed

    def _make_too_large(self) -> RequestEntityTooLarge:
        return RequestEntityTooLarge(f"the body exceeds the limit of {self._body_max_bytes} bytes")

    def _get_body_bytes(self) -> int:
        if not self.chunked:
            return int(self.content_length)
        received_bytes = len(self.body_rcv)
        if received_bytes <= FREE_BODY_MAX_BYTES:
            return received_bytes
        is_small = received_bytes <= SMALL_BODY_MAX_BYTES
        step_bytes = SMALL_RESERVATION_STEP_BYTES if is_small else RESERVATION_STEP_BYTES
        return -(-received_bytes // step_bytes) * step_bytes
