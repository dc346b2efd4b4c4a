"""Floods of bodies: the process lives within its bounds and still answers ordinary callers.

Each test checks only what does not depend on the speed of the machine.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.floods.crowd import CHUNKED
from testing.floods.crowd import HEAD
from testing.floods.crowd import LENGTH
from testing.floods.crowd import PIECE_BYTES
from testing.floods.crowd import Crowd
from testing.floods.crowd import EndlessCrowd
from testing.floods.crowd import closing
from testing.floods.crowd import send_in_chunks
from testing.floods.crowd import send_with_length
from testing.floods.instance import FloodedInstance

KB = 1024
MB = 1024 * KB
BODY_MAX_BYTES = MB
CONNECTIONS = 64
CROWD_COUNT = 96
MEMORY_MB = 300
# Below that at which an upload needs room.
SMALL_BODY_BYTES = 63 * KB
SMALL_MEMORY_MB = 80
SMALL_CROWD_COUNT = 240
LARGE_CROWD_COUNT = 20
ENDLESS_COUNT = 24
# In very small chunks each byte takes six, which is enough to send for so many connections.
TINY_BODY_BYTES = 16 * KB


@pytest.fixture
def instance(tmp_path: Path) -> Iterator[FloodedInstance]:
    made = FloodedInstance(
        tmp_path, memory_mb=MEMORY_MB, connections=CONNECTIONS, body_max_bytes=BODY_MAX_BYTES
    )
    try:
        made.start()
        yield made
    finally:
        made.close()


@pytest.fixture
def small_instance(tmp_path: Path) -> Iterator[FloodedInstance]:
    """An instance with little memory that takes more connections than the crowd has."""
    made = FloodedInstance(
        tmp_path, memory_mb=SMALL_MEMORY_MB, connections=1_000, body_max_bytes=BODY_MAX_BYTES
    )
    try:
        made.start()
        yield made
    finally:
        made.close()


def send_whole(number: int) -> bytes:
    return send_with_length(number, BODY_MAX_BYTES // 2, missing_bytes=0)


def stop_short(number: int) -> bytes:
    return send_with_length(number, BODY_MAX_BYTES // 2, missing_bytes=1)


def stop_short_in_large_chunks(number: int) -> bytes:
    return send_in_chunks(number, BODY_MAX_BYTES // 2, chunk_bytes=PIECE_BYTES)


def stop_short_in_tiny_chunks(number: int) -> bytes:
    return send_in_chunks(number, TINY_BODY_BYTES, chunk_bytes=1)


def stop_short_of_small_body(number: int) -> bytes:
    return send_with_length(number, SMALL_BODY_BYTES, missing_bytes=1)


def stop_short_of_small_body_in_chunks(number: int) -> bytes:
    return send_in_chunks(number, SMALL_BODY_BYTES, chunk_bytes=SMALL_BODY_BYTES // 3)


class TestCrowdThatStaysOpen:
    # Guards against callers that keep what others need: connections, threads or room for bodies.
    @pytest.mark.parametrize(
        ("make", "piece_bytes"),
        [
            pytest.param(send_whole, 0, id="whole"),
            pytest.param(send_whole, PIECE_BYTES, id="whole-in-pieces"),
            pytest.param(stop_short, 0, id="short"),
            pytest.param(stop_short, PIECE_BYTES, id="short-in-pieces"),
            pytest.param(stop_short_in_large_chunks, 0, id="large-chunks"),
            pytest.param(stop_short_in_tiny_chunks, 0, id="tiny-chunks"),
            pytest.param(stop_short_in_tiny_chunks, PIECE_BYTES // 4, id="tiny-chunks-in-pieces"),
        ],
    )
    def test_ordinary_caller_is_answered_while_the_crowd_stays(
        self, instance: FloodedInstance, make: Callable[[int], bytes], piece_bytes: int
    ) -> None:
        crowd = Crowd(instance.address)
        with closing(crowd):
            crowd.send([make(number) for number in range(CROWD_COUNT)], piece_bytes=piece_bytes)
            instance.check_sound()

    # Guards against bodies that need no room each, and are too many for the memory together.
    @pytest.mark.parametrize(
        "make",
        [
            pytest.param(stop_short_of_small_body, id="short"),
            pytest.param(stop_short_of_small_body_in_chunks, id="large-chunks"),
            pytest.param(stop_short_in_tiny_chunks, id="tiny-chunks"),
        ],
    )
    def test_small_bodies_that_stop_short_stay_within_the_memory(
        self, small_instance: FloodedInstance, make: Callable[[int], bytes]
    ) -> None:
        small = [make(number) for number in range(SMALL_CROWD_COUNT)]
        large = [stop_short(SMALL_CROWD_COUNT + number) for number in range(LARGE_CROWD_COUNT)]
        crowd = Crowd(small_instance.address)
        with closing(crowd):
            crowd.send([*large, *small])
            small_instance.check_sound()


class TestBodiesOverTheLimit:
    @pytest.mark.parametrize(
        ("start", "block"),
        [
            pytest.param(LENGTH % (10 * 1024 * MB), b"x" * PIECE_BYTES, id="announced"),
            pytest.param(
                b"Content-Length: " + b"9" * 8_000 + b"\r\n\r\n", b"x" * PIECE_BYTES, id="digits"
            ),
            pytest.param(
                CHUNKED, b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n", id="just-sent"
            ),
        ],
    )
    def test_ordinary_caller_is_answered_while_they_are_sent(
        self, instance: FloodedInstance, start: bytes, block: bytes
    ) -> None:
        crowd = EndlessCrowd(instance.address, count=ENDLESS_COUNT, start=start, block=block)
        with closing(crowd):
            instance.check_sound()
        instance.check_sound()

    @pytest.mark.parametrize(
        "length",
        [
            pytest.param(b"1048577", id="one-more"),
            pytest.param(b"9" * 8_000, id="digits"),
        ],
    )
    def test_announced_body_is_refused_as_too_large(
        self, instance: FloodedInstance, length: bytes
    ) -> None:
        head = HEAD % 1 + b"Content-Length: " + length + b"\r\n\r\n"
        assert instance.send(head).startswith(b"HTTP/1.1 413 ")


class TestBodiesInCalm:
    @pytest.mark.parametrize(
        "request_bytes",
        [
            pytest.param(send_with_length(1, BODY_MAX_BYTES, missing_bytes=0), id="length"),
            pytest.param(
                send_in_chunks(1, BODY_MAX_BYTES, chunk_bytes=PIECE_BYTES) + b"0\r\n\r\n",
                id="large-chunks",
            ),
            pytest.param(
                send_in_chunks(1, BODY_MAX_BYTES, chunk_bytes=1) + b"0\r\n\r\n", id="tiny-chunks"
            ),
        ],
    )
    def test_largest_body_within_the_limit_is_served(
        self, instance: FloodedInstance, request_bytes: bytes
    ) -> None:
        closing_request = request_bytes.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        assert instance.send(closing_request).startswith(b"HTTP/1.1 200 ")
