"""Lines for standard output and standard error, written without blocking the threads that log."""

from __future__ import annotations

import io
import os
import select
import stat
import threading
from collections import deque
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

QUEUE_MAX_COUNT = 5_000
LINES_PER_WRITE_MAX_COUNT = 200
WRITE_INTERVAL_MS = 100.0
CLOSE_TIMEOUT_MS = 3 * WRITE_INTERVAL_MS

Entry = TypeVar("Entry")


class LineWriter(Generic[Entry]):
    """A bounded queue of entries and the thread that writes them as lines to a descriptor.

    ``put`` never blocks. Entries that do not fit into the queue are dropped and counted in
    ``dropped``; once the descriptor takes lines again, the entry that ``describe_dropped`` makes of
    that count is written, and counting begins anew. ``dropped_total`` counts all of them.
    ``encode`` returns an entry as a line and runs in the writing thread.
    """

    def __init__(
        self,
        name: str,
        descriptor: int,
        *,
        encode: Callable[[Entry], bytes],
        describe_dropped: Callable[[int], Entry],
    ) -> None:
        self._name = name
        self._descriptor = descriptor
        self._encode = encode
        self._describe_dropped = describe_dropped
        self._queue: deque[Entry] = deque()
        self._stopping = threading.Event()
        self._has_queued = threading.Event()
        self._thread: threading.Thread | None = None
        self.dropped = 0
        self.dropped_total = 0

    def start(self) -> None:
        """Start the writing thread."""
        self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
        self._thread.start()

    def put(self, entry: Entry) -> None:
        """Queue an entry, or drop it if the queue is full."""
        if len(self._queue) >= QUEUE_MAX_COUNT:
            self.dropped += 1
            self.dropped_total += 1
            return
        self._queue.append(entry)
        self._has_queued.set()

    def close(self) -> None:
        """Write the queued entries; give up if the descriptor does not take them in time."""
        self._stopping.set()
        self._has_queued.set()
        if self._thread is not None:
            self._thread.join(CLOSE_TIMEOUT_MS / 1000)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._has_queued.wait()
            # Entries that follow closely are written together.
            self._stopping.wait(WRITE_INTERVAL_MS / 1000)
            self._has_queued.clear()
            self._write_queued()
        self._write_queued()

    def _write_queued(self) -> None:
        while self._queue:
            lines: list[bytes] = []
            while self._queue and len(lines) < LINES_PER_WRITE_MAX_COUNT:
                lines.append(self._encode(self._queue.popleft()))
            self._write_fully(b"".join(lines))
            if self.dropped:
                count, self.dropped = self.dropped, 0
                self._queue.append(self._describe_dropped(count))

    def _write_fully(self, data: bytes) -> None:
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                if not self._wait_until_writable():
                    return
            except OSError:
                # The reader has closed the log, so the error cannot be logged either.
                return

    def _wait_until_writable(self) -> bool:
        """Return whether the descriptor takes bytes; false if it does not while closing."""
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        while not poller.poll(WRITE_INTERVAL_MS):
            if self._stopping.is_set():
                return False
        return True


class LineStream(io.TextIOBase):
    """A text stream in the place of standard error, whose lines go to a ``LineWriter``."""

    encoding = "utf-8"

    def __init__(self, writer: LineWriter[bytes], descriptor: int) -> None:
        super().__init__()
        self._writer = writer
        self._descriptor = descriptor
        # Reentrant, because a signal handler may log while its thread does.
        self._lock = threading.RLock()
        self._partial = ""

    def write(self, text: str) -> int:
        """Queue the lines that ``text`` completes."""
        with self._lock:
            *lines, self._partial = (self._partial + text).split("\n")
            for line in lines:
                self._writer.put(line.encode("utf-8", "backslashreplace") + b"\n")
        return len(text)

    def writable(self) -> bool:
        """Return that the stream can be written to."""
        return True

    def fileno(self) -> int:
        """Return the descriptor that the lines go to."""
        return self._descriptor


def unblock(descriptor: int) -> None:
    """Keep writes to a pipe or socket from blocking, whatever code of the process makes them.

    The flags of an open pipe are shared with other processes, so it is opened a second time, with
    flags of its own. Where that is not possible, writes go on to block.
    """
    try:
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)
        elif stat.S_ISFIFO(mode):
            flags = os.O_WRONLY | os.O_NONBLOCK
            opened = os.open(f"/proc/self/fd/{descriptor}", flags)
            os.dup2(opened, descriptor)
            os.close(opened)
    except OSError:
        # The log cannot be used to say so before it is set up; only its own threads may block.
        return
