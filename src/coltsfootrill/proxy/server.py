"""The callers' side: one task for each connection, with waitress's parser.

Waitress's own server drops queued requests when it stops, queues without bound or deadline while
its threads are busy, accepts a request with both a length and chunks, and hands every request
from its loop to another thread. Here a task reads a request, answers it, and reads the next one;
``docs/design/graceful-stop.md`` and ``docs/MEASUREMENTS.md`` tell more.
"""

from __future__ import annotations

import select
import socket
import struct
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from email.utils import formatdate
from typing import Any

import waitress.parser
from absl import logging
from waitress.adjustments import Adjustments

from coltsfootrill.clock import Clock
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.proxy.connection import send_whole
from coltsfootrill.proxy.outcome import OUTCOME_HEADER
from coltsfootrill.proxy.outcome import REASON_HEADER
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.outcome import make_error_answer

REQUEST_MAX_BYTES = 8 * 1024 * 1024
REQUEST_HEAD_MAX_BYTES = 64 * 1024
RECEIVE_BYTES = 64 * 1024
BACKLOG = 512
IDLE_CLOSE_MS = 120_000.0
RECEIVE_TIMEOUT_MS = 30_000.0
WRITE_TIMEOUT_MS = 30_000.0
LINGER_MS = 500.0
LINGER_READS_MAX_COUNT = 256
ACCEPT_POLL_MS = 200.0
DRAIN_CHECK_MS = 20.0


class ListenError(ColtsfootrillError):
    """The callers' port cannot be used."""


class CallerRequest:
    """One whole request; ``headers`` have waitress's names: upper case with underscores.

    ``is_refused`` tells that too many requests were in progress when it arrived. ``caller`` is
    the socket, readable with an end of stream once the caller has gone.
    """

    __slots__ = (
        "arrived_ms",
        "body",
        "caller",
        "headers",
        "is_refused",
        "method",
        "path",
        "target",
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        arrived_ms: float,
        is_refused: bool,
        caller: socket.socket,
    ) -> None:
        self.method = method
        self.target = target
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.is_refused = is_refused
        self.caller = caller

    def get_header(self, name: str) -> str:
        """Return the value of a header by its usual name, empty when it is absent."""
        return self.headers.get(name.upper().replace("-", "_"), "")

    def is_gone(self) -> bool:
        """Return whether the caller has closed its end."""
        return is_closed(self.caller)


def is_closed(sock: socket.socket) -> bool:
    """Return whether the other end has closed or reset the connection."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


class _Parser(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """Refuses requests whose end two readers could see at different places."""

    def parse_header(self, header_plus: bytes) -> None:
        head = header_plus.lower()
        has_chunks = b"\ntransfer-encoding:" in head
        if has_chunks and b"\ncontent-length:" in head:
            raise waitress.parser.ParsingError("both Content-Length and Transfer-Encoding")
        if head.count(b"\nhost:") > 1 or head.count(b"\ncontent-length:") > 1:
            raise waitress.parser.ParsingError("a header that must stand once stands twice")
        super().parse_header(header_plus)
        if has_chunks and self.version != "1.1":
            raise waitress.parser.ParsingError("Transfer-Encoding needs HTTP/1.1")


class _CallerConnection:
    """One connection of a caller. ``is_busy`` is true from the first byte of a request on."""

    __slots__ = ("_left_over", "_timeout_ms", "is_busy", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.is_busy = False
        self._left_over = b""
        self._timeout_ms = 0.0

    def receive(self, adjustments: Adjustments) -> Any:
        """Return the next request as parsed by waitress, ``None`` at the end of the stream."""
        parser = _Parser(adjustments)
        data = self._left_over
        self._left_over = b""
        while not parser.completed:
            if not data:
                self._set_timeout(RECEIVE_TIMEOUT_MS if self.is_busy else IDLE_CLOSE_MS)
                data = self.sock.recv(RECEIVE_BYTES)
                if not data:
                    return None
            self.is_busy = True
            consumed = parser.received(data)
            data = data[consumed:]
            if parser.empty:
                parser = _Parser(adjustments)
            if parser.expect_continue and parser.headers_finished and not parser.completed:
                parser.expect_continue = False
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._left_over = data
        return parser

    def send(self, data: bytes) -> None:
        """Send an answer whole."""
        send_whole(self.sock, data, timeout_ms=WRITE_TIMEOUT_MS)

    def _set_timeout(self, timeout_ms: float) -> None:
        """Have the kernel end a receive, which costs no call before each one."""
        if timeout_ms == self._timeout_ms:
            return
        self._timeout_ms = timeout_ms
        seconds, rest_ms = divmod(int(timeout_ms), 1_000)
        value = struct.pack("ll", seconds, rest_ms * 1_000)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)

    def linger(self) -> None:
        """Let the caller read the last answer before the connection goes.

        Closing with unread bytes of a refused request would reset the connection, and the
        refusal would be lost.
        """
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(LINGER_MS / 1000)
        for _ in range(LINGER_READS_MAX_COUNT):
            if not self.sock.recv(RECEIVE_BYTES):
                return

    def has_left_over(self) -> bool:
        """Return whether part of the next request has been read already."""
        return bool(self._left_over)


class CallerServer:
    """Listens for callers on one address and stops without cutting a request."""

    def __init__(
        self,
        handle: Callable[[CallerRequest], Answer],
        *,
        clock: Clock,
        requests_max: int,
        connections_max: int,
    ) -> None:
        self._handle = handle
        self._clock = clock
        self._requests_max = requests_max
        self._connections_max = connections_max
        self._executor = ThreadPoolExecutor(connections_max, thread_name_prefix="caller")
        self._adjustments = Adjustments(
            listen="127.0.0.1:0",
            max_request_body_size=REQUEST_MAX_BYTES,
            max_request_header_size=REQUEST_HEAD_MAX_BYTES,
        )
        self._lock = threading.Lock()
        self._connections: set[_CallerConnection] = set()
        self._in_progress = 0
        self._listener: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self._is_draining = False
        self._is_accepting = True

    def start(self, host: str, port: int) -> None:
        """Listen on an address and serve in threads; raise ``ListenError`` if it is taken."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            self._listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
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
        """Return the requests that have arrived whole and are not answered."""
        return self._in_progress

    def announce_close(self) -> None:
        """Answer with ``Connection: close`` from now on, still accepting connections."""
        self._is_draining = True

    def stop(self, *, idle_ms: float, limit_ms: float) -> int:
        """Stop accepting, finish what is in progress, and return how many requests were cut.

        Connections without a request stay open for ``idle_ms``, since a request may be on its
        way on them; requests in progress have ``limit_ms``.
        """
        self.announce_close()
        self._is_accepting = False
        if self._thread is not None:
            self._thread.join()
        start_ms = self._clock.now_ms()
        while not self._is_finished(self._clock.now_ms() - start_ms, idle_ms, limit_ms):
            self._clock.sleep_ms(DRAIN_CHECK_MS)
        cut = self.count_in_progress()
        with self._lock:
            left = list(self._connections)
        for connection in left:
            _shut_down(connection.sock)
        self._executor.shutdown(wait=cut == 0)
        return cut

    def _is_finished(self, elapsed_ms: float, idle_ms: float, limit_ms: float) -> bool:
        if elapsed_ms >= limit_ms:
            return True
        with self._lock:
            connections = list(self._connections)
        if any(connection.is_busy for connection in connections):
            return False
        return not connections or elapsed_ms >= idle_ms

    def _accept(self, listener: socket.socket) -> None:
        while self._is_accepting:
            try:
                sock, _ = listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                # For example no free descriptor: the next one may be accepted.
                logging.error('connection not accepted error="%s"', error)
                self._clock.sleep_ms(DRAIN_CHECK_MS)
                continue
            self._start_task(sock)
        # Connections that the kernel has accepted already are served, not reset.
        listener.settimeout(0)
        while (sock_or_none := _accept_now(listener)) is not None:
            self._start_task(sock_or_none)
        listener.close()

    def _start_task(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _CallerConnection(sock)
        with self._lock:
            is_full = len(self._connections) >= self._connections_max
            if not is_full:
                self._connections.add(connection)
        if is_full:
            sock.close()
            return
        self._executor.submit(self._serve, connection)

    def _serve(self, connection: _CallerConnection) -> None:
        """Serve one connection until either end closes it."""
        try:
            while self._serve_one(connection):
                pass
            connection.linger()
        except OSError:
            # The caller left or went silent; a request of its own was cancelled by then.
            pass
        except Exception:
            logging.exception("a request failed for a fault of this program")
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.sock.close()

    def _serve_one(self, connection: _CallerConnection) -> bool:
        """Receive and answer one request; return whether the connection stays open."""
        parsed = connection.receive(self._adjustments)
        if parsed is None:
            return False
        arrived_ms = self._clock.now_ms()
        # A request refused by the parser may have no method.
        method = "" if parsed.error is not None else parsed.command.upper()
        with self._lock:
            is_refused = self._in_progress >= self._requests_max
            self._in_progress += 1
        try:
            answer = self._answer(parsed, connection, arrived_ms, is_refused)
            is_closing = self._is_draining or _wants_close(parsed)
            try:
                connection.send(encode_answer(answer, method, is_closing=is_closing))
            finally:
                answer.follow_up()
        finally:
            with self._lock:
                self._in_progress -= 1
            parsed.close()
        connection.is_busy = connection.has_left_over()
        return not is_closing

    def _answer(
        self, parsed: Any, connection: _CallerConnection, arrived_ms: float, is_refused: bool
    ) -> Answer:
        if parsed.error is not None:
            status = f"{parsed.error.code} {parsed.error.reason}"
            return make_error_answer(NotRunError(status, "bad-request", str(parsed.error.body)))
        body = b"" if parsed.body_rcv is None else parsed.get_body_stream().read()
        request = CallerRequest(
            method=parsed.command.upper(),
            target=parsed.request_uri,
            path=parsed.path,
            headers=parsed.headers,
            body=body,
            arrived_ms=arrived_ms,
            is_refused=is_refused,
            caller=connection.sock,
        )
        return self._handle(request)


def encode_answer(answer: Answer, method: str, *, is_closing: bool) -> bytes:
    """Return an answer as it goes to the caller, head and body in one piece."""
    lines = [f"HTTP/1.1 {answer.status}"]
    lines.extend(f"{name}: {value}" for name, value in answer.headers)
    lines.append(f"{OUTCOME_HEADER}: {answer.outcome}")
    if answer.reason:
        lines.append(f"{REASON_HEADER}: {answer.reason}")
    if not any(name.lower() == "date" for name, _ in answer.headers):
        lines.append(f"Date: {formatdate(usegmt=True)}")
    if is_closing:
        lines.append("Connection: close")
    has_length = not answer.status.startswith(("204", "304"))
    if has_length and method != "HEAD":
        lines.append(f"Content-Length: {len(answer.body)}")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + answer.body if has_length and method != "HEAD" else head


def _wants_close(parsed: Any) -> bool:
    return bool(parsed.error is not None or parsed.connection_close or parsed.version != "1.1")


def _accept_now(listener: socket.socket) -> socket.socket | None:
    try:
        return listener.accept()[0]
    except OSError:
        return None


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It was closed in the meantime.
        return
