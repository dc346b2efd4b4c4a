"""The replica set that a disk was founded with, kept until the register tells a newer one."""

from __future__ import annotations

from pathlib import Path

import msgspec

from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.files import read_record
from coltsfootrill.control.files import write_record

FILE_NAME = "founded.rec"


def bootstrap_replicas(folder: Path, replicas: dict[str, str], *, files: FileLayer) -> None:
    """Keep the first replica set; raise ``StorageError`` when the disk does not take it."""
    folder.mkdir(parents=True, exist_ok=True)
    write_record(files, folder / FILE_NAME, msgspec.msgpack.encode(replicas))


def read_bootstrap_replicas(folder: Path, *, files: FileLayer) -> dict[str, str] | None:
    """Return the first replica set, ``None`` on a disk that was not there at the first start.

    Raises ``DamagedFileError`` when the record is not readable.
    """
    raw = read_record(files, folder / FILE_NAME)
    return None if raw is None else msgspec.msgpack.decode(raw, type=dict[str, str])
