"""A node process with few connections or little memory, and one sound upstream."""

from __future__ import annotations

import contextlib
import os
import socket
import time
from collections.abc import Sequence
from pathlib import Path

from testing.announced_upstream import AnnouncedUpstream
from testing.floods.memory import MemoryWatch
from testing.nodes import PROGRAM
from testing.nodes import Node
from testing.nodes import find_free_ports
from testing.nodes import read_peak_mb
from testing.platform.test_desired_state import encode_state
from testing.platform.test_desired_state import route
from testing.processes import wait_until
from testing.proxy.fakes import read_all
from testing.roles.test_node import send_request

NETWORK = "127.0.5"
# Longer than a test, so that a caller that stops keeps what it holds unless it is taken away.
PAUSE_MAX_MS = 120_000
# Those that the users reserve for files beside the sockets.
RESERVED_DESCRIPTORS = 200
START_S = 30.0
ANSWER_S = 30.0
# Ordinary requests that are answered one after the other while a crowd stays.
ORDINARY_COUNT = 20
ORDINARY_PAUSE_S = 0.1


class FloodedInstance:
    """A fleet of one node, whose limits the test lowers."""

    def __init__(
        self,
        folder: Path,
        *,
        memory_mb: int,
        connections: int,
        body_max_bytes: int,
        program: Sequence[str] = PROGRAM,
    ) -> None:
        self._connections = connections
        self._memory_mb = memory_mb
        self._body_max_bytes = body_max_bytes
        ports = find_free_ports(NETWORK)
        seeds = [f"{NETWORK}.1:{ports['interface']}"]
        callers = f"connections = {connections}\nmemory_mb = {memory_mb}\n"
        self.node = Node(1, folder, ports, seeds, network=NETWORK, callers=callers, program=program)
        self._upstream: AnnouncedUpstream | None = None
        self._watch: MemoryWatch | None = None
        self.address = (self.node.host, ports["callers"])

    def start(self) -> None:
        """Start the process and wait until it serves."""
        self.node.start(is_first_start=True)
        self._watch = MemoryWatch(self._pid, self.node.host)
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": self._body_max_bytes,
            "headerTimeoutMs": PAUSE_MAX_MS,
            "idleTimeoutMs": PAUSE_MAX_MS,
        }
        raw = encode_state(route(timeoutMs=20_000), version="00000002", limits=limits)
        wait_until(lambda: self.node.submit(raw, 0) == 200, within_s=START_S)
        self._upstream = AnnouncedUpstream(self.node)
        self.wait_until_answered()

    def close(self) -> None:
        if self._upstream is not None:
            self._upstream.close()
        if self._watch is not None:
            self._watch.close()
        if self.node.is_alive():
            self.node.end()

    def answer_with(self, body: bytes) -> None:
        """Let the upstream answer with ``body`` from now on."""
        assert self._upstream is not None
        self._upstream.answer_body = body

    def wait_until_taken(self, count: int) -> None:
        """Wait until the upstream has answered ``count`` requests that have a body."""
        upstream = self._upstream
        assert upstream is not None
        wait_until(lambda: upstream.answered_count >= count, within_s=ANSWER_S)

    def check_sound(self) -> None:
        """Check what must hold during a flood, and that an ordinary caller gets its answer."""
        self.wait_until_answered()
        self.check_bounds()

    def check_sound_for_long(self) -> None:
        """Check what must hold during a flood while ordinary callers come one after the other."""
        for _ in range(ORDINARY_COUNT):
            self.wait_until_answered()
            time.sleep(ORDINARY_PAUSE_S)
        self.check_bounds()

    def check_bounds(self) -> None:
        """Check that the process lives within its memory and its descriptors."""
        assert self.node.is_alive()
        peak_mb = read_peak_mb(self.node)
        assert peak_mb < self._memory_mb, f"peak of {peak_mb:.1f} MB"
        watch = self._watch
        assert watch is not None and watch.peak_mb < self._memory_mb, str(watch)
        descriptors_max = self._connections + RESERVED_DESCRIPTORS
        assert (count := self.count_descriptors()) <= descriptors_max, f"{count} descriptors"
        assert "this is a bug" not in self.node.read_log()

    def wait_until_answered(self) -> None:
        wait_until(lambda: send_request(self.node) == 200, within_s=ANSWER_S)

    def wait_until_served(self, request: bytes) -> None:
        """Wait until a whole request alone is answered with success."""

        def is_served() -> bool:
            with contextlib.suppress(OSError):
                return self.send(request).startswith(b"HTTP/1.1 200 ")
            return False

        wait_until(is_served, within_s=ANSWER_S)

    def send(self, request: bytes) -> bytes:
        """Send a whole request alone and return its answer; the connection closes after it."""
        with socket.create_connection(self.address, timeout=ANSWER_S) as sock:
            sock.sendall(request)
            return read_all(sock)

    def count_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self._pid}/fd"))

    @property
    def _pid(self) -> int:
        assert self.node.process is not None
        return self.node.process.pid
