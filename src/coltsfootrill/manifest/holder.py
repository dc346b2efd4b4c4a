"""The manifest in force on one entry instance. Its version never decreases."""

from __future__ import annotations

import threading
import weakref
from collections.abc import Callable
from collections.abc import Mapping

from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.codec import digest_manifest
from coltsfootrill.manifest.format import NATIVE_FORMAT
from coltsfootrill.manifest.format import ManifestFormat
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.naming.scheme import NamingScheme


class ManifestHolder:
    """Holds the current routing table.

    Each request keeps a reference to the table it started with, so an old table is freed when the
    last of its requests ends. ``count_live_tables`` returns how many are still in memory.
    """

    __slots__ = (
        "_adopted",
        "_format",
        "_live_tables",
        "_lock",
        "_on_adopt",
        "_raw",
        "_schemes",
        "current",
    )

    def __init__(
        self,
        schemes: Mapping[str, NamingScheme],
        *,
        manifest_format: ManifestFormat = NATIVE_FORMAT,
        on_adopt: Callable[[RoutingTable | None, RoutingTable], None] = lambda old, new: None,
    ) -> None:
        self._schemes = schemes
        self._format = manifest_format
        self._on_adopt = on_adopt
        self._lock = threading.Lock()
        self._raw = b""
        self._live_tables: weakref.WeakSet[RoutingTable] = weakref.WeakSet()
        self._adopted = threading.Condition(self._lock)
        self.current: RoutingTable | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first manifest."""
        return 0 if self.current is None else self.current.version

    def adopt(self, raw: bytes) -> bool:
        """Put an accepted manifest into force if it is newer, and return whether it was.

        Raises ``InvalidManifestError`` when this program cannot decode it.
        """
        manifest = self._format.decode(raw)
        table = RoutingTable.from_manifest(manifest, digest_manifest(raw), self._schemes)
        with self._lock:
            previous = self.current
            if table.version <= self.version:
                return False
            self._raw = raw
            self.current = table
            self._live_tables.add(table)
            self._on_adopt(previous, table)
            self._adopted.notify_all()
        return True

    def adopt_if_valid(self, raw: bytes) -> InvalidManifestError | None:
        """Adopt a manifest; return the error, for logging, if it cannot be decoded."""
        try:
            self.adopt(raw)
        except InvalidManifestError as error:
            return error
        return None

    def wait_for_first(self, timeout_ms: float) -> RoutingTable | None:
        """Return the table in force; wait up to ``timeout_ms`` for the first one."""
        self.wait_for_newer(0, timeout_ms)
        return self.current

    def wait_for_newer(self, version: int, timeout_ms: float) -> None:
        """Wait up to ``timeout_ms`` until a manifest newer than ``version`` is in force."""
        with self._adopted:
            self._adopted.wait_for(lambda: self.version > version, timeout_ms / 1000)

    def read_newer(self, known_version: int) -> tuple[int, bytes]:
        """Return the version in force, and its bytes if it is newer than ``known_version``.

        The bytes are empty otherwise.
        """
        with self._lock:
            version = self.version
            return version, self._raw if version > known_version else b""

    def count_live_tables(self) -> int:
        """Return the number of tables in memory, including the current one."""
        return len(self._live_tables)
