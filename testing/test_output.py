from __future__ import annotations

import fcntl
import os
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from coltsfootrill.output import CLOSE_TIMEOUT_MS
from coltsfootrill.output import QUEUE_MAX_COUNT
from coltsfootrill.output import LineStream
from coltsfootrill.output import LineWriter
from coltsfootrill.output import unblock
from testing.processes import wait_until

LINE = b"x" * 99 + b"\n"


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            pass


def _make_writer(descriptor: int) -> LineWriter[bytes]:
    unblock(descriptor)
    writer: LineWriter[bytes] = LineWriter(
        "test",
        descriptor,
        encode=lambda line: line,
        describe_dropped=lambda count: f"dropped {count}\n".encode(),
    )
    writer.start()
    return writer


def fill(descriptor: int) -> None:
    """Fill a pipe, so that it has no room for a single byte."""
    duplicate = os.dup(descriptor)
    # The descriptor itself goes on to block.
    unblock(duplicate)
    for size in (4_096, 1):
        try:
            while True:
                os.write(duplicate, b"f" * size)
        except BlockingIOError:
            continue
    os.close(duplicate)


class TestLineWriter:
    def test_dropped_lines_are_said_in_one_line_once_the_pipe_has_room(
        self, pipe: tuple[int, int]
    ) -> None:
        reader, descriptor = pipe
        fill(descriptor)
        writer = _make_writer(descriptor)
        for _ in range(2 * QUEUE_MAX_COUNT):
            writer.put(LINE)
        assert writer.dropped_total >= QUEUE_MAX_COUNT - 500
        received = bytearray()

        def read_until_said() -> bool:
            received.extend(os.read(reader, 1 << 20))
            return b"dropped" in received

        wait_until(read_until_said)
        assert received.count(b"dropped") == 1
        assert f"dropped {writer.dropped_total}".encode() in received

    def test_close_does_not_wait_for_a_reader(self, pipe: tuple[int, int]) -> None:
        fill(pipe[1])
        writer = _make_writer(pipe[1])
        writer.put(LINE)
        assert wait_until(lambda: writer.close() is None) < 2 * CLOSE_TIMEOUT_MS / 1000

    def test_reader_that_has_gone_ends_nothing(self, pipe: tuple[int, int]) -> None:
        os.close(pipe[0])
        writer = _make_writer(pipe[1])
        for _ in range(10):
            writer.put(LINE)
        wait_until(lambda: not writer._queue)
        assert writer._thread is not None
        assert writer._thread.is_alive()


class TestLineStream:
    def test_lines_are_written_whole(self, pipe: tuple[int, int]) -> None:
        reader, descriptor = pipe
        writer = _make_writer(descriptor)
        stream = LineStream(writer, descriptor)
        print("one", "two", file=stream)
        stream.write("three\nfour")
        writer.close()
        assert os.read(reader, 1_000) == b"one two\nthree\n"


class TestUnblock:
    def test_pipe_does_not_block_here_and_still_does_elsewhere(self, pipe: tuple[int, int]) -> None:
        descriptor = os.dup(pipe[1])
        unblock(descriptor)
        assert not os.get_blocking(descriptor)
        assert os.get_blocking(pipe[1])
        os.close(descriptor)

    def test_file_stays_as_it_is(self, tmp_path: Path) -> None:
        with open(tmp_path / "log", "wb") as file:
            flags = fcntl.fcntl(file.fileno(), fcntl.F_GETFL)
            unblock(file.fileno())
            assert fcntl.fcntl(file.fileno(), fcntl.F_GETFL) == flags


PROGRAM = """
import faulthandler, os, sys, threading, warnings
from absl import logging
from coltsfootrill.process import error_lines
from coltsfootrill.process import set_up_process
set_up_process()
def fail():
    raise RuntimeError("uncaught")
for _ in range(2_000):
    logging.warning("absl %s", "a" * 100)
warnings.warn("warning")
thread = threading.Thread(target=fail)
thread.start()
thread.join()
faulthandler.dump_traceback()
for descriptor in (1, 2):
    try:
        os.write(descriptor, b"x" * 1_000_000)
    except BlockingIOError:
        pass
waiting = len(error_lines._queue) + error_lines.dropped_total
os.write(int(sys.argv[1]), b"done" if waiting > 1_500 else b"lines are lost")
"""


class TestSetUpProcess:
    # Guards against threads that log to a full pipe and block for good.
    def test_nothing_that_writes_blocks_or_keeps_the_process_from_ending(
        self, pipe: tuple[int, int]
    ) -> None:
        fill(pipe[1])
        reader, writer = os.pipe()
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, str(writer)],
            stdout=pipe[1],
            stderr=pipe[1],
            pass_fds=[writer],
        )
        os.close(writer)
        timer = threading.Timer(20, process.kill)
        timer.start()
        assert os.read(reader, 100) == b"done"
        assert process.wait() == 0
        timer.cancel()
        os.close(reader)
