"""Turns of a caller's connection: each ends, whatever becomes of its answer."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator

import pytest
from waitress.adjustments import Adjustments

from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.proxy.body_budget import WIDE_MAX_COUNT
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.caller import CallerConnection
from coltsfootrill.proxy.caller_socket import DISCARD_PAUSE_MS
from coltsfootrill.proxy.caller_socket import LINGER_MAX_MS
from coltsfootrill.proxy.caller_socket import RECEIVE_BYTES
from coltsfootrill.proxy.caller_socket import WIDE_STEP_BYTES
from testing.processes import wait_until

TURN_COUNT = 4
# Nothing that these turns wait for takes any time.
END_WITHIN_S = 5.0
LINGER_STEPS_COUNT = int(LINGER_MAX_MS / DISCARD_PAUSE_MS)
LARGE_BYTES = 6 * 1024 * 1024
EXPECTING = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Pair:
    """A connection with turns that were taken, and the socket of its caller."""

    def __init__(self) -> None:
        ours, self.caller = socket.socketpair()
        self.caller.settimeout(END_WITHIN_S)
        self.connection = CallerConnection(ours, Clock())
        turns = [self.connection.take_turn() for _ in range(TURN_COUNT)]
        self.turns = [turn for turn in turns if turn is not None]
        assert len(self.turns) == TURN_COUNT
        self.errors: list[Exception] = []

    def answer(
        self, index: int, encode: Callable[[bool], bytes], *, wait_max_ms: float = 60_000.0
    ) -> threading.Thread:
        """Answer and end a turn in a thread of its own."""
        turn = self.turns[index]

        def run() -> None:
            try:
                with turn:
                    self.connection.answer(
                        turn, encode, wants_close=lambda: False, wait_max_ms=wait_max_ms
                    )
            except Exception as error:
                self.errors.append(error)

        return _start(run)

    def receive(self) -> threading.Thread:
        """Read a request in a thread of its own."""
        budget = BodyBudget(0)
        return _start(lambda: self.connection.receive(Adjustments(), CallerLimits(), budget))

    def read_all(self) -> bytes:
        """Return what the caller reads until the end of the stream."""
        data = b""
        while part := self.caller.recv(65_536):
            data += part
        return data

    def close(self) -> None:
        self.caller.close()
        self.connection.sock.close()


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair()
    yield made
    made.close()


def _start(run: Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def _count_running(threads: list[threading.Thread]) -> int:
    for thread in threads:
        thread.join(END_WITHIN_S)
    return sum(thread.is_alive() for thread in threads)


def _encode_target(index: int) -> Callable[[bool], bytes]:
    return lambda is_last: f"<{index}>".encode()


def _raise(is_last: bool) -> bytes:
    raise ValueError("this answer cannot be encoded")


class TestDiscarding:
    # Guards against a crowd of refused callers that keeps the interpreter from all other requests.
    @pytest.mark.parametrize(
        ("wide_count", "discarded_max_bytes"),
        [
            pytest.param(WIDE_MAX_COUNT, 2 * LINGER_STEPS_COUNT * RECEIVE_BYTES, id="narrow"),
            pytest.param(0, 2 * LINGER_STEPS_COUNT * WIDE_STEP_BYTES, id="wide"),
        ],
    )
    def test_pauses_while_a_refused_caller_sends_on(
        self, wide_count: int, discarded_max_bytes: int
    ) -> None:
        ours, caller = socket.socketpair()
        budget = BodyBudget(0)
        assert all(budget.take_wide() for _ in range(wide_count))
        connection = CallerConnection(ours, ManualClock())

        def linger() -> None:
            with contextlib.closing(ours):
                connection.linger(budget)

        lingering = _start(linger)
        sent_bytes = 0
        with contextlib.suppress(OSError), caller:
            while sent_bytes <= discarded_max_bytes:
                sent_bytes += caller.send(b"x" * 65_536)
        lingering.join(END_WITHIN_S)
        assert sent_bytes <= discarded_max_bytes


class TestFailedTurns:
    # Guards against turns that wait for good for one whose answer was never sent.
    def test_all_turns_end_after_a_caller_has_left(self, pair: Pair) -> None:
        pair.caller.close()
        threads = [pair.answer(index, _encode_target(index)) for index in range(TURN_COUNT)]
        assert _count_running(threads) == 0
        assert not pair.connection.is_busy

    # Guards against an answer that is read in place of an earlier one that was not sent.
    def test_nothing_is_sent_after_an_answer_that_cannot_be_encoded(self, pair: Pair) -> None:
        threads = [pair.answer(index, _encode_target(index)) for index in (3, 2, 0)]
        threads.append(pair.answer(1, _raise))
        assert _count_running(threads) == 0
        assert [str(error) for error in pair.errors] == ["this answer cannot be encoded"]
        assert pair.read_all() == b"<0>"
        assert not pair.connection.is_busy

    # Guards against a turn that ends by an exception and for which others wait.
    def test_a_turn_that_ends_without_an_answer_ends_all_later_ones(self, pair: Pair) -> None:
        later = [pair.answer(index, _encode_target(index)) for index in (3, 2)]
        pair.turns[1].end()
        assert _count_running(later) == 0
        assert _count_running([pair.answer(0, _encode_target(0))]) == 0
        assert pair.read_all() == b"<0>"
        assert pair.connection.take_turn() is None

    # Guards against waits without a bound.
    def test_a_turn_is_given_up_when_none_before_it_is_sent_in_time(self, pair: Pair) -> None:
        later = [pair.answer(index, _encode_target(index), wait_max_ms=50) for index in (1, 2, 3)]
        assert _count_running(later) == 0
        assert pair.read_all() == b""
        assert _count_running([pair.answer(0, _encode_target(0))]) == 0
        assert pair.read_all() == b""
        assert not pair.connection.is_busy

    # Guards against a stop that leaves threads which wait for their turn.
    def test_all_waits_end_when_the_connection_is_aborted(self, pair: Pair) -> None:
        threads = [pair.answer(index, _encode_target(index)) for index in (3, 2, 1)]
        pair.connection.abort("the instance has stopped")
        assert _count_running(threads) == 0
        assert pair.read_all() == b""


class TestFreeAtEnd:
    def test_everything_is_freed_once_also_if_freeing_fails(self, pair: Pair) -> None:
        freed: list[str] = []
        turn = pair.turns[0]
        turn.free_at_end(lambda: freed.append("body"))
        turn.free_at_end(lambda: 1 // 0)
        turn.free_at_end(lambda: freed.append("place"))
        with pytest.raises(KeyError), turn:
            raise KeyError
        turn.end()
        assert freed == ["body", "place"]


class TestContinue:
    # Guards against a caller that takes 100 Continue for part of an earlier answer, or for another
    # request than its own.
    def test_it_is_sent_after_the_answers_to_all_requests_before(self, pair: Pair) -> None:
        pair.caller.sendall(EXPECTING)
        reader = pair.receive()
        large = b"<0>" + b"." * LARGE_BYTES
        threads = [pair.answer(0, lambda is_last: large)]
        threads += [pair.answer(index, _encode_target(index)) for index in (1, 2, 3)]
        expected = large + b"<1><2><3>" + CONTINUE
        data = b""
        while len(data) < len(expected):
            data += pair.caller.recv(65_536)
        assert data == expected
        pair.caller.sendall(b"body")
        assert _count_running([*threads, reader]) == 0

    def test_it_is_not_sent_after_the_last_answer(self, pair: Pair) -> None:
        pair.caller.sendall(EXPECTING)
        reader = pair.receive()
        for turn in pair.turns:
            with turn:
                pair.connection.answer(turn, lambda is_last: b"!", wants_close=lambda: True)
        assert pair.read_all() == b"!!!!"
        assert _count_running([reader]) == 0


class TestSending:
    # Guards against a thread that reads the next request and fails because another one writes.
    def test_a_slow_answer_does_not_disturb_the_thread_that_reads(self, pair: Pair) -> None:
        large = b"." * LARGE_BYTES
        writer = pair.answer(0, lambda is_last: large)
        wait_until(lambda: bool(pair.caller.recv(1, socket.MSG_PEEK)))
        reader = pair.receive()
        pair.caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert _count_running([reader]) == 0
        assert pair.connection.sock.gettimeout() is None
        assert pair.connection.take_turn() is not None
        received = 0
        while received < LARGE_BYTES:
            received += len(pair.caller.recv(65_536))
        assert _count_running([writer]) == 0
