"""Answers that callers do not read: what they hold, and that they end."""

from __future__ import annotations

import contextlib
import math
import socket
import threading
from collections.abc import Iterator

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.proxy import sending
from coltsfootrill.proxy.sending import UNREAD_USUAL_BYTES
from coltsfootrill.proxy.sending import Sender
from coltsfootrill.proxy.sending import UnreadAnswer
from coltsfootrill.proxy.sending import UnreadAnswers
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.instance import Instance

MB = 1024 * 1024
SLOTS = 3
# More than the kernel takes, and less than that from which answers are given up.
UNREAD_BYTES = UNREAD_USUAL_BYTES // SLOTS - 64 * 1024
RECEIVE_BUFFER_BYTES = 4 * 1024


def make_answer(size_bytes: int, *, progress_ms: float = 0.0) -> UnreadAnswer:
    return UnreadAnswer(size_bytes, progress_ms, lambda: None)


class TestUnreadAnswers:
    def test_new_answer_gets_the_room_of_the_one_that_is_not_read_for_longest(self) -> None:
        unread = UnreadAnswers(3 * MB)
        answers = [make_answer(MB, progress_ms=at_ms) for at_ms in (200.0, 100.0, 300.0)]
        for held in answers:
            unread.hold(held)
        unread.hold(make_answer(MB, progress_ms=400.0))
        assert [held.is_given_up for held in answers] == [False, True, False]

    def test_single_answer_has_room_whatever_its_size(self) -> None:
        unread = UnreadAnswers(MB)
        only = make_answer(2 * MB)
        unread.hold(only)
        assert not only.is_given_up

    def test_answer_is_given_up_while_all_together_take_much(self) -> None:
        unread = UnreadAnswers(4 * MB, 2 * MB)
        first, second = make_answer(2 * MB), make_answer(MB)
        unread.hold(first)
        unread.give_up_if_exceeded(first)
        assert not first.is_given_up
        unread.hold(second)
        unread.give_up_if_exceeded(first)
        unread.give_up_if_exceeded(second)
        assert first.is_given_up and not second.is_given_up

    def test_sending_ends_once_others_need_the_memory(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sending, "STALLED_MIN_MS", 10.0)
        unread = UnreadAnswers(4 * MB, MB)
        ours, theirs = socket.socketpair()
        with ours, theirs, pytest.raises(TimeoutError, match="others need"):
            Sender(ours, Clock(), unread).send(b"a" * 2 * MB)

    def test_sending_ends_at_once_when_another_takes_the_room(self) -> None:
        unread = UnreadAnswers(2 * MB)
        ours, theirs = socket.socketpair()

        def take_room() -> None:
            unread.hold(make_answer(2 * MB, progress_ms=math.inf))

        with ours, theirs, pytest.raises(OSError):
            threading.Timer(0.1, take_room).start()
            Sender(ours, Clock(), unread).send(b"a" * 2 * MB)

    def test_answer_that_is_read_slowly_arrives_whole(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sending, "STALLED_MIN_MS", 10.0)
        data = bytes(range(256)) * 8 * 1024
        waits: list[int] = []
        is_waiting = threading.Event()

        def record_wait() -> None:
            waits.append(1)
            is_waiting.set()

        ours, theirs = socket.socketpair()
        with theirs:
            sender = Sender(ours, Clock(), UnreadAnswers(4 * MB))

            def send() -> None:
                with ours:
                    sender.send(data, on_wait=record_wait)

            thread = threading.Thread(target=send)
            thread.start()
            # The kernel takes less than the answer while nothing is read.
            assert is_waiting.wait(10)
            received = b""
            while part := theirs.recv(65_536):
                received += part
            thread.join()
        assert received == data
        assert waits == [1]


@pytest.fixture
def instance() -> Iterator[Instance]:
    made = Instance(deadline_ms=5_000)
    yield made
    made.close()


class TestSlots:
    # Guards against callers that keep an upstream from all others by not reading its answers.
    def test_answers_that_are_not_read_hold_no_slots(self, instance: Instance) -> None:
        upstream = ScriptedUpstream(answer(b"a" * UNREAD_BYTES))
        instance.announce("u1", upstream.address, slots=SLOTS)
        with contextlib.ExitStack() as stack:
            for _ in range(SLOTS):
                stack.enter_context(self._send_without_reading(instance))
            wait_until(lambda: len(upstream.heads) >= SLOTS)
            assert instance.call("/once", method="POST").status == 200
        upstream.close()

    def _send_without_reading(self, instance: Instance) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.connect(("127.0.0.1", instance.server.port))
        sock.sendall(b"POST /once HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        return sock
