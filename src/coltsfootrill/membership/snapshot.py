"""Snapshot of a hub's upstreams on disk, from which it restores them after a restart.

All processes may lose power at once. Upstreams announce themselves again within seconds, but
callers do not wait that long.
"""

from __future__ import annotations

import threading
from pathlib import Path

import msgspec
from absl import logging

from coltsfootrill.control.files import DamagedFileError
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.files import StorageError
from coltsfootrill.control.files import read_record
from coltsfootrill.control.files import write_record
from coltsfootrill.registry.announcement import Announcement

FILE_NAME = "upstreams.rec"
LOG_INTERVAL_S = 30

_decoder = msgspec.msgpack.Decoder(list[Announcement])


class UpstreamSnapshot:
    """One file with the newest announcement of each upstream. Thread-safe."""

    def __init__(self, folder: Path, *, files: FileLayer) -> None:
        self._folder = folder
        self._files = files
        self._lock = threading.Lock()
        self._written: list[Announcement] | None = None

    def read(self) -> list[Announcement]:
        """Return the stored announcements, none if the file is missing or cannot be decoded."""
        try:
            raw = read_record(self._files, self._folder / FILE_NAME)
            return [] if raw is None else _decoder.decode(raw)
        except (DamagedFileError, msgspec.MsgspecError) as error:
            logging.warning('upstream snapshot not restored error="%s"', error)
            return []

    def write(self, announcements: list[Announcement]) -> None:
        """Write announcements if they changed; a failed write is only logged.

        Without the snapshot a restarted hub only has to wait for the upstreams to announce
        themselves again.
        """
        with self._lock:
            if announcements == self._written:
                return
            try:
                self._folder.mkdir(parents=True, exist_ok=True)
                raw = msgspec.msgpack.encode(announcements)
                write_record(self._files, self._folder / FILE_NAME, raw)
                self._written = announcements
            except (StorageError, OSError) as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'upstream snapshot not written error="%s"',
                    LOG_INTERVAL_S,
                    error,
                )
