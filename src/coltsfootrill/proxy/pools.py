"""The connection pools of all upstreams, and the rule for reusing idle connections."""

from __future__ import annotations

import threading

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.connection import ConnectionPool
from coltsfootrill.proxy.receive_budget import ReceiveBudget

REUSE_PAUSE_MS = 10_000.0


class ConnectionPools:
    """Connection pools by upstream address.

    A non-idempotent request may reuse a connection that has been idle for ``once_idle_max_ms`` at
    most. After a request was lost on a reused connection, non-idempotent requests reuse none for
    ``REUSE_PAUSE_MS``, because it is unknown whether a lost request was run. With an
    ``once_idle_max_ms`` of 0 each non-idempotent request gets a new connection.
    """

    def __init__(self, clock: Clock, *, once_idle_max_ms: float = 0.0) -> None:
        self._clock = clock
        self._once_idle_max_ms = once_idle_max_ms
        self._reuse_failed_at_ms = float("-inf")
        self._receive_budget = ReceiveBudget()
        self._lock = threading.Lock()
        self._by_address: dict[str, ConnectionPool] = {}

    def get(self, address: str) -> ConnectionPool:
        """Return the pool of an address; create it on first use."""
        pool = self._by_address.get(address)
        if pool is None:
            with self._lock:
                pool = self._by_address.setdefault(
                    address,
                    ConnectionPool(address, clock=self._clock, budget=self._receive_budget),
                )
        return pool

    def get_idle_max_ms(self, *, is_idempotent: bool) -> float:
        """Return how long a connection may have been idle to be reused for a request."""
        if is_idempotent:
            return float("inf")
        is_paused = self._clock.now_ms() - self._reuse_failed_at_ms < REUSE_PAUSE_MS
        return 0.0 if is_paused else self._once_idle_max_ms

    def record_reuse_failure(self) -> None:
        """Record that a request on a reused connection got no answer."""
        self._reuse_failed_at_ms = self._clock.now_ms()

    def keep_only(self, addresses: set[str]) -> None:
        """Remove the pools of all other addresses and close their idle connections."""
        with self._lock:
            removed = [address for address in self._by_address if address not in addresses]
            pools = [self._by_address.pop(address) for address in removed]
        for pool in pools:
            pool.discard_idle()
