from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.nodes import Node
from testing.nodes import find_free_ports
from testing.processes import wait_until


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    ports = find_free_ports()
    made = Node(1, tmp_path, ports, [f"127.0.2.1:{ports['interface']}"])
    yield made
    if made.is_alive():
        made.end()


class TestStart:
    # Guards against a process that ends when its settings change while it starts.
    @pytest.mark.parametrize("after_s", [0.05, 0.1, 0.2, 0.4])
    def test_hangup_while_starting_leads_to_one_more_reading(
        self, node: Node, after_s: float
    ) -> None:
        node.start(is_first_start=True)
        _wait_until_handled(node)
        time.sleep(after_s)
        for _ in range(3):
            node.send_signal(signal.SIGHUP)
        wait_until(lambda: bool(node.list_events("reloaded")), within_s=20)
        time.sleep(0.5)
        assert len(node.list_events("reloaded")) == 1
        assert node.is_alive()

    def test_stop_while_starting_ends_the_process_cleanly(self, node: Node) -> None:
        node.start(is_first_start=True)
        _wait_until_handled(node)
        assert node.end(signal.SIGTERM) == 0


def _wait_until_handled(node: Node) -> None:
    """Wait until the process handles SIGHUP, which the kernel shows as a set of bits."""
    assert node.process is not None
    status = Path(f"/proc/{node.process.pid}/status")

    def is_handled() -> bool:
        caught = next(line for line in status.read_text().splitlines() if "SigCgt" in line)
        return bool(int(caught.split()[1], 16) & 1 << (signal.SIGHUP - 1))

    wait_until(is_handled)
