"""Snapshot of a hub's upstreams and departures on disk, restored after a restart.

All processes may lose power at once. Upstreams announce themselves again within seconds, but
callers do not wait that long.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path

import msgspec
from absl import logging

from coltsfootrill.control.files import DamagedFileError
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.files import StorageError
from coltsfootrill.control.files import read_record
from coltsfootrill.control.files import write_record
from coltsfootrill.membership.messages import DepartureRequest
from coltsfootrill.registry.announcement import Announcement

FILE_NAME = "upstreams.rec"
LOG_INTERVAL_S = 30


class StoredUpstreams(msgspec.Struct, frozen=True, kw_only=True):
    """The newest announcement of each upstream, and the departures of which there is none."""

    upstreams: list[Announcement] = []
    departures: list[DepartureRequest] = []


# Earlier versions stored the announcements only.
_decoder = msgspec.msgpack.Decoder(StoredUpstreams | list[Announcement])


class UpstreamSnapshot:
    """One file with what a hub stores of upstreams. Thread-safe."""

    def __init__(self, folder: Path, *, files: FileLayer) -> None:
        self._folder = folder
        self._files = files
        self._lock = threading.Lock()
        self._written: StoredUpstreams | None = None

    def read(self) -> StoredUpstreams:
        """Return what is stored, nothing if the file is missing or cannot be decoded."""
        try:
            raw = read_record(self._files, self._folder / FILE_NAME)
            stored = StoredUpstreams() if raw is None else _decoder.decode(raw)
        except (DamagedFileError, msgspec.MsgspecError) as error:
            logging.warning('upstream snapshot not restored error="%s"', error)
            return StoredUpstreams()
        return StoredUpstreams(upstreams=stored) if isinstance(stored, list) else stored

    def write(self, describe: Callable[[], StoredUpstreams]) -> bool:
        """Write what ``describe`` returns if it changed; return whether it is on disk.

        A failed write is logged. ``describe`` is called once no other write is in progress, so that
        nothing older is ever written over something newer.
        """
        with self._lock:
            stored = describe()
            if stored == self._written:
                return True
            try:
                self._folder.mkdir(parents=True, exist_ok=True)
                raw = msgspec.msgpack.encode(stored)
                write_record(self._files, self._folder / FILE_NAME, raw)
                self._written = stored
            except (StorageError, OSError) as error:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'upstream snapshot not written error="%s"',
                    LOG_INTERVAL_S,
                    error,
                )
                return False
            return True
