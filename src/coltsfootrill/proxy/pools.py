"""Connection pools of all upstreams."""

from __future__ import annotations

import threading

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.connection import ConnectionPool


class ConnectionPools:
    """Connection pools by upstream address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._by_address: dict[str, ConnectionPool] = {}

    def get(self, address: str) -> ConnectionPool:
        """Return the pool of an address, made on first use."""
        pool = self._by_address.get(address)
        if pool is None:
            with self._lock:
                pool = self._by_address.setdefault(
                    address, ConnectionPool(address, clock=self._clock)
                )
        return pool

    def keep_only(self, addresses: set[str]) -> None:
        """Close the idle connections to all other addresses."""
        with self._lock:
            gone = [address for address in self._by_address if address not in addresses]
            pools = [self._by_address.pop(address) for address in gone]
        for pool in pools:
            pool.doubt()
