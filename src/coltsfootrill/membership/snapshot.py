"""The upstreams that a hub knows, kept on its disk so that it knows them after a restart.

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
LOG_PAUSE_S = 30

_decoder = msgspec.msgpack.Decoder(list[Announcement])


class UpstreamSnapshot:
    """One file with the newest announcement of each upstream. Thread-safe."""

    def __init__(self, folder: Path, *, files: FileLayer) -> None:
        self._folder = folder
        self._files = files
        self._lock = threading.Lock()
        self._written: list[Announcement] | None = None

    def read(self) -> list[Announcement]:
        """Return what was kept, nothing when the file is not there or not readable."""
        try:
            raw = read_record(self._files, self._folder / FILE_NAME)
            return [] if raw is None else _decoder.decode(raw)
        except (DamagedFileError, msgspec.MsgspecError) as error:
            logging.warning('upstreams not restored error="%s"', error)
            return []

    def write(self, announcements: list[Announcement]) -> None:
        """Keep announcements; a disk that does not take them costs only time after a restart."""
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
                    logging.WARNING, 'upstreams not kept error="%s"', LOG_PAUSE_S, error
                )
