"""The HTTP server for callers: one task per connection, with waitress's parser.

Waitress's own server is not used for four reasons. It drops queued requests when it stops. While
its threads are busy, its queue has neither a bound nor a deadline. It accepts a request with both
Content-Length and chunked encoding. It passes every request from its event loop to another thread.
Here a task reads a request, answers it and reads the next one; see
``docs/design/graceful-stop.md`` and ``docs/MEASUREMENTS.md``.
"""

from __future__ import annotations

import copy
import select
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator

from absl import logging
from waitress.adjustments import Adjustments

from coltsfootrill.clock import Clock
from coltsfootrill.early_listener import BACKLOG
from coltsfootrill.early_listener import open_listener
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.model import DEADLINE_MAX_MS
from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.caller import CallerConnection
from coltsfootrill.proxy.caller_connections import CallerConnections
from coltsfootrill.proxy.caller_request import CallerRequest
from coltsfootrill.proxy.caller_request import Refusal
from coltsfootrill.proxy.disconnect_monitor import DisconnectMonitor
from coltsfootrill.proxy.eviction import ConnectionState
from coltsfootrill.proxy.in_progress import RequestsInProgress
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.outcome import UnknownOutcomeError
from coltsfootrill.proxy.outcome import encode_answer
from coltsfootrill.proxy.outcome import make_error_answer
from coltsfootrill.proxy.request_parser import RequestParser
from coltsfootrill.proxy.sending import WRITE_TIMEOUT_MS
from coltsfootrill.proxy.sending import UnreadAnswers
from coltsfootrill.proxy.sockets import drop_new_connections
from coltsfootrill.proxy.turns import Turn
from coltsfootrill.proxy.worker_threads import WorkerThreads

ACCEPT_POLL_MS = 200.0
ACCEPT_END_MS = 2 * ACCEPT_POLL_MS
# Of the connections that the kernel has accepted when a stop begins.
ACCEPT_ERRORS_MAX_COUNT = 8
DRAIN_CHECK_MS = 20.0
# Requests that still wait for an upstream at the end of a stop have this time to be refused.
REFUSAL_GRACE_MS = 150.0
# Threads whose requests were aborted have this time to end before the process does.
THREADS_END_MS = 100.0
MS_PER_SECOND = 1_000.0
# Nothing has been read of a connection that is closed with this answer.
_TOO_MANY_ANSWER = make_error_answer(
    NotRunError(
        "503 Service Unavailable",
        "too-many-connections",
        "this instance has too many connections of callers",
        retry_after_s=1.0,
    )
)


class ListenError(ColtsfootrillError):
    """The server cannot listen on the address for callers."""


class CallerServer:
    """Listens for callers on an address and shuts down gracefully."""

    def __init__(
        self,
        handle: Callable[[CallerRequest], Answer],
        *,
        clock: Clock,
        requests_max: int,
        connections_max: int,
        body_budget: BodyBudget,
        get_limits: Callable[[], CallerLimits] = CallerLimits,
        get_deadline_max_ms: Callable[[], float] = lambda: DEADLINE_MAX_MS,
        on_evicted: Callable[[ConnectionState], None] = lambda state: None,
    ) -> None:
        self._body_budget = body_budget
        self._get_limits = get_limits
        self._get_deadline_max_ms = get_deadline_max_ms
        self._limits = CallerLimits()
        self._handle = handle
        self._clock = clock
        self._connections = CallerConnections(connections_max, clock=clock, on_evicted=on_evicted)
        body_budget.set_reclaim(self._connections.reclaim)
        self._workers = WorkerThreads(connections_max, name="caller", clock=clock)
        self._unread_answers = UnreadAnswers()
        self._adjustments = _adjust(Adjustments(listen="127.0.0.1:0"), self._limits)
        self.in_progress = RequestsInProgress(requests_max, clock)
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self._is_draining = False
        self._is_accepting = True
        self._is_refusing = False
        self._is_ending = False

    def start(self, host: str, port: int, *, listener: socket.socket | None = None) -> None:
        """Listen on an address and serve in threads; raise ``ListenError`` if that fails.

        ``listener`` is a socket that already listens on that address.
        """
        try:
            self._listener = listener or open_listener(host, port)
        except OSError as error:
            raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
        self._listener.settimeout(ACCEPT_POLL_MS / 1000)
        self._thread = threading.Thread(
            target=self._accept, args=(self._listener,), name="callers", daemon=True
        )
        self._thread.start()

    @property
    def port(self) -> int:
        """Return the port listened on."""
        assert self._listener is not None
        return int(self._listener.getsockname()[1])

    def count_in_progress(self) -> int:
        """Return the number of requests that arrived completely and are not yet answered."""
        return len(self.in_progress)

    def refuses_all(self) -> bool:
        """Return whether every request is refused because earlier ones do not end in time."""
        return self.in_progress.is_full_since(self._get_request_max_ms())

    def announce_close(self) -> None:
        """Send ``Connection: close`` with all further answers, but keep accepting connections."""
        self._is_draining = True

    def stop(self, *, idle_ms: float, limit_ms: float) -> int:
        """Stop accepting, finish requests in progress and return how many were aborted.

        Idle connections stay open for ``idle_ms``, because a request may be in transit on them.
        A request that arrives later, on a connection with others, is refused: it may not end in
        time. Shortly before ``limit_ms`` requests that still wait for an upstream are refused, and
        after it those still in progress are aborted.
        """
        self.announce_close()
        self._is_accepting = False
        if self._thread is not None:
            self._thread.join(ACCEPT_END_MS / MS_PER_SECOND)
        start_ms = self._clock.now_ms()
        while not self._is_finished():
            elapsed_ms = self._clock.now_ms() - start_ms
            if elapsed_ms >= limit_ms:
                break
            self._is_ending = elapsed_ms >= limit_ms - REFUSAL_GRACE_MS
            if elapsed_ms >= idle_ms:
                self._is_refusing = True
                self._close_idle()
            self._clock.sleep_ms(DRAIN_CHECK_MS)
        aborted_count = self.count_in_progress()
        for connection in self._connections.list_open():
            connection.abort("the instance has stopped")
        remaining_ms = limit_ms - (self._clock.now_ms() - start_ms)
        running_count = self._workers.close(timeout_ms=max(remaining_ms, THREADS_END_MS))
        if running_count:
            logging.error("threads of callers still run count=%d", running_count)
        return aborted_count

    def _is_finished(self) -> bool:
        if self._thread is not None and self._thread.is_alive():
            # It still accepts connections.
            return False
        # A request is in progress until the callbacks of its answer have run.
        return not self.in_progress and not self._connections

    def _close_idle(self) -> None:
        """Close the idle connections; a request that was received meanwhile is refused."""
        for connection in self._connections.list_open():
            if not connection.is_busy and not connection.is_closing:
                connection.ask_to_close("stopping")

    def _accept(self, listener: socket.socket) -> None:
        while self._is_accepting:
            try:
                sock, _ = listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                # For example, no file descriptor is free. A later attempt may succeed.
                logging.error('failed to accept a connection error="%s"', error)
                self._clock.sleep_ms(DRAIN_CHECK_MS)
                continue
            self._start_task(sock)
        for sock in _accept_last(listener):
            self._start_task(sock)

    def _start_task(self, sock: socket.socket) -> None:
        """Serve a connection, or close it if there are too many."""
        connection = CallerConnection(sock, self._clock, self._unread_answers)
        try:
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._connections.add(connection):
                self._workers.submit(lambda: self._serve(connection))
                return
            logging.warning(
                "connection closed: too many are open connections=%d", self._connections.count_max
            )
            sock.send(encode_answer(_TOO_MANY_ANSWER, "", is_closing=True), socket.MSG_DONTWAIT)
        except (OSError, RuntimeError) as error:
            # The caller has left, or no thread can be started.
            logging.error('connection closed error="%s"', error)
            self._connections.discard(connection)
        sock.close()

    def _serve(self, connection: CallerConnection) -> None:
        """Read and answer requests until another thread reads the next one or either end closes."""
        try:
            while self._serve_one(connection):
                pass
        except OSError:
            # The caller disconnected or timed out. ``_release`` logs the answers that it lost.
            pass
        except Exception:
            logging.exception("unhandled exception in a request; this is a bug in coltsfootrill")
        finally:
            self._release(connection)

    def _release(self, connection: CallerConnection) -> None:
        if not connection.release():
            return
        self._connections.linger(connection)
        if connection.unsent_count:
            logging.warning(
                'answers not sent count=%d cause="%s"', connection.unsent_count, connection.failure
            )
        try:
            connection.linger(self._body_budget)
        except OSError:
            # The caller has already closed the connection.
            pass
        connection.close(self._body_budget)
        self._connections.discard(connection)
        _log_unanswered(connection)

    def _serve_one(self, connection: CallerConnection) -> bool:
        """Receive and answer a request; return whether this thread also reads the next one."""
        if not connection.wait_for_request(self._get_limits):
            return False
        # Those in force now: the manifest may have changed while the connection was idle.
        limits = self._update_limits()
        parsed = connection.receive(self._adjustments, limits, self._body_budget)
        if parsed is None:
            return False
        turn = connection.take_turn()
        if turn is None:
            parsed.close()
            return False
        with turn:
            turn.free_at_end(parsed.close)
            return self._serve_turn(connection, parsed, turn)

    def _serve_turn(self, connection: CallerConnection, parsed: RequestParser, turn: Turn) -> bool:
        """Answer a request; return whether this thread also reads the next one."""
        arrived_ms = self._clock.now_ms()
        has_place = self.in_progress.add(turn)
        refusal = self._find_refusal(connection, parsed, has_place=has_place)
        handover = _ReadHandover(connection, self._submit_next_read)
        may_read_on = not _closes_after(connection, parsed) and connection.may_read_on()
        monitor = DisconnectMonitor(
            connection.sock,
            handover.hand_over if may_read_on else None,
            is_ending=lambda: self._is_ending,
        )
        if may_read_on and connection.has_unparsed_bytes():
            monitor.handle_event(select.POLLIN)
        answer = self._answer(parsed, monitor, arrived_ms, refusal)
        # A request that the parser rejected may have no method.
        method = "" if parsed.error is not None else parsed.command.upper()
        try:
            is_last = connection.answer(
                turn,
                lambda is_last: _encode_once(answer, method, is_closing=is_last),
                wants_close=lambda: self._is_draining or _closes_after(connection, parsed),
                wait_max_ms=self._get_request_max_ms(),
                # A caller that does not read must not hold the upstream's slot meanwhile.
                on_wait=answer.run_sent_callbacks,
            )
        finally:
            answer.run_sent_callbacks()
        return not is_last and not handover.is_handed_over

    def _find_refusal(
        self, connection: CallerConnection, parsed: RequestParser, *, has_place: bool
    ) -> Refusal | None:
        """Return why a request is not accepted, ``None`` if it is."""
        if self._is_refusing:
            return "stopping"
        if parsed.is_body_refused and parsed.headers_finished:
            return "no-room-for-body"
        if connection.is_closing:
            return "too-many-connections"
        return None if has_place else "too-many-requests"

    def _submit_next_read(self, connection: CallerConnection) -> bool:
        """Let another thread read the next request of a connection; return whether one will."""
        connection.retain()
        try:
            self._workers.submit(lambda: self._serve(connection))
        except RuntimeError as error:
            # The server has stopped, or no thread can be started.
            logging.warning('the next request waits for the answer to this one error="%s"', error)
            connection.release()
            return False
        return True

    def _get_request_max_ms(self) -> float:
        """Return the time in which each request ends: its deadline, and the sending."""
        return self._get_deadline_max_ms() + WRITE_TIMEOUT_MS

    def _update_limits(self) -> CallerLimits:
        limits = self._get_limits()
        if limits is not self._limits:
            self._adjustments = _adjust(self._adjustments, limits)
            self._limits = limits
        return limits

    def _answer(
        self,
        parsed: RequestParser,
        monitor: DisconnectMonitor,
        arrived_ms: float,
        refusal: Refusal | None,
    ) -> Answer:
        if parsed.error is not None:
            status = f"{parsed.error.code} {parsed.error.reason}"
            return make_error_answer(NotRunError(status, "bad-request", str(parsed.error.body)))
        request = CallerRequest(
            method=parsed.command.upper(),
            target=parsed.request_uri,
            path=parsed.path,
            headers=parsed.headers,
            body=parsed.body,
            arrived_ms=arrived_ms,
            refusal=refusal,
            monitor=monitor,
        )
        try:
            return self._handle(request)
        except Exception as error:
            logging.exception("unhandled exception in a request; this is a bug in coltsfootrill")
            # It is not known how far the request got.
            return make_error_answer(
                UnknownOutcomeError(
                    "500 Internal Server Error", "internal-error", type(error).__name__
                )
            )


class _ReadHandover:
    """Passes the reading of a connection to another thread and records whether it did."""

    __slots__ = ("_connection", "_submit_next_read", "is_handed_over")

    def __init__(
        self, connection: CallerConnection, submit_next_read: Callable[[CallerConnection], bool]
    ) -> None:
        self._connection = connection
        self._submit_next_read = submit_next_read
        self.is_handed_over = False

    def hand_over(self) -> None:
        """Let another thread read the next request."""
        self.is_handed_over = self._submit_next_read(self._connection)


def _log_unanswered(connection: CallerConnection) -> None:
    """Log that a connection ended with requests, or bytes of some, that got no answer."""
    if connection.is_end_announced:
        # What callers send behind the last answer counts as not read.
        return
    if connection.dropped_count or connection.discarded_bytes:
        logging.warning(
            'connection ended with requests unanswered cause="%s" dropped=%d discarded_bytes=%d',
            connection.end_cause,
            connection.dropped_count,
            connection.discarded_bytes,
        )


def _adjust(adjustments: Adjustments, limits: CallerLimits) -> Adjustments:
    """Return adjustments of waitress with other limits; new ones would resolve an address."""
    adjusted = copy.copy(adjustments)
    # Waitress refuses bodies of this size.
    adjusted.max_request_body_size = limits.body_max_bytes + 1
    adjusted.max_request_header_size = limits.head_max_bytes
    return adjusted


def _encode_once(answer: Answer, method: str, *, is_closing: bool) -> bytes:
    """Return an answer as bytes; its body is not held beside them."""
    data = encode_answer(answer, method, is_closing=is_closing)
    answer.body = b""
    return data


def _closes_after(connection: CallerConnection, parsed: RequestParser) -> bool:
    """Return whether the connection closes after the answer to a request."""
    has_asked = parsed.connection_close or parsed.version != "1.1"
    is_ending = connection.is_closing or connection.end_cause is not None
    return bool(has_asked or parsed.error is not None or is_ending)


def _accept_last(listener: socket.socket) -> Iterator[socket.socket]:
    """Yield the connections that the kernel has completed, then close the listener.

    That resets a connection whose handshake still goes on; nobody has read its request. Each accept
    may wait long for the interpreter, so no connections are added meanwhile. Where the system adds
    some all the same, those that its queue holds bound the number.
    """
    drop_new_connections(listener)
    listener.settimeout(0)
    for _ in range(BACKLOG + 1):
        sock = _accept_now(listener)
        if sock is None:
            break
        yield sock
    listener.close()


def _accept_now(listener: socket.socket) -> socket.socket | None:
    """Return a connection that the kernel has accepted already, ``None`` if there is none.

    The kernel also reports here what has become of a single connection; others may follow.
    """
    for _ in range(ACCEPT_ERRORS_MAX_COUNT):
        try:
            return listener.accept()[0]
        except BlockingIOError:
            return None
        except OSError as error:
            logging.error('failed to accept a connection error="%s"', error)
    return None
