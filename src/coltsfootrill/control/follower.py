"""Polling of the control replicas for newly accepted manifests, by entry instances."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

import grpc

from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.messages import ReadRequest
from coltsfootrill.control.replica import READ
from coltsfootrill.metrics import Metrics
from coltsfootrill.rpc import RpcClient
from coltsfootrill.rpc import RpcError
from coltsfootrill.zones.orders import ZoneOrders

POLL_MS = 1_000.0
START_POLL_MS = 200.0
READ_TIMEOUT_MS = 2_500.0


class ControlFollower:
    """Polls one control replica at a time and moves on to the next when a poll fails.

    A starting instance accepts its first manifest only from a majority read made for its request,
    so that an isolated replica cannot supply an outdated one. An instance that has a manifest
    continues to use it while no control replica replies. Each read brings the orders on
    availability zones too.
    """

    def __init__(
        self,
        instance_id: str,
        addresses: list[str],
        *,
        get_version: Callable[[], int],
        adopt: Callable[[bytes], None],
        adopt_zone_orders: Callable[[ZoneOrders], object] = lambda orders: None,
        random: Random,
        metrics: Metrics,
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._configured_addresses = addresses
        self._addresses = addresses
        self._credentials = credentials
        self._clients: dict[str, RpcClient] = {}
        self._get_version = get_version
        self._adopt = adopt
        self._adopt_zone_orders = adopt_zone_orders
        self._random = random
        self._metrics = metrics
        self._stopping = threading.Event()

    def run(self) -> None:
        """Poll until ``stop``."""
        index = self._random.randrange(len(self._addresses))
        while not self._stopping.is_set():
            has_manifest = self._get_version() > 0
            address = self._addresses[index % len(self._addresses)]
            if not self._poll(self._get_client(address), must_be_fresh=not has_manifest):
                index += 1
            pause_ms = POLL_MS if self._get_version() > 0 else START_POLL_MS
            # Jitter keeps many instances from polling at the same moment.
            self._stopping.wait(pause_ms * (0.75 + self._random.random() / 2) / 1000)

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()

    def _poll(self, client: RpcClient, *, must_be_fresh: bool) -> bool:
        request = ReadRequest(self._instance_id, self._get_version(), must_be_fresh)
        try:
            reply: ReadReply = client.call(READ, request, timeout_ms=READ_TIMEOUT_MS)
        except RpcError:
            self._metrics.control_reads.labels("failed").inc()
            return False
        self._metrics.control_reads.labels("current" if reply.is_current else "isolated").inc()
        if reply.is_current:
            self._update_addresses(reply.replicas)
            # Nothing is served before the first manifest, which comes with the first orders.
            self._adopt_zone_orders(reply.zone_orders)
        if reply.is_current and reply.manifest:
            self._adopt(reply.manifest)
        return reply.is_current

    def _update_addresses(self, addresses: list[str]) -> None:
        """Poll the current voting replicas first, then those from the settings."""
        current = list(dict.fromkeys([*addresses, *self._configured_addresses]))
        if set(current) == set(self._addresses):
            return
        self._addresses = current
        for address in [known for known in self._clients if known not in current]:
            self._clients.pop(address).close()

    def _get_client(self, address: str) -> RpcClient:
        client = self._clients.get(address)
        if client is None:
            client = RpcClient(address, credentials=self._credentials)
            self._clients[address] = client
        return client
