"""The manifest in force on one entry instance; it never goes back to an older one."""

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

    A request keeps the table it began with in a variable of its own; an old table goes when the
    last such request ends. ``count_live_tables`` shows how many are left.
    """

    __slots__ = ("_alive", "_format", "_lock", "_on_adopt", "_raw", "_schemes", "current")

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
        self._alive: weakref.WeakSet[RoutingTable] = weakref.WeakSet()
        self.current: RoutingTable | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 when there is none yet."""
        return 0 if self.current is None else self.current.version

    def adopt(self, raw: bytes) -> bool:
        """Put an accepted manifest into force and return whether it was newer.

        Raises ``InvalidManifestError`` when this program cannot read it.
        """
        manifest = self._format.decode(raw)
        table = RoutingTable.from_manifest(manifest, digest_manifest(raw), self._schemes)
        with self._lock:
            before = self.current
            if table.version <= self.version:
                return False
            self._raw = raw
            self.current = table
            self._alive.add(table)
            self._on_adopt(before, table)
        return True

    def adopt_if_valid(self, raw: bytes) -> InvalidManifestError | None:
        """Adopt a manifest and return the error when it cannot be read, to be logged."""
        try:
            self.adopt(raw)
        except InvalidManifestError as error:
            return error
        return None

    def read_newer(self, known_version: int) -> tuple[int, bytes]:
        """Return the version in force and its bytes, empty unless newer than ``known_version``."""
        with self._lock:
            version = self.version
            return version, self._raw if version > known_version else b""

    def count_live_tables(self) -> int:
        """Return how many tables are in memory, the current one included."""
        return len(self._alive)
