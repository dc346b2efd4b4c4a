"""Floods, and the memory that the users count: what a process holds and what it has not read.

Each test checks only what does not depend on the speed of the machine. Crowds return when they are
refused.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.floods.crowd import CHUNKED
from testing.floods.crowd import HEAD
from testing.floods.crowd import LENGTH
from testing.floods.crowd import PIECE_BYTES
from testing.floods.crowd import EndlessCrowd
from testing.floods.crowd import ReturningCrowd
from testing.floods.crowd import closing
from testing.floods.crowd import send_in_chunks
from testing.floods.crowd import send_with_length
from testing.floods.instance import FloodedInstance

KB = 1024
MB = 1024 * KB
CONNECTIONS = 320
MEMORY_MB = 110
BODY_MAX_BYTES = 8 * MB
CROWD_COUNT = 300
CROWD_BODY_BYTES = 4 * MB
ENDLESS_COUNT = 200
ENDLESS_S = 3.0
# Below the limit of waitress.
ANNOUNCING_COUNT = 80
LARGE_MEMORY_MB = 200
LARGE_PROGRAM = ("-m", "testing.floods.large_program", "node", "--settings")
FEW_CONNECTIONS = 64
FEW_COUNT = 48
SMALL_BODY_BYTES = 63 * KB
SMALL_CROWD_COUNT = 400
MANY_CONNECTIONS = 500
MANY_MEMORY_MB = 180
# The largest that the users' pages allow.
USERS_BODY_BYTES = 64 * MB
# Slow enough that the body takes far over a minute, and over 4 KiB a second.
TRICKLE_BYTES = 2 * KB
TRICKLE_PAUSE_S = 0.25
CLOSING_REQUEST = b"Connection: close\r\n"


def stop_short(number: int) -> bytes:
    return send_with_length(number, CROWD_BODY_BYTES, missing_bytes=1)


def stop_short_in_large_chunks(number: int) -> bytes:
    return send_in_chunks(number, CROWD_BODY_BYTES, chunk_bytes=MB)


def stop_short_in_small_chunks(number: int) -> bytes:
    return send_in_chunks(number, CROWD_BODY_BYTES, chunk_bytes=KB)


def stop_short_of_small_body(number: int) -> bytes:
    return send_with_length(number, SMALL_BODY_BYTES, missing_bytes=1)


def make_chunk(data_bytes: int) -> bytes:
    return b"%x\r\n" % data_bytes + b"x" * data_bytes + b"\r\n"


def send_whole(body_bytes: int) -> bytes:
    """Return a whole request, after which the connection closes."""
    request = send_with_length(1, body_bytes, missing_bytes=0)
    return request.replace(b"\r\n", b"\r\n" + CLOSING_REQUEST, 1)


Start = Callable[..., FloodedInstance]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    """Start an instance; the test may change its limits."""
    started: list[FloodedInstance] = []

    def start(**changes: object) -> FloodedInstance:
        limits = {
            "memory_mb": MEMORY_MB,
            "connections": CONNECTIONS,
            "body_max_bytes": BODY_MAX_BYTES,
        }
        instance = FloodedInstance(tmp_path, **(limits | changes))  # type: ignore[arg-type]
        started.append(instance)
        instance.start()
        return instance

    yield start
    for instance in started:
        instance.close()


class TestUnreadBytes:
    # Guards against bytes that have arrived, are not read, and fill the memory of the instance.
    @pytest.mark.parametrize(
        ("make", "piece_bytes"),
        [
            pytest.param(stop_short, 0, id="short"),
            pytest.param(stop_short, PIECE_BYTES, id="short-in-pieces"),
            pytest.param(stop_short_in_large_chunks, 0, id="large-chunks"),
            pytest.param(stop_short_in_small_chunks, 0, id="small-chunks"),
        ],
    )
    def test_bodies_that_stop_short_stay_within_the_memory(
        self, start: Start, make: Callable[[int], bytes], piece_bytes: int
    ) -> None:
        instance = start()
        crowd = ReturningCrowd(
            instance.address, count=CROWD_COUNT, make=make, piece_bytes=piece_bytes
        )
        with closing(crowd):
            instance.check_sound_for_long()

    @pytest.mark.parametrize(
        ("head", "block"),
        [
            pytest.param(LENGTH % (10 * KB * MB), b"x" * PIECE_BYTES, id="announced"),
            pytest.param(CHUNKED, make_chunk(PIECE_BYTES), id="just-sent"),
            pytest.param(CHUNKED, make_chunk(MB), id="just-sent-in-large-chunks"),
        ],
    )
    def test_bodies_over_the_limit_stay_within_the_memory(
        self, start: Start, head: bytes, block: bytes
    ) -> None:
        instance = start()
        crowd = EndlessCrowd(instance.address, count=ENDLESS_COUNT, start=head, block=block)
        with closing(crowd):
            instance.check_sound_for_long()

    def test_requests_sent_behind_others_stay_within_the_memory(self, start: Start) -> None:
        instance = start()
        block = HEAD % 1 + LENGTH % PIECE_BYTES + b"x" * PIECE_BYTES
        crowd = EndlessCrowd(instance.address, count=ENDLESS_COUNT, start=LENGTH % 0, block=block)
        with closing(crowd):
            time.sleep(ENDLESS_S)
        instance.check_sound()

    def test_callers_of_the_port_for_announcements_stay_within_the_memory(
        self, start: Start
    ) -> None:
        instance = start()
        block = HEAD % 1 + LENGTH % MB + b"x" * MB
        address = (instance.node.host, instance.node.ports["interface"])
        crowd = EndlessCrowd(address, count=ANNOUNCING_COUNT, start=LENGTH % 0, block=block)
        with closing(crowd):
            instance.check_sound_for_long()


class TestProgramThatIsLarge:
    # Guards against a bound of bodies that does not know how much the rest of the process takes.
    @pytest.mark.parametrize("make", [stop_short, stop_short_in_large_chunks])
    def test_bodies_leave_it_its_memory(self, start: Start, make: Callable[[int], bytes]) -> None:
        instance = start(
            memory_mb=LARGE_MEMORY_MB, connections=FEW_CONNECTIONS, program=LARGE_PROGRAM
        )
        crowd = ReturningCrowd(instance.address, count=FEW_COUNT, make=make)
        with closing(crowd):
            instance.check_sound_for_long()


class TestAfterAFlood:
    # Guards against memory that a crowd has left behind and that no later request can use.
    def test_largest_body_is_served(self, start: Start) -> None:
        instance = start(
            memory_mb=MANY_MEMORY_MB, connections=MANY_CONNECTIONS, body_max_bytes=USERS_BODY_BYTES
        )
        crowd = ReturningCrowd(
            instance.address, count=SMALL_CROWD_COUNT, make=stop_short_of_small_body
        )
        with closing(crowd):
            instance.check_sound_for_long()
        instance.wait_until_served(send_whole(USERS_BODY_BYTES))
        instance.check_bounds()

    def test_second_flood_of_another_kind_stays_within_the_memory(self, start: Start) -> None:
        instance = start(memory_mb=MANY_MEMORY_MB, connections=MANY_CONNECTIONS)
        small = ReturningCrowd(
            instance.address, count=SMALL_CROWD_COUNT, make=stop_short_of_small_body
        )
        with closing(small):
            instance.check_sound_for_long()
        large = ReturningCrowd(instance.address, count=CROWD_COUNT, make=stop_short)
        with closing(large):
            instance.check_sound_for_long()


class TestTrickle:
    # Guards against callers that send just enough not to count as stalled, and hold all places.
    def test_ordinary_caller_is_answered(self, start: Start) -> None:
        instance = start(connections=FEW_CONNECTIONS)
        crowd = ReturningCrowd(
            instance.address,
            count=FEW_CONNECTIONS + FEW_CONNECTIONS // 2,
            make=stop_short,
            piece_bytes=TRICKLE_BYTES,
            pause_s=TRICKLE_PAUSE_S,
        )
        with closing(crowd):
            instance.check_sound_for_long()

    # Guards against callers that hold the memory of all bodies in the same way.
    def test_largest_body_is_served(self, start: Start) -> None:
        instance = start()
        crowd = ReturningCrowd(
            instance.address,
            count=FEW_COUNT,
            make=stop_short,
            piece_bytes=TRICKLE_BYTES,
            pause_s=TRICKLE_PAUSE_S,
        )
        with closing(crowd):
            # Until they hold the memory.
            time.sleep(ENDLESS_S)
            instance.wait_until_served(send_whole(BODY_MAX_BYTES))
            instance.check_bounds()


class TestLargestBody:
    @pytest.mark.parametrize(
        "request_bytes",
        [
            pytest.param(send_whole(BODY_MAX_BYTES), id="length"),
            pytest.param(
                (send_in_chunks(1, BODY_MAX_BYTES, chunk_bytes=MB) + b"0\r\n\r\n").replace(
                    b"\r\n", b"\r\n" + CLOSING_REQUEST, 1
                ),
                id="chunks",
            ),
        ],
    )
    def test_is_served_in_calm(self, start: Start, request_bytes: bytes) -> None:
        instance = start()
        assert instance.send(request_bytes).startswith(b"HTTP/1.1 200 ")
        instance.check_bounds()
