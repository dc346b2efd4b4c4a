"""Answers that callers do not read: what they hold, and that they end."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.proxy import sending
from coltsfootrill.proxy.sending import UNREAD_USUAL_BYTES
from coltsfootrill.proxy.sending import Sender
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


class TestUnreadAnswers:
    def test_answer_has_no_room_beyond_the_bound_unless_it_is_the_only_one(self) -> None:
        unread = UnreadAnswers(2 * MB)
        assert unread.try_hold(3 * MB) and not unread.try_hold(1)
        unread.release(3 * MB)
        assert unread.try_hold(MB) and unread.try_hold(MB) and not unread.try_hold(1)

    def test_answer_is_given_up_while_all_together_take_much(self) -> None:
        unread = UnreadAnswers(4 * MB, 2 * MB)
        assert unread.try_hold(2 * MB) and not unread.release_if_exceeded(2 * MB)
        assert unread.try_hold(MB) and unread.release_if_exceeded(2 * MB)
        assert not unread.release_if_exceeded(MB)

    def test_sending_ends_once_others_need_the_memory(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sending, "STALLED_MIN_MS", 10.0)
        unread = UnreadAnswers(4 * MB, MB)
        ours, theirs = socket.socketpair()
        with ours, theirs, pytest.raises(TimeoutError, match="others need"):
            Sender(ours, Clock(), unread).send(b"a" * 2 * MB)
        assert unread.try_hold(4 * MB)

    def test_sending_fails_at_once_without_room(self) -> None:
        unread = UnreadAnswers(MB)
        assert unread.try_hold(MB)
        ours, theirs = socket.socketpair()
        with ours, theirs, pytest.raises(TimeoutError, match="others hold"):
            Sender(ours, Clock(), unread).send(b"a" * 2 * MB)

    def test_answer_that_is_read_slowly_arrives_whole(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sending, "STALLED_MIN_MS", 10.0)
        data = bytes(range(256)) * 8 * 1024
        waits: list[int] = []
        ours, theirs = socket.socketpair()
        with theirs:
            sender = Sender(ours, Clock(), UnreadAnswers(4 * MB))

            def send() -> None:
                with ours:
                    sender.send(data, on_wait=lambda: waits.append(1))

            thread = threading.Thread(target=send)
            thread.start()
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
