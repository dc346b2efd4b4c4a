"""Atomic file replacement: after a crash a file holds either its old or its new content."""

from __future__ import annotations

import os
import struct
from pathlib import Path

import google_crc32c

from coltsfootrill.errors import ColtsfootrillError

_MAGIC = b"CFR1"
_HEADER = struct.Struct(">4sQI")


class StorageError(ColtsfootrillError):
    """A file in the data folder could not be written or synced."""


class DamagedFileError(ColtsfootrillError):
    """A file cannot be read, or its content differs from what was written."""


class FileLayer:
    """File operations of the operating system, one method each, so that tests can inject faults."""

    __slots__ = ()

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents, unless they exist."""
        folder.mkdir(parents=True, exist_ok=True)

    def write(self, path: Path, data: bytes) -> None:
        """Write a file and sync it."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, source: Path, target: Path) -> None:
        """Atomically replace ``target`` with ``source``."""
        os.replace(source, target)

    def sync_folder(self, folder: Path) -> None:
        """Sync ``folder`` so that renames in it are durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, or ``None`` if it does not exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None


def write_record(files: FileLayer, path: Path, payload: bytes) -> None:
    """Replace the record in ``path`` and return once it is durable.

    The new content is written to a temporary file and synced before the rename, so ``path`` never
    holds a partial write and a wrong checksum always means damage.

    Raises ``StorageError`` when writing, renaming or syncing fails.
    """
    header = _HEADER.pack(_MAGIC, len(payload), google_crc32c.value(payload))
    temporary = path.with_suffix(".new")
    try:
        files.write(temporary, header + payload)
        files.rename(temporary, path)
        files.sync_folder(path.parent)
    except OSError as error:
        raise StorageError(f"cannot write {path.name}: {error}") from error


def read_record(files: FileLayer, path: Path) -> bytes | None:
    """Return the record in ``path``, or ``None`` if the file does not exist.

    Raises ``DamagedFileError`` when the file cannot be read or its checksum is wrong.
    """
    try:
        data = files.read(path)
    except OSError as error:
        raise DamagedFileError(f"cannot read {path.name}: {error}") from error
    if data is None:
        return None
    if len(data) < _HEADER.size:
        raise DamagedFileError(
            f"{path.name} has {len(data)} bytes; a record header has {_HEADER.size}"
        )
    magic, length, checksum = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    if magic != _MAGIC or length != len(payload) or checksum != google_crc32c.value(payload):
        raise DamagedFileError(
            f"{path.name} has a header that does not match its content: marker, length or checksum"
        )
    return payload
