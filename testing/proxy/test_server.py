"""Requests that arrive while the server closes connections are answered or never processed.

The fault: the server closes a connection as idle while a request arrives on it, and the request is
processed although its answer can no longer be sent.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import Literal

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.caller import CallerConnection
from coltsfootrill.proxy.caller_request import CallerRequest
from coltsfootrill.proxy.caller_request import Refusal
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.server import ACCEPT_END_MS
from coltsfootrill.proxy.server import CallerServer
from coltsfootrill.proxy.server import _accept_last
from coltsfootrill.proxy.sockets import has_unread_bytes
from coltsfootrill.proxy.worker_threads import WorkerThreads
from testing.processes import wait_until

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
# Of a request whose body follows.
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


class Handler:
    """Blocks each request until ``may_end`` is set, for a second at most."""

    def __init__(self) -> None:
        self.count = 0
        self.refusals: list[Refusal | None] = []
        self.may_end = threading.Event()

    def __call__(self, request: CallerRequest) -> Answer:
        self.count += 1
        self.refusals.append(request.refusal)
        self.may_end.wait(1)
        return Answer(status="200 OK", headers=[], body=b"done", outcome="answered")


@pytest.fixture
def handler() -> Iterator[Handler]:
    made = Handler()
    yield made
    made.may_end.set()


def _make_server(
    handler: Handler,
    limits: CallerLimits | None = None,
    get_limits: Callable[[], CallerLimits] | None = None,
) -> CallerServer:
    in_force = limits or CallerLimits()
    return CallerServer(
        handler,
        clock=Clock(),
        requests_max=8,
        connections_max=8,
        body_budget=BodyBudget(0),
        get_limits=get_limits or (lambda: in_force),
    )


def _start(handler: Handler) -> tuple[CallerServer, socket.socket]:
    server = _make_server(handler)
    server.start("127.0.0.1", 0)
    caller = socket.create_connection(("127.0.0.1", server.port))
    wait_until(lambda: bool(server._connections))
    return server, caller


def _read_all(caller: socket.socket) -> bytes:
    caller.settimeout(3)
    answer = b""
    try:
        while data := caller.recv(1_000):
            answer += data
    except OSError:
        pass
    return answer


class TestStop:
    def test_request_read_while_idle_connections_close_is_answered_or_not_processed(
        self, handler: Handler, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        server, caller = _start(handler)
        count = server.count_in_progress

        def send_late() -> int:
            # At this point the server has found that no request is in progress.
            caller.sendall(REQUEST)
            threading.Event().wait(0.2)
            handler.may_end.set()
            return count()

        monkeypatch.setattr(server, "count_in_progress", send_late)
        server.stop(idle_ms=0, limit_ms=2_000)
        assert (handler.count, b"done" in _read_all(caller)) in [(0, False), (1, True)]

    def test_connection_with_request_in_progress_stays_open_while_idle_ones_close(
        self, handler: Handler
    ) -> None:
        server, busy = _start(handler)
        idle = socket.create_connection(("127.0.0.1", server.port))
        busy.sendall(REQUEST)
        wait_until(lambda: handler.count == 1 and len(server._connections) == 2)
        stop = threading.Thread(target=server.stop, kwargs={"idle_ms": 100, "limit_ms": 3_000})
        stop.start()
        assert _read_all(idle) == b""
        handler.may_end.set()
        assert b"done" in _read_all(busy)
        stop.join()

    # Guards against a request that a stop drops because the thread that accepts it is late.
    def test_a_connection_that_is_accepted_late_in_a_stop_is_served(
        self, handler: Handler, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        handler.may_end.set()
        server = _make_server(handler)
        server.start("127.0.0.1", 0)
        port = server.port
        callers: list[socket.socket] = []

        def accept_late(listener: socket.socket) -> Iterator[socket.socket]:
            callers.append(socket.create_connection(("127.0.0.1", port)))
            callers[0].sendall(REQUEST)
            threading.Event().wait(1.5 * ACCEPT_END_MS / 1000)
            return _accept_last(listener)

        monkeypatch.setattr("coltsfootrill.proxy.server._accept_last", accept_late)
        server.stop(idle_ms=500, limit_ms=3_000)
        with callers[0] as caller:
            assert b"done" in _read_all(caller)

    # Guards against connections that a stop resets because the one before them has failed.
    def test_a_connection_behind_one_that_cannot_be_accepted_is_served(
        self, handler: Handler
    ) -> None:
        handler.may_end.set()
        server = _make_server(handler)
        server._is_accepting = False
        with socket.create_server(("127.0.0.1", 0)) as served, FailingOnce(served) as listener:
            with socket.create_connection(listener.getsockname()) as caller:
                caller.sendall(REQUEST)
                server._accept(listener)
                caller.shutdown(socket.SHUT_WR)
                assert b"done" in _read_all(caller)
        server.stop(idle_ms=0, limit_ms=2_000)

    # Guards against a stop that spends its time on callers that come while it accepts, and resets
    # some of them at its end.
    def test_callers_that_come_while_the_last_are_accepted_do_not_prolong_the_stop(
        self, handler: Handler, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        server = _make_server(handler)
        server._is_accepting = False
        with socket.create_server(("127.0.0.1", 0)) as served, Crowded(served) as listener:
            served.close()
            started: list[socket.socket] = []
            monkeypatch.setattr(server, "_start_task", started.append)
            with socket.create_connection(listener.getsockname()):
                server._accept(listener)
            assert (len(started), listener.fileno()) == (1, -1)
            for sock in [*started, *listener.callers]:
                sock.close()

    # Guards against callers that wait until all others have been accepted, or are never served.
    def test_the_last_callers_are_served_as_they_are_accepted_where_others_still_come(
        self, handler: Handler, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("coltsfootrill.proxy.server.drop_new_connections", lambda sock: None)
        server = _make_server(handler)
        server._is_accepting = False
        with socket.create_server(("127.0.0.1", 0)) as served, Crowded(served) as listener:
            served.close()
            counts: list[int] = []

            def start_task(sock: socket.socket) -> None:
                counts.append(len(listener.callers))
                sock.close()

            monkeypatch.setattr(server, "_start_task", start_task)
            with socket.create_connection(listener.getsockname()):
                server._accept(listener)
            for caller in listener.callers:
                caller.close()
        assert counts[:3] == [1, 2, 3]
        assert listener.fileno() == -1


class Crowded(socket.socket):
    """A copy of a listener to which another caller connects before each accept, up to 20."""

    def __init__(self, listener: socket.socket) -> None:
        super().__init__(fileno=listener.dup().detach())
        self.callers: list[socket.socket] = []

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept after another caller has begun to connect."""
        if len(self.callers) < 20:
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(self.getsockname())
            self.callers.append(caller)
        return super().accept()


class FailingOnce(socket.socket):
    """A copy of a listener whose next connection cannot be accepted."""

    def __init__(self, listener: socket.socket) -> None:
        super().__init__(fileno=listener.dup().detach())
        self._has_failed = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Fail once, then accept."""
        if not self._has_failed:
            self._has_failed = True
            raise ConnectionAbortedError("the caller has reset the connection")
        return super().accept()


class TestCloseIfIdle:
    def test_idle_connection_accepts_no_request_after_close(self) -> None:
        ours, theirs = socket.socketpair()
        connection = CallerConnection(ours, Clock())
        assert connection.close_if_idle()
        assert connection.take_turn() is None
        theirs.close()

    def test_connection_with_a_request_stays_open(self) -> None:
        ours, theirs = socket.socketpair()
        connection = CallerConnection(ours, Clock())
        turn = connection.take_turn()
        assert turn is not None
        assert not connection.close_if_idle()
        connection.answer(turn, lambda is_last: b"whole", wants_close=lambda: True)
        assert theirs.recv(10) == b"whole"
        theirs.close()


class TestFailedRequests:
    # Guards against a request whose handler fails, for whose answer later requests wait for good.
    def test_a_request_whose_handler_fails_is_answered_in_its_turn(self) -> None:
        def handle(request: CallerRequest) -> Answer:
            if request.path == "/fails":
                raise ValueError("this request fails")
            return Answer(status="200 OK", headers=[], body=b"done", outcome="answered")

        server = CallerServer(
            handle, clock=Clock(), requests_max=8, connections_max=8, body_budget=BodyBudget(0)
        )
        server.start("127.0.0.1", 0)
        paths = ["/x", "/fails", "/x", "/fails", "/x"]
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            for path in paths:
                caller.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            caller.shutdown(socket.SHUT_WR)
            data = _read_all(caller)
        statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
        assert statuses == [b"200", b"500", b"200", b"500", b"200"]
        assert data.count(b"Coltsfootrill-Outcome: unknown") == 2
        wait_until(lambda: server.count_in_progress() == 0)
        assert server.stop(idle_ms=0, limit_ms=2_000) == 0

    # Guards against a request that gets no answer because work after an earlier one fails.
    @pytest.mark.parametrize("error", [ValueError("a bug"), OSError("no space is left")])
    def test_requests_are_answered_though_work_after_an_answer_fails(
        self, error: Exception
    ) -> None:
        done_paths: list[str] = []
        first_may_end = threading.Event()

        def fail() -> None:
            raise error

        def handle(request: CallerRequest) -> Answer:
            answer = Answer(status="200 OK", headers=[], body=b"done", outcome="answered")
            answer.add_sent_callback(fail)
            answer.add_sent_callback(lambda: done_paths.append(request.path))
            if request.path == "/0":
                first_may_end.wait(3)
            return answer

        server = CallerServer(
            handle, clock=Clock(), requests_max=8, connections_max=8, body_budget=BodyBudget(0)
        )
        server.start("127.0.0.1", 0)
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.sendall(b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % n for n in range(3)))
            # The second one waits for the first, so that its work is done before it is sent.
            wait_until(lambda: "/1" in done_paths)
            first_may_end.set()
            wait_until(lambda: len(done_paths) == 3)
            caller.sendall(b"GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
            caller.shutdown(socket.SHUT_WR)
            assert _read_all(caller).count(b"HTTP/1.1 200") == 4
        assert sorted(done_paths) == ["/0", "/1", "/2", "/3"]
        assert server.stop(idle_ms=0, limit_ms=2_000) == 0


class TestTooManyConnections:
    # Guards against connections that are closed without a trace in the log.
    def test_a_connection_over_the_limit_is_refused_and_logged(
        self, handler: Handler, caplog: pytest.LogCaptureFixture
    ) -> None:
        server = CallerServer(
            handler, clock=Clock(), requests_max=8, connections_max=1, body_budget=BodyBudget(0)
        )
        server.start("127.0.0.1", 0)
        with socket.create_connection(("127.0.0.1", server.port)) as first:
            wait_until(lambda: bool(server._connections))
            with socket.create_connection(("127.0.0.1", server.port)) as second:
                reply = _read_all(second)
            assert reply.startswith(b"HTTP/1.1 503 ")
            assert b"Coltsfootrill-Outcome: not-run" in reply
            assert b"Connection: close" in reply
            assert "too many are open" in caplog.text
            handler.may_end.set()
            first.sendall(REQUEST)
            first.shutdown(socket.SHUT_WR)
            assert b"done" in _read_all(first)
        assert handler.count == 1
        server.stop(idle_ms=0, limit_ms=2_000)


class TestNoThread:
    # Guards against a listener that ends, or a connection that is kept, when no thread can start.
    def test_a_connection_without_a_thread_is_closed_and_later_ones_are_served(
        self, handler: Handler, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
    ) -> None:
        server, served = _start(handler)

        def refuse() -> None:
            raise RuntimeError("can't start new thread")

        with monkeypatch.context() as patch:
            patch.setattr(WorkerThreads, "_start_thread", lambda workers, task: refuse())
            with socket.create_connection(("127.0.0.1", server.port)) as refused:
                assert _read_all(refused) == b""
        assert "can't start new thread" in caplog.text
        handler.may_end.set()
        with socket.create_connection(("127.0.0.1", server.port)) as later:
            later.sendall(REQUEST)
            later.shutdown(socket.SHUT_WR)
            assert b"done" in _read_all(later)
        served.close()
        server.stop(idle_ms=0, limit_ms=2_000)


class LateThread(socket.socket):
    """A socket whose receiving thread runs again late: meanwhile ``on_late`` happens once.

    ``late_after`` tells whether the receive had returned bytes, or had timed out, or had looked in
    vain without waiting, or whether it is a thread that has shut down the socket which is late.
    """

    late_after: Literal["bytes", "timeout", "look", "shutdown"] = "timeout"
    on_late: Callable[[], object] | None = None

    def shutdown(self, how: int, /) -> None:
        """Shut down, and let ``on_late`` happen before the caller of this method goes on."""
        super().shutdown(how)
        self._be_late("shutdown")

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive, and let ``on_late`` happen before the caller of this method goes on."""
        try:
            data = super().recv(size, flags)
        except BlockingIOError:
            self._be_late("look" if flags & socket.MSG_DONTWAIT else "timeout")
            raise
        if data:
            self._be_late("bytes")
        return data

    def _be_late(self, after: str) -> None:
        if after == self.late_after and self.on_late is not None:
            on_late, self.on_late = self.on_late, None
            on_late()


@pytest.fixture
def late_pair() -> Iterator[tuple[LateThread, socket.socket]]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    with caller, LateThread(fileno=accepted.detach()) as ours:
        yield ours, caller


class TestRequestAtTheEnd:
    """The end of a connection is decided while a request arrives on it."""

    # Guards against a request that arrives at the idle timeout and gets no answer at all.
    def test_a_request_that_arrives_before_an_idle_connection_is_closed_is_answered(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        ours.on_late = lambda: _send(caller)
        handler.may_end.set()
        server = _make_server(handler, CallerLimits(idle_timeout_ms=50))
        server._serve(CallerConnection(ours, Clock()))
        assert b"done" in _read_all(caller)
        assert handler.count == 1

    # Guards against a request that arrives while the thread that has looked for it in vain waits
    # for the interpreter, and gets no answer at all.
    def test_a_request_that_arrives_after_the_last_look_is_answered(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        ours.late_after = "look"
        ours.on_late = lambda: _send(caller)
        handler.may_end.set()
        server = _make_server(handler, CallerLimits(idle_timeout_ms=50))
        server._serve(CallerConnection(ours, Clock()))
        assert b"done" in _read_all(caller)
        assert handler.count == 1

    # Guards against a request that is read and dropped after its connection was closed as idle.
    def test_a_request_that_comes_after_the_end_is_not_read(
        self,
        handler: Handler,
        late_pair: tuple[LateThread, socket.socket],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        ours, caller = late_pair
        server = _make_server(handler, CallerLimits(idle_timeout_ms=50))
        connection = CallerConnection(ours, Clock())
        # At this point no thread reads from the connection any more.
        monkeypatch.setattr(server._connections, "linger", lambda connection: _send(caller))
        server._serve(connection)
        assert _read_all(caller) == b""
        assert (connection.discarded_bytes, connection.dropped_count) == (0, 0)
        assert handler.count == 0

    # Guards against a request that was received when its place was given away and got no answer.
    def test_a_request_received_while_its_place_is_given_away_is_refused(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        connection = CallerConnection(ours, Clock())
        ours.late_after = "bytes"
        ours.on_late = connection.evict
        handler.may_end.set()
        _send(caller)
        _make_server(handler)._serve(connection)
        assert b"Connection: close" in _read_all(caller)
        assert handler.refusals == ["too-many-connections"]

    # Guards against a request that is cut while an upstream runs it, since its connection was
    # still idle when it was chosen.
    def test_a_connection_whose_request_is_being_answered_keeps_its_place(
        self, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        connection = CallerConnection(late_pair[0], Clock())
        assert connection.take_turn() is not None
        assert not connection.evict()

    # Guards against an idle connection that gives its place away with a request unread.
    def test_a_connection_with_a_request_unread_keeps_its_place(
        self, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        connection = CallerConnection(ours, Clock())
        _send(caller)
        assert not connection.evict()

    # Guards against a request that was received when a stop closed idle connections and got none.
    def test_a_request_received_while_a_stop_closes_idle_connections_is_refused(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        handler.may_end.set()
        server = _make_server(handler)
        connection = CallerConnection(ours, Clock())
        assert server._connections.add(connection)
        ours.late_after = "bytes"
        stop = threading.Thread(target=server.stop, kwargs={"idle_ms": 0, "limit_ms": 2_000})

        def stop_now() -> None:
            stop.start()
            wait_until(lambda: server._is_refusing and connection.end_cause == "stopping")

        ours.on_late = stop_now
        _send(caller)
        server._serve(connection)
        stop.join()
        assert b"Connection: close" in _read_all(caller)
        assert handler.refusals == ["stopping"]

    # Guards against a request that a stop cuts between its head and its body, or in the middle of
    # its head, without a refusal.
    @pytest.mark.parametrize("arrived", [HEAD, REQUEST[:20]], ids=["head", "part-of-head"])
    def test_a_request_that_arrives_in_two_parts_in_a_stop_is_refused(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket], arrived: bytes
    ) -> None:
        ours, caller = late_pair
        handler.may_end.set()
        server = _make_server(handler)
        connection = CallerConnection(ours, Clock())
        ours.late_after = "bytes"

        def stop_now() -> None:
            server._is_refusing = True
            assert connection.ask_to_close("stopping")

        ours.on_late = stop_now
        caller.sendall(arrived)
        server._serve(connection)
        assert b"Connection: close" in _read_all(caller)
        assert handler.refusals == ["stopping"]

    # Guards against a request whose rest arrives at the receive timeout and gets no answer.
    def test_the_rest_of_a_request_that_arrives_at_the_receive_timeout_is_read(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        handler.may_end.set()
        ours.on_late = lambda: caller.sendall(b"body")
        caller.sendall(HEAD)
        server = _make_server(handler, CallerLimits(receive_timeout_ms=50, idle_timeout_ms=500))
        server._serve(CallerConnection(ours, Clock()))
        assert b"done" in _read_all(caller)
        assert handler.count == 1

    # Guards against a request that gives its place away and sees the end before it is refused.
    def test_a_request_that_gives_its_place_away_is_refused_however_soon_it_is_read(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        handler.may_end.set()
        server = _make_server(handler)
        connection = CallerConnection(ours, Clock())
        caller.sendall(HEAD)
        reader = _start_reader(server, connection)
        wait_until(lambda: connection.state == "receiving" and not has_unread_bytes(ours))
        ours.late_after = "shutdown"
        ours.on_late = lambda: wait_until(lambda: connection.state != "receiving")
        assert connection.evict()
        assert b"Connection: close" in _read_all(caller)
        reader.join()
        assert handler.refusals == ["no-room-for-body"]

    # Guards against a request that is given up as stalled, whose rest is received and dropped
    # although no answer told the caller that the connection ends.
    def test_the_answer_before_a_request_that_has_stalled_announces_the_end(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        server = _make_server(handler, CallerLimits(receive_timeout_ms=50))
        connection = CallerConnection(ours, Clock())
        caller.sendall(REQUEST + HEAD)
        reader = _start_reader(server, connection)
        wait_until(lambda: connection.end_cause == "stalled")
        caller.sendall(b"body")
        handler.may_end.set()
        answer = _read_all(caller)
        reader.join()
        assert answer.count(b"HTTP/1.1 200") == 1
        assert b"Connection: close" in answer
        assert handler.count == 1


class TestChangedLimits:
    # Guards against connections that end without an answer after each change of the manifest,
    # because the new limits could not be applied.
    def test_new_limits_are_applied_without_the_resolver(
        self, handler: Handler, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        handler.may_end.set()
        limits = [CallerLimits()]
        server = _make_server(handler, get_limits=lambda: limits[-1])

        def fail(*arguments: object) -> None:
            raise socket.gaierror("no descriptor is free")

        monkeypatch.setattr(socket, "getaddrinfo", fail)
        limits.append(CallerLimits(body_max_bytes=3))
        ours, caller = socket.socketpair()
        with caller:
            caller.sendall(REQUEST + REQUEST.replace(b": 0", b": 4") + b"long")
            caller.shutdown(socket.SHUT_WR)
            server._serve(CallerConnection(ours, Clock()))
            answers = _read_all(caller)
        assert answers.count(b"done") == 1
        assert b"413 Request Entity Too Large" in answers


class TestPipelinedWithoutThread:
    # Guards against a pipelined request that nobody reads because no thread could be started.
    def test_the_thread_that_answers_reads_the_next_request_itself(
        self, handler: Handler, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def refuse(workers: WorkerThreads, task: Callable[[], None]) -> None:
            raise RuntimeError("can't start new thread")

        monkeypatch.setattr(WorkerThreads, "submit", refuse)
        handler.may_end.set()
        ours, caller = socket.socketpair()
        with caller:
            caller.sendall(2 * REQUEST)
            caller.shutdown(socket.SHUT_WR)
            _make_server(handler)._serve(CallerConnection(ours, Clock()))
            assert _read_all(caller).count(b"done") == 2


class TestFirstRequestAfterIdling:
    # Guards against a request that is handled with the limits of the manifest before.
    def test_it_is_handled_with_the_limits_in_force(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        handler.may_end.set()
        limits = [CallerLimits(body_max_bytes=3)]
        server = _make_server(handler, get_limits=lambda: limits[-1])
        reader = _start_reader(server, CallerConnection(ours, Clock()))
        threading.Event().wait(0.1)
        limits.append(CallerLimits())
        caller.sendall(HEAD + b"body")
        caller.shutdown(socket.SHUT_WR)
        assert b"done" in _read_all(caller)
        reader.join()

    # Guards against an idle connection that ends at the timeout of the manifest before.
    def test_a_connection_stays_idle_for_the_timeout_in_force(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        handler.may_end.set()
        limits = [CallerLimits(idle_timeout_ms=200), CallerLimits(idle_timeout_ms=60_000)]
        server = _make_server(handler, get_limits=lambda: limits[0])
        reader = _start_reader(server, CallerConnection(ours, Clock()))
        threading.Event().wait(0.1)
        del limits[0]
        threading.Event().wait(0.3)
        _send(caller)
        caller.shutdown(socket.SHUT_WR)
        assert b"done" in _read_all(caller)
        reader.join()

    # Guards against a request that is dropped after a line end behind the one before, which counted
    # as part of a request that has stalled.
    def test_a_line_end_behind_a_request_leaves_the_connection_idle(
        self, handler: Handler, late_pair: tuple[LateThread, socket.socket]
    ) -> None:
        ours, caller = late_pair
        handler.may_end.set()
        server = _make_server(handler, CallerLimits(receive_timeout_ms=50))
        reader = _start_reader(server, CallerConnection(ours, Clock()))
        caller.sendall(REQUEST + b"\r\n")
        threading.Event().wait(0.2)
        _send(caller)
        caller.shutdown(socket.SHUT_WR)
        assert _read_all(caller).count(b"done") == 2
        reader.join()


def _start_reader(server: CallerServer, connection: CallerConnection) -> threading.Thread:
    """Serve a connection in a thread of its own."""
    reader = threading.Thread(target=server._serve, args=(connection,))
    reader.start()
    return reader


def _send(caller: socket.socket) -> None:
    """Send a request; on loopback it has arrived once this returns."""
    caller.sendall(REQUEST)


class TestUnansweredRequests:
    # Guards against a line in the log for a request behind an answer that announces the end.
    def test_a_request_behind_the_last_answer_is_not_logged(
        self, handler: Handler, caplog: pytest.LogCaptureFixture
    ) -> None:
        ours, theirs = socket.socketpair()
        connection = CallerConnection(ours, Clock())
        turn = connection.take_turn()
        assert turn is not None
        with turn:
            assert connection.answer(turn, lambda is_last: b"last", wants_close=lambda: True)
        with theirs:
            theirs.sendall(REQUEST)
            _make_server(handler)._serve(connection)
            assert _read_all(theirs) == b"last"
        assert handler.count == 0
        assert "requests unanswered" not in caplog.text

    # Guards against a connection that ends with a request received and leaves no trace in the log.
    def test_a_request_that_arrives_after_the_end_is_logged(
        self, handler: Handler, caplog: pytest.LogCaptureFixture
    ) -> None:
        server = _make_server(handler)
        ours, theirs = socket.socketpair()
        connection = CallerConnection(ours, Clock())
        assert connection.close_if_idle()
        with theirs:
            theirs.sendall(REQUEST)
            server._serve(connection)
            assert _read_all(theirs) == b""
        assert "connection ended with requests unanswered" in caplog.text
        assert "dropped=1" in caplog.text
        assert handler.count == 0
