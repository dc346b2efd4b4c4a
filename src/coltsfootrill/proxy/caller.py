"""A caller's connection: parses complete requests and sends answers in the order of requests.

A caller may pipeline requests. They are processed concurrently: as soon as more bytes arrive, the
thread that processes a request has another thread read the next one. Each answer waits until all
answers before it have been sent.
"""

from __future__ import annotations

import math
import socket
import threading
from collections.abc import Callable
from typing import Literal

from absl import logging
from waitress.adjustments import Adjustments

from coltsfootrill.clock import Clock
from coltsfootrill.manifest.model import DEADLINE_MAX_MS
from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.body_budget import BodyReservation
from coltsfootrill.proxy.caller_socket import RECEIVE_BYTES
from coltsfootrill.proxy.caller_socket import CallerSocket
from coltsfootrill.proxy.eviction import ConnectionState
from coltsfootrill.proxy.request_parser import RequestParser
from coltsfootrill.proxy.sending import WRITE_TIMEOUT_MS
from coltsfootrill.proxy.sending import Sender
from coltsfootrill.proxy.sending import UnreadAnswers
from coltsfootrill.proxy.sockets import has_unread_bytes
from coltsfootrill.proxy.turns import Turn
from coltsfootrill.proxy.turns import TurnOrder

# Received at a time where no memory is reserved for more.
UNRESERVED_RECEIVE_BYTES = 8 * 1024
# Smaller bodies arrive in a few parts of what the kernel holds for each connection.
WIDE_BODY_MIN_BYTES = 128 * 1024
# Fewer bytes of a request do not keep it from counting as stalled.
PROGRESS_MIN_BYTES = 4 * 1024
# The kernel takes 0 for no timeout.
TIMEOUT_MIN_MS = 1.0
# From the first byte of a request to its last.
REQUEST_TIMEOUT_MS = 60_000.0
PIPELINED_REQUESTS_MAX_COUNT = 8
TURN_WAIT_MAX_MS = DEADLINE_MAX_MS + WRITE_TIMEOUT_MS
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# May stand before a request and belongs to none.
LINE_END = b"\r\n"
# The caller has closed, no request came, one did not arrive in time, or another thread decided it.
EndCause = Literal["caller", "idle", "stalled", "evicted", "stopping"]


class CallerConnection:
    """A caller's connection with its pipelined requests.

    ``is_busy`` is true from the first byte of a request until the turns of all requests read have
    ended. One thread at a time reads. One at a time writes: the one whose turn it is, or the one
    that reads while there are no turns to answer.
    """

    __slots__ = (
        "_clock",
        "_is_ended_idle",
        "_is_lingering",
        "_is_receiving",
        "_order",
        "_reservation",
        "_sender",
        "_socket",
        "_unparsed",
        "_users",
        "_users_lock",
        "active_ms",
        "dropped_count",
        "end_cause",
        "is_end_announced",
        "is_evicted",
    )

    def __init__(
        self, sock: socket.socket, clock: Clock, unread: UnreadAnswers | None = None
    ) -> None:
        self._socket = CallerSocket(sock, clock)
        self._clock = clock
        self._sender = Sender(sock, clock, unread or UnreadAnswers())
        self._unparsed = b""
        self._is_receiving = False
        self._order = TurnOrder()
        self._users_lock = threading.Lock()
        self._users = 1
        self._is_lingering = False
        # Whether it ended without an answer that announced the end.
        self._is_ended_idle = False
        self._reservation: BodyReservation | None = None
        self.is_evicted = False
        # Why no further request is read, once that is decided.
        self.end_cause: EndCause | None = None
        # Whether an answer was made that tells its caller that it is the last one.
        self.is_end_announced = False
        # Requests that were read whole and got no turn.
        self.dropped_count = 0
        # When it opened, a request arrived, or ``PROGRESS_MIN_BYTES`` more of one.
        self.active_ms = clock.now_ms()

    @property
    def sock(self) -> socket.socket:
        """Return the socket."""
        return self._socket.sock

    @property
    def discarded_bytes(self) -> int:
        """Return how many bytes were received after the last answer and not looked at."""
        return self._socket.discarded_bytes

    @property
    def state(self) -> ConnectionState:
        """Return what the connection does."""
        if self._is_lingering:
            return "lingering"
        if self._order.is_busy:
            return "busy"
        return "receiving" if self._is_receiving else "idle"

    @property
    def reserved_bytes(self) -> int:
        """Return how much memory is reserved for the body of a request that is still arriving."""
        reservation = self._reservation
        return 0 if reservation is None else reservation.reserved_bytes

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being received or its turn has not ended."""
        return self._is_receiving or self._order.is_busy

    @property
    def is_closing(self) -> bool:
        """Return whether it was asked to close, so that a request read now is refused."""
        return self._order.is_closing

    @property
    def unsent_count(self) -> int:
        """Return how many turns have ended without their answer being sent."""
        return self._order.unsent_count

    @property
    def failure(self) -> str:
        """Return why answers were not sent, empty if they were."""
        return self._order.failure

    def wait_for_request(self, get_limits: Callable[[], CallerLimits]) -> bool:
        """Wait until bytes of a request have arrived; return whether any have.

        The idle timeout is that of the limits in force, also if these change meanwhile.
        """
        idle_since_ms = self._clock.now_ms()
        timeout_ms: float = get_limits().idle_timeout_ms
        while not self._unparsed:
            data = self._socket.receive(UNRESERVED_RECEIVE_BYTES, timeout_ms)
            self._unparsed = (data or b"").lstrip(LINE_END)
            if self._unparsed:
                break
            now_ms = self._clock.now_ms()
            if self._order.is_busy:
                # While an earlier request is being answered, the connection is not idle.
                idle_since_ms = now_ms
            timeout_ms = get_limits().idle_timeout_ms - (now_ms - idle_since_ms)
            has_ended = data == b""
            if has_ended or timeout_ms < TIMEOUT_MIN_MS:
                self._unparsed = self._end_reading("caller" if has_ended else "idle")
                if not self._unparsed:
                    return False
        self._is_receiving = True
        return True

    def receive(
        self, adjustments: Adjustments, limits: CallerLimits, budget: BodyBudget
    ) -> RequestParser | None:
        """Return the next request once it is parsed, ``None`` at the end of the stream.

        The caller of this method closes the request, which frees its share of ``budget``. Raises
        ``OSError`` when no bytes arrive within ``receive_timeout_ms`` of ``limits``, or when the
        request takes longer than ``REQUEST_TIMEOUT_MS``.
        """
        reservation = self._reservation = BodyReservation(budget)
        parser = None
        try:
            parser = self._receive(adjustments, limits, reservation)
        finally:
            self._reservation = None
            if parser is None:
                reservation.release()
        return parser

    def _receive(
        self, adjustments: Adjustments, limits: CallerLimits, reservation: BodyReservation
    ) -> RequestParser | None:
        parser = RequestParser(adjustments, reservation)
        until_ms = math.inf
        progress_bytes = PROGRESS_MIN_BYTES
        data = self._unparsed
        self._unparsed = b""
        while not parser.completed:
            if not data:
                room_bytes = max(UNRESERVED_RECEIVE_BYTES, parser.room_bytes)
                data = self._receive_more(min(room_bytes, RECEIVE_BYTES), limits)
                if not data:
                    return self._end_stream(parser)
            progress_bytes += len(data)
            if progress_bytes >= PROGRESS_MIN_BYTES:
                progress_bytes = 0
                self.active_ms = self._clock.now_ms()
            self._is_receiving = True
            consumed = parser.received(data)
            data = data[consumed:]
            self._widen_if_large(parser, reservation)
            if parser.empty:
                parser = RequestParser(adjustments, reservation)
            if parser.expect_continue and parser.headers_finished and not parser.completed:
                parser.expect_continue = False
                if not self._send_continue(limits.receive_timeout_ms):
                    return None
            if not parser.completed:
                until_ms = self._check_duration(until_ms)
        self._unparsed = data.lstrip(LINE_END)
        return parser

    def _receive_more(self, count_max: int, limits: CallerLimits) -> bytes:
        """Return more bytes of a request, none at the end of the stream.

        Raises ``TimeoutError`` if it has stalled.
        """
        data = self._socket.receive(count_max, limits.receive_timeout_ms)
        if not data:
            data = self._socket.receive_now(count_max) or data
        if data is None:
            self.end_cause = self.end_cause or "stalled"
            raise TimeoutError("a request has stalled")
        if not data:
            self.end_cause = self.end_cause or "caller"
        return data

    def _end_reading(self, cause: EndCause) -> bytes:
        """Let an idle caller see the end, unless bytes have arrived; return these.

        The end is sent at once, before the caller sends another request.
        """
        if not self.is_busy:
            data = self._socket.end_if_empty(UNRESERVED_RECEIVE_BYTES)
            if data:
                return data
            self._is_ended_idle = self.close_if_idle()
        self.end_cause = self.end_cause or cause
        return b""

    def _widen_if_large(self, parser: RequestParser, reservation: BodyReservation) -> None:
        """Let more of a large body arrive at a time, unless many others do.

        The connection closes after its answer, since what the kernel may hold is not taken back
        from a sender at once.
        """
        is_large = reservation.reserved_bytes >= WIDE_BODY_MIN_BYTES
        if self._socket.is_wide or parser.completed or not is_large:
            return
        if self._socket.widen(reservation.budget):
            parser.connection_close = True

    def _check_duration(self, until_ms: float) -> float:
        """Return until when a request that is still incomplete has to be received.

        Raises ``TimeoutError`` when that time has passed.
        """
        now_ms = self._clock.now_ms()
        if now_ms > until_ms:
            self.end_cause = self.end_cause or "stalled"
            raise TimeoutError("a request takes too long")
        return min(until_ms, now_ms + REQUEST_TIMEOUT_MS)

    def _end_stream(self, parser: RequestParser) -> RequestParser | None:
        """Return the request in progress as refused if the connection was asked to close."""
        if not self.is_closing:
            return None
        parser.refuse()
        return parser

    def evict(self) -> bool:
        """Close a connection on which no request is being answered; return whether it will be.

        A request whose head has arrived is refused. A connection with unread bytes stays open.
        """
        if self._is_lingering:
            self.is_evicted = True
            self._socket.shut_down(socket.SHUT_RDWR)
            return True
        if has_unread_bytes(self.sock):
            self.active_ms = self._clock.now_ms()
            return False
        self.is_evicted = self.ask_to_close("evicted")
        return self.is_evicted

    def ask_to_close(self, cause: EndCause) -> bool:
        """Let the thread that reads close the connection unless a request is being answered.

        Return whether it will. Only that thread knows whether it has received a request meanwhile;
        that one is the last.
        """
        if not self._order.ask_to_close():
            return False
        self.end_cause = self.end_cause or cause
        self._socket.shut_down(socket.SHUT_RD)
        return True

    def _send_continue(self, timeout_ms: float) -> bool:
        """Ask for the body of a request; return whether the connection takes more requests.

        An interim answer belongs to the first request without an answer, so all requests before
        are answered first. Without it, as after ``timeout_ms``, callers send the body nevertheless.
        """
        try:
            if not self._order.wait_until_all_sent(timeout_ms=timeout_ms):
                return False
        except TimeoutError:
            return True
        self._sender.send(CONTINUE)
        return True

    def take_turn(self) -> Turn | None:
        """Return the turn of the request just read; ``None`` if it is not to be processed."""
        turn = self._order.take()
        self._is_receiving = bool(self._unparsed)
        if turn is None:
            self.dropped_count += 1
        else:
            turn.free_at_end(self._shut_down_if_over)
        return turn

    def close_if_idle(self) -> bool:
        """Take no more turns unless a request is in progress; return whether there was none.

        Only the thread that reads calls this; others ask it to close the connection.
        """
        return not self._is_receiving and self._order.close_if_idle()

    def may_read_on(self) -> bool:
        """Return whether another request may be read before those in progress are answered."""
        return self._order.unended_count < PIPELINED_REQUESTS_MAX_COUNT

    def has_unparsed_bytes(self) -> bool:
        """Return whether part of the next request has been read already."""
        return bool(self._unparsed)

    def answer(
        self,
        turn: Turn,
        encode: Callable[[bool], bytes],
        *,
        wants_close: Callable[[], bool],
        wait_max_ms: float = TURN_WAIT_MAX_MS,
        on_wait: Callable[[], object] = lambda: None,
    ) -> bool:
        """Send the answer of a turn once all before it are sent; return whether it was the last.

        ``encode`` receives whether the connection closes after this answer. The connection closes
        only after the last request that has a turn; one that gets none is behind that answer.
        Nothing more is sent after an answer that could not be, or that would have to wait for
        ``wait_max_ms`` without any before it being sent. ``on_wait`` is called if it has to wait,
        for those before or for the caller to read it.
        """
        try:
            if not self._order.is_next(turn):
                on_wait()
            if not self._order.wait_to_send(turn, timeout_ms=wait_max_ms):
                return True
            is_last = wants_close() and self._order.close_if_newest(turn)
            self.is_end_announced = self.is_end_announced or is_last
            self._sender.send(encode(is_last), on_wait=on_wait)
        except OSError as error:
            if isinstance(error, TimeoutError):
                logging.error('turn given up number=%d error="%s"', turn.number, error)
            self.abort(f"{type(error).__name__}: {error}")
            raise
        except Exception as error:
            self._order.fail(f"{type(error).__name__}: {error}")
            raise
        self._order.record_sent(turn)
        return self._shut_down_if_over()

    def abort(self, cause: str) -> None:
        """Send and receive nothing more, and end all waits."""
        self._order.fail(cause)
        self._socket.shut_down(socket.SHUT_RDWR)

    def release(self) -> bool:
        """Decrement the count of threads using the connection; return whether it reached zero."""
        with self._users_lock:
            self._users -= 1
            return self._users == 0

    def retain(self) -> None:
        """Increment the count of threads using the connection."""
        with self._users_lock:
            self._users += 1

    def linger(self, budget: BodyBudget) -> None:
        """Wait until the caller closes, so that it does not lose the last answer.

        After an idle connection there is no such answer: a request that comes too late is left
        unread, so that its caller may repeat it.
        """
        self.active_ms = self._clock.now_ms()
        self._is_lingering = True
        if not self._is_ended_idle:
            self._socket.discard_until_closed(budget)

    def close(self, budget: BodyBudget) -> None:
        """Close the socket, and free what it has of ``budget``."""
        self._socket.close(budget)

    def _shut_down_if_over(self) -> bool:
        """Shut down sending once the last answer that may be is sent; return whether it is.

        Another thread may still block in a receive and keep the socket open. The shutdown makes
        the caller see the end of the stream at once.
        """
        if not self._order.is_over:
            return False
        self._socket.shut_down(socket.SHUT_WR)
        return True
