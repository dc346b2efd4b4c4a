"""The initial replica set of a data folder, used until the register holds a newer one.

It is stored so that later changes of the seeds in the settings do not alter it.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.files import read_record
from coltsfootrill.control.files import write_record

FILE_NAME = "founded.rec"


def bootstrap_replicas(folder: Path, replicas: dict[str, str], *, files: FileLayer) -> None:
    """Persist the initial replica set; raise ``StorageError`` if it cannot be written."""
    folder.mkdir(parents=True, exist_ok=True)
    write_record(files, folder / FILE_NAME, msgspec.msgpack.encode(replicas))


def read_bootstrap_replicas(folder: Path, *, files: FileLayer) -> dict[str, str] | None:
    """Return the initial replica set, or ``None`` if this disk was not part of the first start.

    Raises ``DamagedFileError`` when the record cannot be read.
    """
    raw = read_record(files, folder / FILE_NAME)
    return None if raw is None else msgspec.msgpack.decode(raw, type=dict[str, str])
