"""Nodes as real processes on loopback."""

from __future__ import annotations

import http.client
import json
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

PORTS = ("fleet", "interface", "ready", "callers", "metrics")
CALL_TIMEOUT_S = 8.0
PROGRAM = ("-m", "coltsfootrill", "node", "--settings")


class Node:
    """A node process with its own loopback address, because all nodes use the same ports.

    Nodes 1 to 3 have a disk, so they vote; later ones have none unless ``has_disk`` is set.
    ``settings`` is added to the settings file, ``callers`` to its section of that name. ``program``
    are the arguments of the interpreter that run a node with the settings file named after them.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        ports: dict[str, int],
        seeds: list[str],
        *,
        network: str = "127.0.2",
        has_disk: bool = False,
        settings: str = "",
        callers: str = "",
        link_mbps: float = 0,
        program: Sequence[str] = PROGRAM,
    ) -> None:
        self._program = program
        self.host = f"{network}.{number}"
        self.ports = ports
        self.data = folder / f"data-{number}"
        self._log = folder / f"node-{number}.log"
        self._path = folder / f"node-{number}.ini"
        self._has_disk = has_disk or number <= 3
        self._settings = settings
        self._callers = callers
        self._link_mbps = link_mbps
        self._seeds = seeds
        self._number = number
        self.process: subprocess.Popen[bytes] | None = None
        # When which signals were sent, in milliseconds of the monotonic clock.
        self.signals: list[tuple[float, signal.Signals]] = []

    def start(
        self, *, is_first_start: bool, seeds: list[str] | None = None, log: int | None = None
    ) -> None:
        """Start the process; ``log`` is a descriptor for its output, by default a file."""
        path = self.write_settings(is_first_start=is_first_start, seeds=seeds)
        arguments = [sys.executable, *self._program, str(path)]
        with open(self._log, "ab") as file:
            output = file.fileno() if log is None else log
            self.process = subprocess.Popen(arguments, stdout=output, stderr=output)

    def write_settings(self, *, is_first_start: bool, seeds: list[str] | None = None) -> Path:
        """Write the settings; return their path."""
        ports = self.ports
        self._path.write_text(
            f"[instance]\nid = n{self._number}\nzone = z{self._number}\n"
            f"data = {self.data if self._has_disk else ''}\n"
            f"first_start = {'true' if is_first_start else 'false'}\n"
            f"link_mbps = {self._link_mbps}\n"
            f"[metrics]\nlisten = {self.host}:{ports['metrics']}\n"
            f"[ready]\nlisten = {self.host}:{ports['ready']}\n"
            f"[interface]\nlisten = {self.host}:{ports['interface']}\n"
            "name = platform\ndialect = platform\nmanifest = platform\n"
            f"[fleet]\nlisten = {self.host}:{ports['fleet']}\n"
            f"seeds = {','.join(seeds or self._seeds)}\n"
            f"[callers]\nlisten = {self.host}:{ports['callers']}\nnotice_ms = 300\n{self._callers}"
            "[balancer]\npolicy = reported-load\n[measuring]\ninterval_ms = 100\n"
            "[dispatch]\ntimeout_ms = 30\nwork_min_ms = 5\n"
            "[tls]\nplain = true\n" + self._settings
        )
        return self._path

    def send_signal(self, signal_number: signal.Signals) -> None:
        assert self.process is not None
        self.signals.append((time.monotonic() * 1000, signal_number))
        self.process.send_signal(signal_number)

    def end(self, signal_number: signal.Signals = signal.SIGKILL) -> int:
        assert self.process is not None
        self.send_signal(signal_number)
        return self.process.wait(timeout=20)

    def is_alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def read_log(self) -> str:
        return self._log.read_text()

    def call(
        self,
        port: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        **headers: str,
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(self.host, self.ports[port], timeout=timeout_s)
        http_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            connection.request(method, path, body=body or None, headers=http_headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def submit(self, raw: bytes, base_version: int, *, timeout_s: float = CALL_TIMEOUT_S) -> int:
        path = "/Configuration.Replace"
        headers = {"X_Base_Version": f"{base_version:08x}"}
        return self.call("interface", "POST", path, raw, timeout_s=timeout_s, **headers)[0]

    def read(self, *, timeout_s: float = CALL_TIMEOUT_S) -> tuple[int, bytes]:
        return self.call("interface", "GET", "/Configuration.Read", timeout_s=timeout_s)

    def find_manifest_source(self) -> str:
        """Return the URL that a read of the manifest is redirected to, empty if it is not."""
        connection = http.client.HTTPConnection(self.host, self.ports["interface"], timeout=8)
        try:
            connection.request("GET", "/Configuration.Read")
            return connection.getresponse().headers.get("Location", "")
        finally:
            connection.close()

    def has_no_failed_task(self) -> bool:
        """Return whether the log of the process reports no failed task."""
        return "task failed" not in self._log.read_text()

    def list_events(self, name: str) -> list[dict[str, Any]]:
        events = []
        for line in self._log.read_text().splitlines():
            if line.startswith('{"at_ms"'):
                events.append(json.loads(line))
        return [event for event in events if event["event"] == name]


def find_free_ports(network: str = "127.0.2") -> dict[str, int]:
    sockets = [socket.create_server((f"{network}.1", 0)) for _ in PORTS]
    ports = {name: sock.getsockname()[1] for name, sock in zip(PORTS, sockets, strict=True)}
    for sock in sockets:
        sock.close()
    return ports


def read_peak_mb(node: Node) -> float:
    """Return the peak resident memory of a node's process."""
    assert node.process is not None
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024
