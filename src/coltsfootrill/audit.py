"""The audit trail of a process: numbered records of changes, persisted if there is a folder."""

from __future__ import annotations

import os
import queue
import threading
from collections import deque
from pathlib import Path
from typing import IO

import msgspec
from absl import logging

from coltsfootrill.clock import Clock

# A file that reaches this size is closed for writing and a new one is started.
FILE_MAX_BYTES = 4 * 1024 * 1024
FILES_MAX_COUNT = 4
MEMORY_EVENTS_MAX_COUNT = 2_000


class AuditEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One recorded change.

    ``number`` orders the events of one instance; ``at_ms`` is wall time.
    """

    number: int
    at_ms: int
    instance: str
    subject: str
    change: str
    before: str = ""
    after: str = ""


class AuditTrail:
    """Number and log events, and write them in batches with one ``fsync`` for each batch.

    ``record`` never blocks on the disk: a thread writes the files. Without a folder only the newest
    ``MEMORY_EVENTS_MAX_COUNT`` events are available, from memory.
    """

    def __init__(self, instance_id: str, folder: Path | None, *, clock: Clock) -> None:
        self._instance_id = instance_id
        self._folder = folder
        self._clock = clock
        self._lock = threading.Lock()
        self._recent: deque[AuditEvent] = deque(maxlen=MEMORY_EVENTS_MAX_COUNT)
        self._pending: queue.SimpleQueue[AuditEvent | None] = queue.SimpleQueue()
        self._number = 0
        self._thread: threading.Thread | None = None
        if folder is not None:
            self._load_and_start_writer(folder)

    def record(self, subject: str, change: str, *, before: str = "", after: str = "") -> None:
        """Add an event, log it, and queue it for writing."""
        with self._lock:
            self._number += 1
            event = AuditEvent(
                number=self._number,
                at_ms=self._clock.wall_ms(),
                instance=self._instance_id,
                subject=subject,
                change=change,
                before=before,
                after=after,
            )
            self._recent.append(event)
            if self._thread is not None:
                self._pending.put(event)
        logging.info(
            'change subject="%s" change="%s" before="%s" after="%s"', subject, change, before, after
        )

    def read(self, after_number: int = 0) -> list[AuditEvent]:
        """Return the events in memory with a number above ``after_number``, oldest first."""
        with self._lock:
            return [event for event in self._recent if event.number > after_number]

    def close(self) -> None:
        """Write the queued events and stop the writing thread."""
        if self._thread is not None:
            self._pending.put(None)
            self._thread.join()

    def _load_and_start_writer(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for path in _list_files(folder):
            for event in _read_events(path):
                self._recent.append(event)
                self._number = max(self._number, event.number)
        self._thread = threading.Thread(target=self._write_batches, name="audit", daemon=True)
        self._thread.start()

    def _write_batches(self) -> None:
        assert self._folder is not None
        is_open = True
        while is_open:
            batch = [self._pending.get()]
            while not self._pending.empty():
                batch.append(self._pending.get())
            is_open = None not in batch
            events = [event for event in batch if event is not None]
            if not events:
                continue
            try:
                _append_events(self._folder, events)
            except OSError as error:
                logging.error(
                    'failed to write audit records count=%d error="%s"', len(events), error
                )


def _append_events(folder: Path, events: list[AuditEvent]) -> None:
    files = _list_files(folder)
    if files and files[-1].stat().st_size < FILE_MAX_BYTES:
        path = files[-1]
    else:
        path = folder / f"audit-{events[0].number:012d}.jsonl"
    is_new = not path.exists()
    with open(path, "ab") as file:
        _end_incomplete_line(file, path)
        for event in events:
            file.write(msgspec.json.encode(event) + b"\n")
        file.flush()
        os.fsync(file.fileno())
    if is_new:
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    for old in _list_files(folder)[:-FILES_MAX_COUNT]:
        old.unlink()


def _end_incomplete_line(file: IO[bytes], path: Path) -> None:
    """End a line that a crash left incomplete, so that the next record starts on its own line."""
    size = path.stat().st_size
    if size == 0:
        return
    with open(path, "rb") as reader:
        reader.seek(size - 1)
        if reader.read(1) != b"\n":
            file.write(b"\n")


def _list_files(folder: Path) -> list[Path]:
    return sorted(folder.glob("audit-*.jsonl"))


def _read_events(path: Path) -> list[AuditEvent]:
    events: list[AuditEvent] = []
    for line in path.read_bytes().splitlines():
        try:
            events.append(msgspec.json.decode(line, type=AuditEvent))
        except (msgspec.MsgspecError, UnicodeDecodeError):
            # A crash left this line incomplete; the other lines are complete records.
            continue
    return events
