"""Fetches the newest manifest from a hub, for a node that has not accepted it itself."""

from __future__ import annotations

import threading
from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.replica import READ
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import ManifestFetched
from coltsfootrill.events.log import EventLog
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.exchange import FETCH_MANIFEST
from coltsfootrill.membership.messages import ManifestReply
from coltsfootrill.membership.messages import ManifestRequest
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError
from coltsfootrill.zones.orders import ZoneOrders

FETCH_TIMEOUT_MS = 1_500.0
# A fetch that takes longer may hang, so one from another hub may start beside it.
FETCH_ALONE_MS = 500.0
FETCHES_MAX_COUNT = 2


class ManifestSync:
    """Updates a node's manifest when a hub reports a newer version. Thread-safe.

    ``adopt_zone_orders`` is called with the orders on availability zones that were read with the
    first manifest, before that is in force.
    """

    __slots__ = (
        "_adopt_zone_orders",
        "_clock",
        "_fetches_count",
        "_get_client",
        "_last_start_ms",
        "_lock",
        "_log",
        "_manifests",
        "_own_id",
    )

    def __init__(
        self,
        manifests: ManifestHolder,
        *,
        own_id: str,
        get_client: Callable[[str], RpcClient],
        clock: Clock,
        log: EventLog,
        adopt_zone_orders: Callable[[ZoneOrders], object] = lambda orders: None,
    ) -> None:
        self._adopt_zone_orders = adopt_zone_orders
        self._clock = clock
        self._manifests = manifests
        self._own_id = own_id
        self._get_client = get_client
        self._log = log
        self._lock = threading.Lock()
        self._fetches_count = 0
        self._last_start_ms = float("-inf")

    def fetch_if_newer(self, version: int, address: str, *, serves_reads: bool = True) -> None:
        """Fetch the manifest of the hub at an address if it has a newer version.

        The first one is fetched only from a hub that serves reads: those that do not vote refuse.
        """
        if version <= self._manifests.version:
            return
        if self._manifests.version == 0 and not serves_reads:
            return
        if not self._begin_fetch():
            return
        start_ms = self._clock.now_ms()
        error = ""
        try:
            raw = self._fetch(address)
            if raw:
                self.adopt(raw)
        except RpcError as rpc_error:
            # The next reply of a hub reports the version again.
            error = str(rpc_error)
        finally:
            self._end_fetch()
        took_ms = round(self._clock.now_ms() - start_ms, 1)
        self._log.emit(ManifestFetched(hub=address, version=version, took_ms=took_ms, error=error))

    def adopt(self, raw: bytes) -> None:
        """Put an accepted manifest into force; log an event if it cannot be read."""
        error = self._manifests.adopt_if_valid(raw)
        if error is not None:
            self._log.emit(DependencyLost(dependency="manifest", reason=str(error.exceptions[0])))

    def _begin_fetch(self) -> bool:
        """Return whether a fetch may start: hubs report a manifest together, and one is enough."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if self._fetches_count:
                # Without a manifest an instance serves nobody, so it can wait for the first hub.
                may_hang = now_ms - self._last_start_ms >= FETCH_ALONE_MS
                if not may_hang or self._manifests.version == 0:
                    return False
            if self._fetches_count >= FETCHES_MAX_COUNT:
                return False
            self._fetches_count += 1
            self._last_start_ms = now_ms
            return True

    def _end_fetch(self) -> None:
        with self._lock:
            self._fetches_count -= 1

    def _fetch(self, address: str) -> bytes:
        client = self._get_client(address)
        known_version = self._manifests.version
        if known_version == 0:
            # The first manifest needs a majority read: a hub that is cut off may have an old one.
            read_reply: ReadReply = client.call(
                READ,
                ReadRequest(self._own_id, 0, True, takes_packed=True),
                timeout_ms=FETCH_TIMEOUT_MS,
            )
            if not read_reply.is_current:
                return b""
            # No request is served before the manifest is in force, so none misses these orders.
            self._adopt_zone_orders(read_reply.zone_orders)
            return read_reply.manifest
        reply: ManifestReply = client.call(
            FETCH_MANIFEST,
            ManifestRequest(known_version, takes_packed=True),
            timeout_ms=FETCH_TIMEOUT_MS,
        )
        return reply.raw
