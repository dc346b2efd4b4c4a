"""The callers' side: waitress, with what it lacks for a graceful stop and for strict framing.

Waitress drops queued requests when it shuts down, queues without bound or deadline while its
threads are busy, and accepts a request with both a length and chunks. The classes here stamp
each request on arrival, bound what is in progress, refuse ambiguous framing, and stop without
cutting a request.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import waitress
import waitress.adjustments
import waitress.channel
import waitress.parser
import waitress.server
import waitress.task

from coltsfootrill.clock import Clock
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.proxy.outcome import OUTCOME_HEADER
from coltsfootrill.proxy.outcome import REASON_HEADER
from coltsfootrill.proxy.outcome import Answer

REQUEST_MAX_BYTES = 8 * 1024 * 1024
REQUEST_HEAD_MAX_BYTES = 64 * 1024
CONNECTIONS_MAX_COUNT = 2_000
IDLE_CLOSE_S = 120
POLL_S = 0.5
DRAIN_CHECK_MS = 20.0


class ListenError(ColtsfootrillError):
    """The callers' port cannot be used."""


class CallerRequest:
    """One whole request; ``headers`` have waitress's names: upper case with underscores.

    ``is_refused`` tells that too many requests were in progress when it arrived.
    """

    __slots__ = (
        "arrived_ms",
        "body",
        "headers",
        "is_gone",
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
        is_gone: Callable[[], bool],
    ) -> None:
        self.method = method
        self.target = target
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.is_refused = is_refused
        self.is_gone = is_gone

    def get_header(self, name: str) -> str:
        """Return the value of a header by its usual name, empty when it is absent."""
        return self.headers.get(name.upper().replace("-", "_"), "")


class _Parser(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """Refuses requests whose end two readers could see at different places."""

    arrived_ms = 0.0
    is_refused = False

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


class _Task(waitress.task.Task):  # type: ignore[misc]
    """Answers one request without going through WSGI, in one write."""

    complete = True

    def execute(self) -> None:
        channel = self.channel
        request = self.request
        caller = CallerRequest(
            method=request.command.upper(),
            target=request.request_uri,
            path=request.path,
            headers=request.headers,
            body=_read_body(request),
            arrived_ms=request.arrived_ms,
            is_refused=request.is_refused,
            is_gone=channel.check_client_disconnected,
        )
        answer: Answer = channel.server.application(caller)
        self.status = answer.status
        self.response_headers.extend(answer.headers)
        self.response_headers.append((OUTCOME_HEADER, answer.outcome))
        if answer.reason:
            self.response_headers.append((REASON_HEADER, answer.reason))
        if channel.server.is_draining:
            self.set_close_on_finish()
        self._write_whole(answer.body, is_head=caller.method == "HEAD")

    def _write_whole(self, body: bytes, *, is_head: bool) -> None:
        self.content_length = len(body)
        head = self.build_response_header()
        self.wrote_header = True
        has_body = self.has_body and not is_head
        self.channel.write_soon(head + body if has_body else head)


class _ErrorTask(waitress.task.ErrorTask):  # type: ignore[misc]
    """Refuses a malformed request; it was certainly not run."""

    def execute(self) -> None:
        self.response_headers.append((OUTCOME_HEADER, "not-run"))
        self.response_headers.append((REASON_HEADER, "bad-request"))
        super().execute()


def _read_body(request: Any) -> bytes:
    if request.body_rcv is None:
        return b""
    stream = request.get_body_stream()
    body: bytes = stream.read()
    return body


class _Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    task_class = _Task
    error_task_class = _ErrorTask
    parser_class = _Parser


class _Server(waitress.server.TcpWSGIServer):  # type: ignore[misc]
    channel_class = _Channel
    is_draining = False


class _Dispatcher:
    """Runs requests on a pool of threads; beyond its bound they are refused at once."""

    def __init__(self, threads: int, clock: Clock) -> None:
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="request")
        self._limit = threads
        self._clock = clock
        self._lock = threading.Lock()
        self.in_progress = 0

    def add_task(self, channel: Any) -> None:
        """Start the first request of a channel."""
        request = channel.requests[0]
        request.arrived_ms = self._clock.now_ms()
        with self._lock:
            request.is_refused = self.in_progress >= self._limit
            self.in_progress += 1
        if request.is_refused:
            self._serve(channel)
            return
        self._executor.submit(self._serve, channel)

    def _serve(self, channel: Any) -> None:
        try:
            channel.service()
        finally:
            with self._lock:
                self.in_progress -= 1

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Wait for requests in progress; nothing that was accepted is cancelled."""
        self._executor.shutdown(wait=True)
        return False


class CallerServer:
    """Listens for callers on one address and stops without cutting a request."""

    def __init__(
        self, handle: Callable[[CallerRequest], Answer], *, clock: Clock, threads: int
    ) -> None:
        self._handle = handle
        self._clock = clock
        self._dispatcher = _Dispatcher(threads, clock)
        self._server: Any = None
        self._thread: threading.Thread | None = None
        self._is_stopped = False

    def start(self, host: str, port: int) -> None:
        """Listen on an address and serve in a thread; raise ``ListenError`` if it is taken."""
        adjustments = waitress.adjustments.Adjustments(
            listen=f"{host}:{port}",
            ident=None,
            max_request_body_size=REQUEST_MAX_BYTES,
            max_request_header_size=REQUEST_HEAD_MAX_BYTES,
            connection_limit=CONNECTIONS_MAX_COUNT,
            channel_timeout=IDLE_CLOSE_S,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=False,
        )
        try:
            self._server = _Server(
                self._handle, map={}, dispatcher=self._dispatcher, adj=adjustments
            )
        except OSError as error:
            raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
        self._thread = threading.Thread(target=self._loop, name="callers", daemon=True)
        self._thread.start()

    @property
    def port(self) -> int:
        """Return the port listened on."""
        return int(self._server.effective_port)

    def count_in_progress(self) -> int:
        """Return the requests that have arrived whole and are not answered."""
        return self._dispatcher.in_progress

    def announce_close(self) -> None:
        """Answer with ``Connection: close`` from now on, still accepting connections."""
        self._server.is_draining = True

    def stop(self, *, idle_ms: float, limit_ms: float) -> int:
        """Stop accepting, finish what is in progress, and return how many requests were cut.

        Connections without a request stay open for ``idle_ms``, since a request may be on its
        way on them; requests in progress have ``limit_ms``.
        """
        self.announce_close()
        self._server.trigger.pull_trigger(self._close_listener)
        start_ms = self._clock.now_ms()
        while not self._is_finished(self._clock.now_ms() - start_ms, idle_ms, limit_ms):
            self._clock.sleep_ms(DRAIN_CHECK_MS)
        cut = self.count_in_progress()
        self._is_stopped = True
        self._server.pull_trigger()
        if self._thread is not None:
            self._thread.join(timeout=2 * POLL_S)
        return cut

    def _is_finished(self, elapsed_ms: float, idle_ms: float, limit_ms: float) -> bool:
        if elapsed_ms >= limit_ms:
            return True
        channels = list(self._server.active_channels.values())
        if any(_is_busy(channel) for channel in channels) or self.count_in_progress():
            return False
        return not channels or elapsed_ms >= idle_ms

    def _close_listener(self) -> None:
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _loop(self) -> None:
        server = self._server
        while not self._is_stopped:
            server.asyncore.loop(timeout=POLL_S, map=server._map, use_poll=True, count=1)


def _is_busy(channel: Any) -> bool:
    """Return whether a request is in progress, half received, or half answered."""
    return bool(channel.requests or channel.request is not None or channel.total_outbufs_len)
