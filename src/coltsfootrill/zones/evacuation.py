"""The evacuated availability zones on one instance. The number of the orders never decreases."""

from __future__ import annotations

import threading
from collections.abc import Callable

from coltsfootrill.registry.directory import UpstreamRecord
from coltsfootrill.zones.orders import ZoneOrders


class EvacuatedZones:
    """Holds the orders in force on this instance; reads wait for no lock.

    ``on_adopt`` is called with the orders before and after each change, in their order.
    """

    __slots__ = ("_lock", "_on_adopt", "orders")

    def __init__(
        self, *, on_adopt: Callable[[ZoneOrders, ZoneOrders], None] = lambda before, after: None
    ) -> None:
        self._lock = threading.Lock()
        self._on_adopt = on_adopt
        self.orders = ZoneOrders()

    def adopt(self, orders: ZoneOrders) -> bool:
        """Put orders that a majority has accepted into force if they are newer than those here.

        Return whether they were.
        """
        with self._lock:
            before = self.orders
            if orders.number <= before.number:
                return False
            self.orders = orders
            self._on_adopt(before, orders)
        return True

    def is_evacuated(self, zone: str) -> bool:
        """Return whether nothing may be sent to the upstreams of a zone."""
        return zone in self.orders.evacuated


class OpenUpstreams:
    """Lists the upstreams outside evacuated zones.

    The list is never changed in place, and stays the same object until it differs.
    """

    __slots__ = ("_evacuated", "_known", "_list_upstreams", "_open", "_zones")

    def __init__(
        self, zones: EvacuatedZones, list_upstreams: Callable[[], list[UpstreamRecord]]
    ) -> None:
        self._zones = zones
        self._list_upstreams = list_upstreams
        self._known: list[UpstreamRecord] = []
        self._evacuated: dict[str, int] = {}
        self._open: list[UpstreamRecord] = []

    def list_open(self) -> list[UpstreamRecord]:
        """Return the upstreams to which requests and polls may be sent."""
        upstreams = self._list_upstreams()
        evacuated = self._zones.orders.evacuated
        if not evacuated:
            return upstreams
        if upstreams is not self._known or evacuated is not self._evacuated:
            self._open = [
                record for record in upstreams if record.announcement.zone not in evacuated
            ]
            self._known = upstreams
            self._evacuated = evacuated
        return self._open
