"""Writes events as JSON lines to standard output without blocking the code that emits them."""

from __future__ import annotations

import os
import sys
import threading
from collections import deque

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import Event
from coltsfootrill.events.catalog import LinesDropped

QUEUE_MAX_COUNT = 5_000
LINES_PER_WRITE_MAX_COUNT = 200
WRITE_INTERVAL_MS = 100.0


class EventLog:
    """A bounded queue of events and the thread that writes them.

    ``emit`` never blocks. Events that do not fit into the queue are dropped and counted in
    ``dropped``, and the writing thread logs the count.
    """

    def __init__(self, instance: str, *, clock: Clock, descriptor: int | None = None) -> None:
        self._instance = instance
        self._clock = clock
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._encoder = msgspec.json.Encoder()
        self._queue: deque[tuple[int, Event]] = deque()
        self._stopping = threading.Event()
        self._has_queued = threading.Event()
        self._thread: threading.Thread | None = None
        self.dropped = 0

    def start(self) -> None:
        """Start the writing thread."""
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)
        self._thread.start()

    def emit(self, event: Event) -> None:
        """Queue an event with the current time, or drop it if the queue is full."""
        if len(self._queue) >= QUEUE_MAX_COUNT:
            self.dropped += 1
            return
        self._queue.append((self._clock.wall_ms(), event))
        self._has_queued.set()

    def close(self) -> None:
        """Write the queued events; stop waiting if the reader of the log does not read them."""
        self._stopping.set()
        self._has_queued.set()
        if self._thread is not None:
            self._thread.join(WRITE_INTERVAL_MS * 3 / 1000)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._has_queued.wait()
            # Events that follow closely are written together.
            self._stopping.wait(WRITE_INTERVAL_MS / 1000)
            self._has_queued.clear()
            self._write_queued()
        self._write_queued()

    def _write_queued(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self._queue.append((self._clock.wall_ms(), LinesDropped(count=count)))
        while self._queue:
            lines: list[bytes] = []
            while self._queue and len(lines) < LINES_PER_WRITE_MAX_COUNT:
                lines.append(self._encode(*self._queue.popleft()))
            _write_fully(self._descriptor, b"".join(lines))

    def _encode(self, at_ms: int, event: Event) -> bytes:
        body = self._encoder.encode(event)
        head = b'{"at_ms":%d,"instance":"%s",' % (at_ms, self._instance.encode())
        return head + body[1:] + b"\n"


def _write_fully(descriptor: int, data: bytes) -> None:
    while data:
        try:
            data = data[os.write(descriptor, data) :]
        except OSError:
            # The reader has closed the log, so the error cannot be logged either.
            return
