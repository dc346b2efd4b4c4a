from __future__ import annotations

import socket
import time
import tracemalloc
from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.proxy.answer import ANSWER_MAX_BYTES
from coltsfootrill.proxy.answer import RECEIVED_MAX_BYTES
from coltsfootrill.proxy.answer import AnswerEcho
from coltsfootrill.proxy.answer import AnswerReader
from coltsfootrill.proxy.answer import ReadError
from coltsfootrill.proxy.answer import UpstreamAnswer
from coltsfootrill.proxy.connection import ConnectError
from coltsfootrill.proxy.connection import ConnectionPool
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.connection import encode_head
from coltsfootrill.proxy.pools import ConnectionPools
from coltsfootrill.proxy.receive_budget import INCOMPLETE_MAX_BYTES
from coltsfootrill.proxy.receive_budget import SMALL_ANSWER_MAX_BYTES
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import encode
from testing.proxy.fakes import send_raw
from testing.proxy.fakes import stay_silent

# Their bodies would take 800 MB without a common bound.
ENDLESS_COUNT = 100

Serve = Callable[[Script], ScriptedUpstream]
HEAD = encode_head("GET", "/x", [("host", "h")], 0)


@pytest.fixture
def serve() -> Iterator[Serve]:
    started: list[ScriptedUpstream] = []

    def start(script: Script) -> ScriptedUpstream:
        started.append(ScriptedUpstream(script))
        return started[-1]

    yield start
    for upstream in started:
        upstream.close()


def _call(
    pool: ConnectionPool, *, timeout_ms: float = 2_000, method: str = "GET"
) -> UpstreamAnswer:
    clock = Clock()
    connection = pool.take_idle() or pool.open(1_000)
    deadline_ms = clock.now_ms() + timeout_ms
    head = encode_head(method, "/x", [("host", "h")], 0)
    connection.send(head, b"", deadline_ms=deadline_ms)
    try:
        result = connection.read(method, deadline_ms=deadline_ms)
    except ReadError:
        connection.close()
        raise
    pool.give_back(connection)
    return result


_ECHO = AnswerEcho("X-Id", "q1")
_HEAD_START = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: q1\r\n"
_FRAMED_ANSWERS = [
    _HEAD_START + b"Content-Length: 5\r\n\r\nhello",
    _HEAD_START + b"Content-Length: 0\r\n\r\n",
    _HEAD_START + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
]


def _read_and_end(raw: bytes) -> UpstreamAnswer | None:
    """Return the answer in ``raw``, followed by the end of the stream."""
    reader = AnswerReader("GET", _ECHO, is_fresh=True)
    return reader.feed(raw) or reader.feed_end()


class TestAnswersCutOff:
    # Guards against an answer whose head was cut off and that passes as a complete one.
    @pytest.mark.parametrize("raw", _FRAMED_ANSWERS)
    def test_no_part_of_a_framed_answer_is_complete(self, raw: bytes) -> None:
        assert [cut for cut in range(len(raw)) if _read_and_end(raw[:cut]) is not None] == []
        assert _read_and_end(raw) is not None

    def test_no_part_of_the_head_of_an_answer_without_a_length_is_complete(self) -> None:
        head = _HEAD_START + b"Content-Type: text/plain\r\n\r\n"
        assert [cut for cut in range(len(head)) if _read_and_end(head[:cut]) is not None] == []
        assert _read_and_end(head + b"hello") is not None

    # Guards against a coded or cut-off body that passes as the whole body of a success.
    @pytest.mark.parametrize("codings", [["gzip, chunked"], ["chunked", "identity"], ["gzip"]])
    @pytest.mark.parametrize("body", [b"5\r\nhel", b"5\r\nhello\r\n0\r\n\r\n"])
    def test_a_transfer_coding_other_than_chunks_is_refused(
        self, codings: list[str], body: bytes
    ) -> None:
        lines = "".join(f"Transfer-Encoding: {coding}\r\n" for coding in codings)
        with pytest.raises(ReadError, match="transfer coding"):
            _read_and_end(_HEAD_START + lines.encode() + b"\r\n" + body)

    def test_a_caller_gets_an_error_for_an_answer_cut_off_in_its_head(self, serve: Serve) -> None:
        upstream = serve(send_raw(_HEAD_START + b"Content-Le"))
        with pytest.raises(ReadError, match="before the answer was complete"):
            _call(ConnectionPool(upstream.address, clock=Clock()))


class TestWholeAnswers:
    def test_connection_is_reused_after_answer_with_length(self, serve: Serve) -> None:
        upstream = serve(answer(b"one", extra="x-a: b\r\n"))
        pool = ConnectionPool(upstream.address, clock=Clock())
        for _ in range(3):
            got = _call(pool)
            assert (got.status, got.body, got.get_header("X-A")) == (200, b"one", "b")
        assert upstream.connections == 1

    def test_chunked_answer_is_read_to_its_last_chunk(self, serve: Serve) -> None:
        raw = (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        upstream = serve(send_raw(raw, keeps_open=True))
        assert _call(ConnectionPool(upstream.address, clock=Clock())).body == b"abcde"

    @pytest.mark.parametrize(
        "raw",
        [
            encode(b"hello")[:-1],
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nno length",
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello",
            b"HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\nhello",
            b"HTTP/1.1 100 Continue\r\n\r\n" + encode(),
            b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n",
            b"nonsense\r\n\r\n",
            b"",
            f"HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_MAX_BYTES + 1}\r\n\r\n".encode()
            + b"x" * (ANSWER_MAX_BYTES + 1),
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 40_000 + b"content-length: 0\r\n\r\n",
        ],
        ids=lambda raw: repr(raw[:48]),
    )
    def test_truncated_malformed_or_ambiguous_answer_is_rejected(
        self, serve: Serve, raw: bytes
    ) -> None:
        pool = ConnectionPool(serve(send_raw(raw)).address, clock=Clock())
        with pytest.raises(ReadError):
            _call(pool)

    def test_surplus_bytes_are_not_read_as_the_next_answer(self, serve: Serve) -> None:
        upstream = serve(send_raw(encode(b"mine") + encode(b"other"), keeps_open=True))
        pool = ConnectionPool(upstream.address, clock=Clock())
        assert [_call(pool).body for _ in range(3)] == [b"mine"] * 3
        assert upstream.connections == 3

    def test_late_bytes_are_not_read_as_the_next_answer(self, serve: Serve) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(encode(b"mine"))
            time.sleep(0.05)
            sock.sendall(encode(b"other"))
            return True

        upstream = serve(script)
        pool = ConnectionPool(upstream.address, clock=Clock())
        assert _call(pool).body == b"mine"
        time.sleep(0.15)
        assert _call(pool).body == b"mine"
        assert upstream.connections == 2

    def test_slowly_sent_answer_ends_at_the_deadline(self, serve: Serve) -> None:
        def script(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n")
            for _ in range(100):
                sock.sendall(b"x")
                time.sleep(0.02)
            return False

        pool = ConnectionPool(serve(script).address, clock=Clock())
        start_s = time.monotonic()
        with pytest.raises(ReadError):
            _call(pool, timeout_ms=200)
        assert time.monotonic() - start_s < 1.5

    def test_answer_to_head_has_no_body(self, serve: Serve) -> None:
        upstream = serve(send_raw(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", keeps_open=True))
        pool = ConnectionPool(upstream.address, clock=Clock())
        assert _call(pool, method="HEAD").body == b""

    @pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
    def test_answer_without_body_needs_no_length(self, serve: Serve, status: str) -> None:
        upstream = serve(send_raw(f"HTTP/1.1 {status}\r\n\r\n".encode(), keeps_open=True))
        assert _call(ConnectionPool(upstream.address, clock=Clock())).body == b""

    @given(raw=st.binary(max_size=200))
    def test_arbitrary_bytes_yield_an_answer_or_read_error(self, raw: bytes) -> None:
        ours, theirs = socket.socketpair()
        with ours, theirs:
            theirs.sendall(b"HTTP/1.1 200 OK\r\n" + raw)
            theirs.close()
            connection = UpstreamConnection(ours, clock=Clock(), epoch=0)
            try:
                connection.read("GET", deadline_ms=Clock().now_ms() + 1_000)
            except ReadError as error:
                assert str(error)


def _send_endlessly(start: bytes, part: bytes) -> Script:
    """Return a script that repeats ``part`` after ``start`` until the caller closes."""

    def script(sock: socket.socket, head: bytes, number: int) -> bool:
        sock.sendall(start)
        block = part * (65_536 // len(part) + 1)
        while True:
            sock.sendall(block)

    return script


_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n\r\n"


class TestEndlessBytes:
    """An upstream in trouble sends bytes that never become an answer."""

    @pytest.mark.parametrize(
        ("start", "part"),
        [
            pytest.param(b"", b"\0", id="not-http"),
            pytest.param(b"", b"\r\n", id="empty-lines"),
            pytest.param(b"HTTP/1.1 200 ", b"a", id="reason"),
            pytest.param(_OK + b"x-a", b"a", id="header-name"),
            pytest.param(_OK + b"x-a: ", b"a", id="header-value"),
            pytest.param(_OK, b"x-a: b\r\n", id="headers"),
            pytest.param(_OK + b"\r\n", b"a", id="body-without-length"),
            pytest.param(_CHUNKED, b"5\r\nhello\r\n", id="chunks"),
            pytest.param(_CHUNKED, b"0", id="chunk-size"),
            pytest.param(_CHUNKED + b"5;", b"a", id="chunk-extension"),
            pytest.param(_CHUNKED + b"0\r\n", b"x-a: b\r\n", id="trailers"),
            pytest.param(_CHUNKED + b"0\r\nx-a: ", b"a", id="trailer-value"),
            pytest.param(b"", encode(extra="x-id: other\r\n"), id="answers-to-other-requests"),
        ],
    )
    def test_answer_is_rejected_within_a_bound_and_before_the_deadline(
        self, serve: Serve, start: bytes, part: bytes
    ) -> None:
        upstream = serve(_send_endlessly(start, part))
        clock = Clock()
        connection = ConnectionPool(upstream.address, clock=clock).open(1_000)
        deadline_ms = clock.now_ms() + 20_000
        connection.send(HEAD, b"", deadline_ms=deadline_ms)
        tracemalloc.start()
        try:
            with pytest.raises(ReadError) as caught:
                connection.read("GET", deadline_ms=deadline_ms, echo=AnswerEcho("x-id", "own"))
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            connection.close()
        assert "deadline" not in str(caught.value)
        assert peak_bytes < 3 * RECEIVED_MAX_BYTES

    def test_many_endless_answers_are_bounded_together_and_small_ones_complete(
        self, serve: Serve
    ) -> None:
        endless = serve(_send_endlessly(_OK + b"\r\n", b"a"))
        usual = serve(answer(b"usual" * 40_000))
        pools = ConnectionPools(Clock())
        pool = pools.get(endless.address)

        def get_error(_: int) -> str:
            # The error itself would hold what was received.
            try:
                _call(pool, timeout_ms=60_000)
            except ReadError as error:
                return str(error)
            return ""

        tracemalloc.start()
        try:
            with ThreadPoolExecutor(ENDLESS_COUNT) as executor:
                errors = executor.map(get_error, range(ENDLESS_COUNT))
                assert _call(pools.get(usual.address)).body == b"usual" * 40_000
                messages = list(errors)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert all("bytes" in message for message in messages)
        assert any("of all upstreams" in message for message in messages)
        # Twice, because a growing buffer is copied.
        assert peak_bytes < 2 * (INCOMPLETE_MAX_BYTES + ENDLESS_COUNT * SMALL_ANSWER_MAX_BYTES)
        assert pools._receive_budget._held_bytes == 0

    def test_surplus_after_a_complete_answer_ends_with_the_connection(self, serve: Serve) -> None:
        upstream = serve(_send_endlessly(encode(b"hello") + b"a", b"a"))
        pool = ConnectionPool(upstream.address, clock=Clock())
        assert _call(pool).body == b"hello"
        assert pool.take_idle() is None


class TestPool:
    def test_connection_closed_by_the_upstream_is_not_reused(self, serve: Serve) -> None:
        upstream = serve(send_raw(encode(b"x"), keeps_open=False))
        pool = ConnectionPool(upstream.address, clock=Clock())
        _call(pool)
        time.sleep(0.05)
        assert pool.take_idle() is None

    def test_connection_that_has_just_been_used_is_not_taken_for_an_idle_time_of_0(
        self, serve: Serve
    ) -> None:
        pool = ConnectionPool(serve(answer()).address, clock=ManualClock())
        used = pool.open(1_000)
        used.send(HEAD, b"", deadline_ms=1_000)
        used.read("GET", deadline_ms=1_000)
        pool.give_back(used)
        assert pool.take_idle(idle_max_ms=0.0) is None
        assert pool.take_idle(idle_max_ms=1.0) is used

    def test_discard_idle_prevents_reuse_of_all_earlier_connections(self, serve: Serve) -> None:
        upstream = serve(answer())
        pool = ConnectionPool(upstream.address, clock=Clock())
        in_use = pool.open(1_000)
        _call(pool)
        assert pool.discard_idle() == 1
        deadline_ms = Clock().now_ms() + 1_000
        in_use.send(HEAD, b"", deadline_ms=deadline_ms)
        in_use.read("GET", deadline_ms=deadline_ms)
        pool.give_back(in_use)
        assert pool.take_idle() is None

    # Guards against a request on a connection that went silent, once the pool was made anew.
    def test_a_connection_barred_from_reuse_stays_so_in_a_new_pool(self, serve: Serve) -> None:
        upstream = serve(answer())
        pools = ConnectionPools(Clock(), once_idle_max_ms=4_000)
        connection = pools.get(upstream.address).open(1_000)
        connection.send(HEAD, deadline_ms=Clock().now_ms() + 1_000)
        connection.read("GET", deadline_ms=Clock().now_ms() + 1_000)
        pools.get(upstream.address).discard_idle()
        pools.keep_only(set())
        pools.get(upstream.address).give_back(connection)
        assert pools.get(upstream.address).take_idle() is None

    def test_refused_connection_raises_connect_error(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        with pytest.raises(ConnectError):
            ConnectionPool(address, clock=Clock()).open(1_000)

    def test_silent_upstream_raises_read_error_at_the_deadline(self, serve: Serve) -> None:
        pool = ConnectionPool(serve(stay_silent()).address, clock=Clock())
        with pytest.raises(ReadError, match="TimeoutError|deadline"):
            _call(pool, timeout_ms=100)
