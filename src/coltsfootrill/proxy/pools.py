"""Connection pools of all upstreams."""

from __future__ import annotations

import threading

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.connection import ConnectionPool

REUSE_PAUSE_MS = 10_000.0


class ConnectionPools:
    """Connection pools by upstream address.

    A non-idempotent request may use a connection that has been idle for ``once_idle_max_ms`` at
    most, and none for ``REUSE_PAUSE_MS`` after a request was lost on an idle one: nobody can
    tell whether that was run. With 0 each such request gets a connection of its own.
    """

    def __init__(self, clock: Clock, *, once_idle_max_ms: float = 0.0) -> None:
        self._clock = clock
        self._once_idle_max_ms = once_idle_max_ms
        self._lost_at_ms = float("-inf")
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

    def get_idle_max_ms(self, *, is_idempotent: bool) -> float:
        """Return how long a connection may have been idle to carry a request."""
        if is_idempotent:
            return float("inf")
        is_doubted = self._clock.now_ms() - self._lost_at_ms < REUSE_PAUSE_MS
        return 0.0 if is_doubted else self._once_idle_max_ms

    def record_reuse_failure(self) -> None:
        """Note that a request on a connection that had been idle got no answer."""
        self._lost_at_ms = self._clock.now_ms()

    def keep_only(self, addresses: set[str]) -> None:
        """Close the idle connections to all other addresses."""
        with self._lock:
            gone = [address for address in self._by_address if address not in addresses]
            pools = [self._by_address.pop(address) for address in gone]
        for pool in pools:
            pool.discard_idle()
