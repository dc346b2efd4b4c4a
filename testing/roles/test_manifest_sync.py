"""Which hub a node fetches a manifest from, and when a second one is asked."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from typing import Any

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.replica import READ
from coltsfootrill.events.log import EventLog
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.messages import ManifestReply
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.roles.manifest_sync import FETCH_ALONE_MS
from coltsfootrill.roles.manifest_sync import ManifestSync
from coltsfootrill.rpc import Method
from coltsfootrill.zones.orders import ZoneOrders
from testing.proxy.instance import make_manifest

DEADLINE_MS = 1_500
ZONE_ORDERS = ZoneOrders(4, {"z1": 4})


class Hub:
    """A client of a hub that has manifest 2. It hangs until ``release`` while ``hangs`` is true."""

    def __init__(self) -> None:
        self.hangs = False
        self.calls_count = 0
        self.called = threading.Event()
        self.release = threading.Event()

    def call(
        self, method: Method, request: object, *, timeout_ms: float
    ) -> ManifestReply | ReadReply:
        self.calls_count += 1
        self.called.set()
        if self.hangs:
            self.release.wait()
        raw = make_manifest(2, DEADLINE_MS)
        if method is READ:
            return ReadReply(True, 2, raw, [], ZONE_ORDERS)
        return ManifestReply(2, raw)


class Node:
    """The sync of a node that has manifest 1, and its three hubs by address."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.hub_by_address = {address: Hub() for address in ("h1", "h2", "h3")}
        self.manifests = ManifestHolder(collect_schemes(load_plugins()))
        self.manifests.adopt(make_manifest(1, DEADLINE_MS))
        # The orders on zones heard of, each with the manifest version in force at that time.
        self.heard: list[tuple[ZoneOrders, int]] = []
        self._threads: list[threading.Thread] = []
        self.sync = self._make_sync(self.manifests)

    def start_without_manifest(self) -> ManifestSync:
        """Return the sync of a node that has just started."""
        return self._make_sync(ManifestHolder(collect_schemes(load_plugins())))

    def _make_sync(self, manifests: ManifestHolder) -> ManifestSync:
        def adopt_zone_orders(orders: ZoneOrders) -> None:
            self.heard.append((orders, manifests.version))

        return ManifestSync(
            manifests,
            own_id="n1",
            get_client=self._get_client,
            clock=self.clock,
            log=EventLog("n1", clock=self.clock),
            adopt_zone_orders=adopt_zone_orders,
        )

    def _get_client(self, address: str) -> Any:
        return self.hub_by_address[address]

    def start_fetch_that_hangs(self, address: str) -> None:
        hub = self.hub_by_address[address]
        hub.hangs = True
        thread = threading.Thread(target=self.sync.fetch_if_newer, args=(2, address))
        thread.start()
        self._threads.append(thread)
        hub.called.wait()

    def count_calls(self) -> list[int]:
        return [hub.calls_count for hub in self.hub_by_address.values()]

    def close(self) -> None:
        for hub in self.hub_by_address.values():
            hub.release.set()
        for thread in self._threads:
            thread.join()


@pytest.fixture
def node() -> Iterator[Node]:
    made = Node()
    yield made
    made.close()


class TestFirstManifest:
    # Guards against reads that hubs without a vote refuse, again and again.
    def test_it_is_fetched_only_from_a_hub_that_serves_reads(self, node: Node) -> None:
        sync = node.start_without_manifest()
        sync.fetch_if_newer(2, "h1", serves_reads=False)
        assert node.count_calls() == [0, 0, 0]
        sync.fetch_if_newer(2, "h2", serves_reads=True)
        assert node.count_calls() == [0, 1, 0]

    # Guards against a node that serves its first requests before it knows of an evacuation.
    def test_the_orders_on_zones_are_in_force_before_it(self, node: Node) -> None:
        node.start_without_manifest().fetch_if_newer(2, "h1")
        assert node.heard == [(ZONE_ORDERS, 0)]


class TestFetchThatHangs:
    # Guards against a manifest in force too late: a hub that hung kept others from being asked.
    def test_another_hub_is_asked_beside_it(self, node: Node) -> None:
        node.start_fetch_that_hangs("h1")
        node.clock.advance(FETCH_ALONE_MS)
        node.sync.fetch_if_newer(2, "h2")
        assert node.manifests.version == 2

    def test_no_other_hub_is_asked_at_first(self, node: Node) -> None:
        node.start_fetch_that_hangs("h1")
        node.clock.advance(FETCH_ALONE_MS - 1)
        node.sync.fetch_if_newer(2, "h2")
        assert node.count_calls() == [1, 0, 0]

    def test_no_third_hub_is_asked(self, node: Node) -> None:
        for address in ("h1", "h2"):
            node.start_fetch_that_hangs(address)
            node.clock.advance(FETCH_ALONE_MS)
        node.sync.fetch_if_newer(2, "h3")
        assert node.count_calls() == [1, 1, 0]

    def test_a_later_report_is_fetched_once_it_has_ended(self, node: Node) -> None:
        node.start_fetch_that_hangs("h1")
        node.close()
        node.sync.fetch_if_newer(3, "h2")
        assert node.count_calls() == [1, 1, 0]
