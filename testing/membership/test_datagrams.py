"""Datagrams of any content and size: one is held at a time, and none ends the thread."""

from __future__ import annotations

import os
import socket
import threading
from collections.abc import Iterator
from random import Random

import msgspec
import pytest

from coltsfootrill.membership.datagrams import DATAGRAM_MAX_BYTES
from coltsfootrill.membership.datagrams import DatagramPort
from testing.processes import get_free_port
from testing.processes import wait_until

TOPIC = b"t"
FLOOD_COUNT = 500
LARGEST_BYTES = 60_000


class Receiver:
    """A port with one topic, whose messages are lists of numbers."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", get_free_port())
        self.received: list[list[int]] = []
        self.largest_bytes = 0
        port = DatagramPort("{}:{}".format(*self.address))
        port.handle(TOPIC, self._handle)
        port.open()
        self.thread = threading.Thread(target=port.run, daemon=True)
        self.thread.start()

    def _handle(self, payload: bytes, sender: str) -> None:
        self.largest_bytes = max(self.largest_bytes, len(payload))
        self.received.append(msgspec.msgpack.decode(payload, type=list[int]))


@pytest.fixture
def sock() -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
        yield made


class TestFloods:
    # Guards against senders that end the thread, or make it hold more than one datagram.
    def test_message_is_handled_after_a_flood(self, sock: socket.socket) -> None:
        receiver = Receiver()
        random = Random(5)
        for _ in range(FLOOD_COUNT):
            sock.sendto(TOPIC + os.urandom(random.randrange(LARGEST_BYTES)), receiver.address)
            sock.sendto(random.randbytes(random.randrange(8)), receiver.address)
        sound = TOPIC + msgspec.msgpack.encode([1, 2, 3])

        def is_handled() -> bool:
            sock.sendto(sound, receiver.address)
            return [1, 2, 3] in receiver.received

        wait_until(is_handled)
        assert receiver.thread.is_alive()
        assert receiver.largest_bytes < DATAGRAM_MAX_BYTES
