"""Orders on zones at one node: what is acknowledged, and which hub carries it out."""

from __future__ import annotations

import threading
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.control.messages import AdoptReply
from coltsfootrill.control.messages import AdoptRequest
from coltsfootrill.control.messages import ZoneOrderReply
from coltsfootrill.control.messages import ZoneOrderRequest
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.events.log import EventLog
from coltsfootrill.roles.hub_client import ADOPT
from coltsfootrill.roles.hub_client import ORDER_CALL_TIMEOUT_MS
from coltsfootrill.roles.hub_client import HubClient
from coltsfootrill.roles.zone_control import ZoneControl
from coltsfootrill.rpc import Method
from coltsfootrill.rpc import RpcError
from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.orders import InvalidZoneOrderError
from coltsfootrill.zones.orders import ZoneOrder
from coltsfootrill.zones.orders import ZoneOrders

OWN = "n1"
OTHERS = ["n2", "n3"]
ORDERS = ZoneOrders(4, {"z1": 4})


class Peer:
    """The client of another voter. It fails while ``is_lost``, and hangs while ``hangs``."""

    def __init__(self) -> None:
        self.is_lost = False
        self.hangs = False
        self.release = threading.Event()
        self.adopted: list[int] = []
        self.ordered: list[ZoneOrder] = []

    def call(
        self, method: Method, request: AdoptRequest | ZoneOrderRequest, *, timeout_ms: float
    ) -> AdoptReply | ZoneOrderReply:
        if self.hangs:
            self.release.wait(timeout_ms / 1_000)
            raise RpcError("deadline_exceeded")
        if self.is_lost:
            raise RpcError("unavailable")
        if isinstance(request, ZoneOrderRequest):
            self.ordered.append(request.order)
            return ZoneOrderReply("done", "", ORDERS)
        assert method is ADOPT
        self.adopted.append(request.zone_orders.number)
        return AdoptReply(0, request.zone_orders.number)


class Replica:
    """A replica that accepts every order, or raises ``error``."""

    def __init__(self) -> None:
        self.error: Exception | None = None

    def order_zone(self, order: ZoneOrder, *, operator: str) -> ZoneOrders:
        if self.error is not None:
            raise self.error
        return ORDERS


class NodeHarness:
    """A node with two other voters; ``replica`` is ``None`` on a node without a disk."""

    def __init__(self) -> None:
        self.peers = {address: Peer() for address in OTHERS}
        self.replica: Replica | None = Replica()
        self.zones = EvacuatedZones()
        following: Any = SimpleNamespace(get_client=self.peers.__getitem__)
        view: Any = SimpleNamespace(list_current_hubs=lambda: list(OTHERS))
        hub: Any = SimpleNamespace(replicas=[OWN, *OTHERS], is_current=lambda: True)
        get_replica: Any = lambda: self.replica  # noqa: E731
        self.control = ZoneControl(
            self.zones,
            get_replica=get_replica,
            hub=hub,
            hub_client=HubClient(
                following, view, own_id=OWN, own_address=OWN, interface_port=1, random=Random(1)
            ),
            clock=ManualClock(),
            log=EventLog(OWN, clock=ManualClock()),
        )

    def order(self) -> ZoneOrders:
        return self.control.order("evacuate", "z1", operator="ann")


class TestAcknowledgement:
    # Guards against an order that nobody has heard of when the voter that took it is lost.
    def test_a_majority_has_the_order_in_force(self) -> None:
        node = NodeHarness()
        node.peers["n2"].is_lost = True
        assert node.order() == ORDERS
        assert node.zones.is_evacuated("z1")
        assert node.peers["n3"].adopted == [ORDERS.number]

    def test_without_it_the_result_is_unknown_although_a_majority_accepted(self) -> None:
        node = NodeHarness()
        for peer in node.peers.values():
            peer.is_lost = True
        with pytest.raises(UnknownResultError):
            node.order()
        for peer in node.peers.values():
            peer.is_lost = False
        assert node.order() == ORDERS

    def test_a_repeat_calls_no_other_voter(self) -> None:
        node = NodeHarness()
        node.order()
        before = sum(len(peer.adopted) for peer in node.peers.values())
        for peer in node.peers.values():
            peer.is_lost = True
        assert node.order() == ORDERS
        assert sum(len(peer.adopted) for peer in node.peers.values()) <= before + 1

    @pytest.mark.parametrize("error", [NoQuorumError("n"), InvalidZoneOrderError("i")])
    def test_a_refused_order_changes_nothing(self, error: Exception) -> None:
        node = NodeHarness()
        assert node.replica is not None
        node.replica.error = error
        with pytest.raises(type(error)):
            node.order()
        assert not node.zones.is_evacuated("z1")


class TestForwarding:
    def test_a_node_without_a_disk_calls_a_hub(self) -> None:
        node = NodeHarness()
        node.replica = None
        assert node.order() == ORDERS
        assert sum(len(peer.ordered) for peer in node.peers.values()) == 1

    # Guards against an operator who waits for a voter that has just fallen silent.
    @pytest.mark.parametrize("silent", OTHERS)
    def test_a_hub_that_is_silent_is_not_waited_for(self, silent: str) -> None:
        node = NodeHarness()
        node.replica = None
        node.peers[silent].hangs = True
        clock = Clock()
        start_ms = clock.now_ms()
        assert node.order() == ORDERS
        assert clock.now_ms() - start_ms < ORDER_CALL_TIMEOUT_MS / 2
        node.peers[silent].release.set()

    def test_without_an_answer_the_result_is_unknown(self) -> None:
        node = NodeHarness()
        node.replica = None
        for peer in node.peers.values():
            peer.is_lost = True
        with pytest.raises(UnknownResultError, match="unavailable"):
            node.order()
