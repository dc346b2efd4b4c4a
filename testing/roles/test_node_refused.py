"""Nodes that start hear from their hubs which requests crash upstreams, with real calls."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from coltsfootrill.balancer.crash_suspects import CRASHES_MAX_COUNT
from coltsfootrill.roles.node import NodeRole
from testing.nodes import Node
from testing.nodes import find_free_ports
from testing.processes import wait_until

DEADLY = b"deadly"


@pytest.fixture
def roles(tmp_path: Path) -> Iterator[list[NodeRole]]:
    """Yield two nodes without a disk, of which the second one follows the first one."""
    ports = find_free_ports()
    seeds = [f"127.0.2.4:{ports['interface']}"]
    nodes = [Node(number, tmp_path, ports, seeds) for number in (4, 5)]
    made = [NodeRole.from_file(node.write_settings(is_first_start=False)) for node in nodes]
    yield made
    for role in made:
        role.control.stop()


class TestRefusedRequests:
    # Guards against a deadly request sent by each instance that starts: it was told by datagrams
    # only, which may be lost.
    def test_a_node_that_starts_hears_of_them_without_any_datagram(
        self, roles: list[NodeRole]
    ) -> None:
        first, second = roles
        guard = first.gateway.app.crash_guard
        for number in range(CRASHES_MAX_COUNT):
            guard.record_crash(DEADLY, f"u{number}", 1)
        # Only the control side is started, so no port for datagrams is open.
        first.control.start()
        second.control.start()
        wait_until(lambda: second.gateway.app.crash_guard.is_refused(DEADLY), within_s=10)
