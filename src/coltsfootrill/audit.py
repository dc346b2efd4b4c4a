"""The audit trail of one process: ordered records of changes, durable where there is a disk."""

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

FILE_MAX_BYTES = 4 * 1024 * 1024
FILES_MAX_COUNT = 4
MEMORY_MAX_COUNT = 2_000


class AuditEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change. ``number`` orders the records of one instance; ``at_ms`` is wall time."""

    number: int
    at_ms: int
    instance: str
    subject: str
    change: str
    before: str = ""
    after: str = ""


class AuditTrail:
    """Numbers events, logs them, and writes them in batches with one sync each.

    ``record`` never blocks on the disk. Without a folder the newest records stay in memory only.
    """

    def __init__(self, instance_id: str, folder: Path | None, *, clock: Clock) -> None:
        self._instance_id = instance_id
        self._folder = folder
        self._clock = clock
        self._lock = threading.Lock()
        self._recent: deque[AuditEvent] = deque(maxlen=MEMORY_MAX_COUNT)
        self._pending: queue.SimpleQueue[AuditEvent | None] = queue.SimpleQueue()
        self._number = 0
        self._thread: threading.Thread | None = None
        if folder is not None:
            self._open_folder(folder)

    def record(self, subject: str, change: str, *, before: str = "", after: str = "") -> None:
        """Add one event."""
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
        """Return the newest events with a number above ``after_number``, in order."""
        with self._lock:
            return [event for event in self._recent if event.number > after_number]

    def close(self) -> None:
        """Write what is pending."""
        if self._thread is not None:
            self._pending.put(None)
            self._thread.join()

    def _open_folder(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for path in _list_files(folder):
            for event in _read_events(path):
                self._recent.append(event)
                self._number = max(self._number, event.number)
        self._thread = threading.Thread(target=self._write, name="audit", daemon=True)
        self._thread.start()

    def _write(self) -> None:
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
                _append(self._folder, events)
            except OSError as error:
                logging.error('audit records not written count=%d error="%s"', len(events), error)


def _append(folder: Path, events: list[AuditEvent]) -> None:
    files = _list_files(folder)
    if files and files[-1].stat().st_size < FILE_MAX_BYTES:
        path = files[-1]
    else:
        path = folder / f"audit-{events[0].number:012d}.jsonl"
    is_new = not path.exists()
    with open(path, "ab") as file:
        _end_torn_line(file, path)
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


def _end_torn_line(file: IO[bytes], path: Path) -> None:
    """Close a line that a crash left without its end, so that the next record stands alone."""
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
            # A line that a crash cut off; the records around it are whole.
            continue
    return events
