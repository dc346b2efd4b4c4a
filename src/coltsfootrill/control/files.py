"""Files that either hold their old or their new content, whatever moment a crash comes."""

from __future__ import annotations

import os
import struct
from pathlib import Path

import google_crc32c

from coltsfootrill.errors import ColtsfootrillError

_MAGIC = b"CFR1"
_HEADER = struct.Struct(">4sQI")


class StorageError(ColtsfootrillError):
    """The data folder cannot be written."""


class DamagedFileError(ColtsfootrillError):
    """A file does not hold what was written to it."""


class FileLayer:
    """Calls of the operating system, one method each, so that tests can fail any of them."""

    __slots__ = ()

    def write(self, path: Path, data: bytes) -> None:
        """Write a file and sync it."""
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, source: Path, target: Path) -> None:
        """Replace ``target`` by ``source`` in one step."""
        os.replace(source, target)

    def sync_folder(self, folder: Path) -> None:
        """Make renames in ``folder`` durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, ``None`` when there is none."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None


def write_record(files: FileLayer, path: Path, payload: bytes) -> None:
    """Replace the record in ``path`` and return once it is durable; raise ``StorageError``.

    The new content is complete and synced before it takes the old one's name, so a file under
    that name is never torn: a wrong checksum always means damage.
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
    """Return the record in ``path``, ``None`` when there is none.

    Raises ``DamagedFileError`` when the content is not what was written.
    """
    try:
        data = files.read(path)
    except OSError as error:
        raise DamagedFileError(f"cannot read {path.name}: {error}") from error
    if data is None:
        return None
    if len(data) < _HEADER.size:
        raise DamagedFileError(f"{path.name} has only {len(data)} bytes")
    magic, length, checksum = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    if magic != _MAGIC or length != len(payload) or checksum != google_crc32c.value(payload):
        raise DamagedFileError(f"{path.name} has a wrong checksum")
    return payload
