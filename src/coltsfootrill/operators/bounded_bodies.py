"""Bounds the memory that the bodies of operators and announcements take on one port."""

from __future__ import annotations

import weakref
from typing import Any

from absl import logging
from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.utilities import Error

from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.body_budget import BodyReservation

# Of all bodies above 64 KiB that are being received or handled.
BODIES_MAX_BYTES = 16 * 1024 * 1024
# A body in chunks does not state its length, so memory for it is reserved in steps.
_STEP_BYTES = 256 * 1024
_UNSENT_LOG_INTERVAL_S = 1


class _NoRoomError(Error):  # type: ignore[misc]
    code = 503
    reason = "Service Unavailable"


class _DiscardingBuffer:
    """Stands for the buffer of a body that is refused, and holds nothing of it."""

    def __len__(self) -> int:
        return 0

    def append(self, data: bytes) -> None:
        """Drop bytes."""

    def close(self) -> None:
        """Do nothing."""


class _BoundedParser(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request; refuses its body with 503 if there is no room for it.

    The rest of a refused body is discarded first: a connection that closes with unread bytes is
    reset, and its sender could lose the answer.
    """

    # An error of waitress, or ``None``.
    error: Any

    def __init__(self, adjustments: Adjustments, budget: BodyBudget) -> None:
        super().__init__(adjustments)
        self._reservation = BodyReservation(budget)
        self._is_refused = False
        # A request that its sender cuts off is not closed.
        weakref.finalize(self, self._reservation.release)

    def received(self, data: bytes) -> int:
        """Parse bytes; return how many belong to the request."""
        consumed: int = super().received(data)
        if self.error is None and self.body_rcv is not None and not self._is_refused:
            if not self._reservation.extend_to(self._count_body_bytes()):
                self._refuse()
        if self._is_refused and self.completed and self.error is None:
            self.error = _NoRoomError("this instance holds too many large bodies")
        return consumed

    def close(self) -> None:
        """Free the body and its reservation."""
        super().close()
        self._reservation.release()

    def _refuse(self) -> None:
        """Free what has been received, and keep nothing of the rest."""
        self._is_refused = True
        self._reservation.release()
        self.body_rcv.getbuf().close()
        self.body_rcv.buf = _DiscardingBuffer()

    def _count_body_bytes(self) -> int:
        if not self.chunked:
            return int(self.content_length)
        return -(-int(self.body_bytes_received) // _STEP_BYTES) * _STEP_BYTES


def make_channel_class(bodies_max_bytes: int = BODIES_MAX_BYTES) -> Any:
    """Return a class of waitress's channels whose requests share a bound for their bodies."""
    budget = BodyBudget(bodies_max_bytes)

    class BoundedChannel(HTTPChannel):  # type: ignore[misc]
        parser_class = staticmethod(lambda adjustments: _BoundedParser(adjustments, budget))

        def write_soon(self, data: Any) -> int:
            """Send a part of the reply to the oldest request; free its body first.

            ``HttpApp`` has read the body by then, and a caller that has its answer may send the
            next body at once. Waitress closes the request only after the reply, perhaps much later.
            """
            for request in self.requests[:1]:
                request.close()
            sent_bytes: int = super().write_soon(data)
            return sent_bytes

        def handle_close(self) -> None:
            """Close the connection; log what has not been sent of a reply."""
            if self.total_outbufs_len:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'connection closed before its reply was sent unsent_bytes="%d"',
                    _UNSENT_LOG_INTERVAL_S,
                    self.total_outbufs_len,
                )
            super().handle_close()

    return BoundedChannel
