"""How a node that does not accept manifests itself gets the newest one from a hub."""

from __future__ import annotations

import threading
from collections.abc import Callable

from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.replica import READ
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.log import EventLog
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.exchange import FETCH_MANIFEST
from coltsfootrill.membership.messages import ManifestReply
from coltsfootrill.membership.messages import ManifestRequest
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError

FETCH_TIMEOUT_MS = 1_500.0


class ManifestSync:
    """Keeps a node's manifest up to date from what hubs tell of newer ones. Thread-safe."""

    __slots__ = ("_fetching", "_get_client", "_log", "_manifests", "_own_id")

    def __init__(
        self,
        manifests: ManifestHolder,
        *,
        own_id: str,
        get_client: Callable[[str], RpcClient],
        log: EventLog,
    ) -> None:
        self._manifests = manifests
        self._own_id = own_id
        self._get_client = get_client
        self._log = log
        self._fetching = threading.Lock()

    def fetch_if_newer(self, version: int, address: str) -> None:
        """Fetch the manifest of the hub at an address if it has a newer version."""
        if version <= self._manifests.version:
            return
        # Several hubs tell of a new manifest at the same time; one copy is enough.
        if not self._fetching.acquire(blocking=False):
            return
        try:
            raw = self._fetch(address)
            if raw:
                self.adopt(raw)
        except RpcError:
            # The next reply of a hub tells of it again.
            return
        finally:
            self._fetching.release()

    def adopt(self, raw: bytes) -> None:
        """Put an accepted manifest into force; one that cannot be read is logged."""
        error = self._manifests.adopt_if_valid(raw)
        if error is not None:
            self._log.emit(DependencyLost(dependency="manifest", reason=str(error.exceptions[0])))

    def _fetch(self, address: str) -> bytes:
        client = self._get_client(address)
        known = self._manifests.version
        if known == 0:
            # The first manifest must come from a majority: a hub that is cut off has an old one.
            first: ReadReply = client.call(
                READ, ReadRequest(self._own_id, 0, True), timeout_ms=FETCH_TIMEOUT_MS
            )
            return first.manifest if first.is_current else b""
        reply: ManifestReply = client.call(
            FETCH_MANIFEST, ManifestRequest(known), timeout_ms=FETCH_TIMEOUT_MS
        )
        return reply.raw
