"""Evacuations on nodes as real processes: in force once acknowledged, and kept through failures."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.nodes import Node
from testing.processes import wait_until
from testing.roles.test_node import NODE_COUNT
from testing.roles.test_node import Fleet
from testing.roles.test_node import send_request

# The upstream of the fleet is in this zone.
ZONE = "z1"
# Well below the platform's bound, above what a busy machine adds.
HEARD_WITHIN_S = 2.0
SECONDS_OF_REQUESTS = 1.5


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Yield a fleet that serves requests."""
    made = Fleet(tmp_path)
    made.submit_manifest(2, 0)
    made.announce_upstream(1)
    made.wait_until_served()
    yield made
    made.close()


def order(node: Node, verb: str, zone: str = ZONE) -> int:
    return node.call("interface", "POST", f"/Evacuation.{verb}/{zone}")[0]


def get_reason(node: Node) -> str:
    headers = {"Host": "a.example", "X_Attempt_Id": "q1"}
    body = node.call("callers", "POST", "/x/1", b"order", **headers)[1]
    try:
        return str(json.loads(body).get("reason", ""))
    except ValueError:
        return ""


def wait_until_evacuated(nodes: list[Node], *, within_s: float = HEARD_WITHIN_S) -> None:
    for node in nodes:
        wait_until(
            lambda node=node: get_reason(node) == "zone-evacuated",  # type: ignore[misc]
            within_s=within_s,
        )


def list_adopted(node: Node) -> list[list[str]]:
    return [event["evacuated"] for event in node.list_events("zone-orders-adopted")]


def count_forwarded(fleet: Fleet) -> int:
    return sum(b"/x/1" in head for head in fleet.upstream.heads)


class TestOrders:
    def test_one_node_is_told_and_all_follow(self, fleet: Fleet) -> None:
        without_disk = fleet.nodes[3]
        assert order(without_disk, "Start") == 200
        voters = fleet.nodes[:3]
        # A majority has it in force once it is acknowledged.
        assert sum(get_reason(node) == "zone-evacuated" for node in voters) >= 2
        wait_until_evacuated(fleet.nodes)
        forwarded, polled = count_forwarded(fleet), len(fleet.upstream.heads)
        assert {send_request(node) for node in fleet.nodes} == {503}
        time.sleep(0.5)
        # Load is not polled either.
        assert (count_forwarded(fleet), len(fleet.upstream.heads)) == (forwarded, polled)
        # The upstream still counts for readiness: the zone may be back at any moment.
        assert without_disk.call("ready", "GET", "/readiness")[0] == 200
        metrics = without_disk.call("metrics", "GET", "/metrics")[1]
        assert b"coltsfootrill_evacuated_zones 1.0" in metrics
        assert b"coltsfootrill_zone_order_number 1.0" in metrics
        assert order(fleet.nodes[0], "Start") == 200
        assert order(fleet.nodes[1], "Finish") == 200
        fleet.wait_until_served(within_s=HEARD_WITHIN_S)
        wait_until(lambda: list_adopted(without_disk) == [[ZONE], []])
        assert order(fleet.nodes[0], "Start", "No-Zone") == 400

    def test_a_replaced_manifest_keeps_it(self, fleet: Fleet) -> None:
        assert order(fleet.nodes[0], "Start") == 200
        fleet.submit_manifest(3, 2)
        wait_until_evacuated(fleet.nodes)

    # Guards against an operator who waits for a voter that is silent.
    def test_it_is_acknowledged_soon_while_a_voter_is_silent(self, fleet: Fleet) -> None:
        silent, other, without_disk = fleet.nodes[0], fleet.nodes[1], fleet.nodes[3]
        silent.send_signal(signal.SIGSTOP)
        try:
            for node, verb in ((other, "Start"), (without_disk, "Finish"), (without_disk, "Start")):
                start_s = time.monotonic()
                assert order(node, verb) == 200
                assert time.monotonic() - start_s < 1.0
        finally:
            silent.send_signal(signal.SIGCONT)
        # It has missed the orders.
        wait_until_evacuated(fleet.nodes, within_s=8)

    def test_without_a_majority_nothing_is_acknowledged(self, fleet: Fleet) -> None:
        for node in fleet.nodes[:2]:
            node.end()
        assert order(fleet.nodes[2], "Start") == 503


class TestStartedNodes:
    def test_one_that_starts_during_an_evacuation_sends_nothing_there(self, fleet: Fleet) -> None:
        assert order(fleet.nodes[0], "Start") == 200
        wait_until_evacuated(fleet.nodes)
        forwarded = count_forwarded(fleet)
        added = fleet.add_node(seeds=[fleet.nodes[3]])
        wait_until_evacuated([added], within_s=15)
        assert count_forwarded(fleet) == forwarded

    def test_an_order_survives_the_loss_of_power_of_all(self, fleet: Fleet) -> None:
        assert order(fleet.nodes[0], "Start") == 200
        for node in fleet.nodes:
            node.end()
        forwarded = count_forwarded(fleet)
        for node in fleet.nodes:
            node.start(is_first_start=False)
        fleet.announce_upstream(2)
        wait_until_evacuated(fleet.nodes, within_s=15)
        end_s = time.monotonic() + SECONDS_OF_REQUESTS
        while time.monotonic() < end_s:
            assert 200 not in {send_request(node) for node in fleet.nodes}
        assert count_forwarded(fleet) == forwarded
        assert order(fleet.nodes[NODE_COUNT - 1], "Finish") == 200
        fleet.wait_until_served()
