"""Turns of a caller's connection: each ends, whatever becomes of its answer."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.caller import CallerConnection

TURN_COUNT = 4
# Nothing that these turns wait for takes any time.
END_WITHIN_S = 5.0


class Pair:
    """A connection with turns that were taken, and the socket of its caller."""

    def __init__(self) -> None:
        ours, self.caller = socket.socketpair()
        self.connection = CallerConnection(ours, Clock())
        turns = [self.connection.take_turn() for _ in range(TURN_COUNT)]
        self.turns = [turn for turn in turns if turn is not None]
        assert len(self.turns) == TURN_COUNT
        self.errors: list[Exception] = []

    def answer(self, index: int, encode: Callable[[bool], bytes]) -> threading.Thread:
        """Answer a turn in a thread of its own."""

        def run() -> None:
            try:
                self.connection.answer(self.turns[index], encode, wants_close=lambda: False)
            except Exception as error:
                self.errors.append(error)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def close(self) -> None:
        self.caller.close()
        self.connection.sock.close()


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair()
    yield made
    made.close()


def _count_running(threads: list[threading.Thread]) -> int:
    for thread in threads:
        thread.join(END_WITHIN_S)
    return sum(thread.is_alive() for thread in threads)


def _encode_target(index: int) -> Callable[[bool], bytes]:
    return lambda is_last: f"<{index}>".encode()


def _raise(is_last: bool) -> bytes:
    raise ValueError("this answer cannot be encoded")


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
        pair.connection.sock.shutdown(socket.SHUT_WR)
        assert pair.caller.recv(100) == b"<0>"
        assert pair.caller.recv(100) == b""
