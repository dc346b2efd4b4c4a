"""Stand-in of the platform: settings from the template, node processes, and HTTP calls."""

from __future__ import annotations

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "node.ini"
# The command of ``[roles.node]`` in the deploy file.
COMMAND = ("python3", "deploy/run.py")
PORT_NAMES = ("fleet", "interface", "ready", "callers")
KEPT_VARIABLES = ("PATH", "HOME", "LANG")

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CouldNotRunError(Exception):
    """The case did not get as far as its disruption."""


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt`` of a case: one line for each thing sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        with self._lock:
            line = f"{time.monotonic() - self._start_s:8.3f}  {text}\n"
            sys.stdout.write(line)
            sys.stdout.flush()
            self._file.write(line)
            self._file.flush()


def find_free_ports(host: str) -> dict[str, int]:
    sockets = [socket.create_server((host, 0)) for _ in PORT_NAMES]
    ports = {name: sock.getsockname()[1] for name, sock in zip(PORT_NAMES, sockets, strict=True)}
    for sock in sockets:
        sock.close()
    return ports


class Fleet:
    """Nodes with one loopback address each and the same ports; each zone has one with a disk."""

    def __init__(self, record: Record, *, network: str, losses: int = 1) -> None:
        self.record = record
        self.network = network
        self.losses = losses
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = find_free_ports(f"{network}.1")
        self.nodes: list[Node] = []

    def add(self, name: str, *, zone: str, has_disk: bool) -> Node:
        node = Node(self, name, f"{self.network}.{len(self.nodes) + 1}", zone, has_disk=has_disk)
        self.nodes.append(node)
        return node

    @property
    def seeds(self) -> list[str]:
        with_disk = [node for node in self.nodes if node.has_disk]
        return [f"{node.host}:{self.ports['interface']}" for node in with_disk[:3]]

    def close(self) -> None:
        for node in self.nodes:
            node.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Node:
    """One machine with one process."""

    def __init__(self, fleet: Fleet, name: str, host: str, zone: str, *, has_disk: bool) -> None:
        self.fleet = fleet
        self.name = name
        self.host = host
        self.zone = zone
        self.has_disk = has_disk
        self.data = fleet.folder / f"data-{name}"
        self.log = fleet.folder / f"{name}.log"
        self.settings = fleet.folder / f"{name}.ini"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, *, bootstrap: bool, turn_seeds: bool = False) -> None:
        ports = self.fleet.ports
        seeds = self.fleet.seeds
        if turn_seeds:
            seeds = [*seeds[1:], *seeds[:1]]
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "dataDirectory": str(self.data) if self.has_disk else "",
            "bootstrap": "true" if bootstrap else "false",
            "limits.linkMbps": "1000.0",
            "ipAddress": self.host,
            "listen.ready": f"{self.host}:{ports['ready']}",
            "listen.controlPlane": f"{self.host}:{ports['interface']}",
            "listen.frontend": f"{self.host}:{ports['callers']}",
            "internalPortRange.0": str(ports["fleet"]),
            "seeds": ",".join(seeds),
            "faultTolerance.machines": str(self.fleet.losses),
            "bounds.graceS": "6",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retryBudgetSlack": "70",
        }
        text = re.sub(r"\{\{([^}]*)\}\}", lambda match: fields[match[1]], TEMPLATE.read_text())
        self.settings.write_text(text)

    def start(self, *, bootstrap: bool, log: int | None = None) -> None:
        """Start the process; ``log`` is a descriptor for its output, by default a file."""
        self.write_settings(bootstrap=bootstrap)
        if self.has_disk:
            self.data.mkdir(exist_ok=True)
        environment = {key: os.environ[key] for key in KEPT_VARIABLES if key in os.environ}
        environment["COLTSFOOTRILL_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as file:
            output = file.fileno() if log is None else log
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.fleet.record.write(f"started {self.name} at {self.host}, bootstrap={bootstrap}")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.fleet.record.write(f"sent {number.name} to {self.name}")

    def kill(self) -> None:
        """End the process at once, as a loss of power does; its synced files remain."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.fleet.record.write(f"killed {self.name}")

    def lose_disk(self) -> None:
        shutil.rmtree(self.data)
        self.data.mkdir()
        self.fleet.record.write(f"{self.name} lost its disk")

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def call(
        self,
        port: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float = 3.0,
    ) -> tuple[int, bytes]:
        """Return status and body of one call; the status is 0 if there is no complete answer."""
        address = (self.host, self.fleet.ports[port])
        connection = http.client.HTTPConnection(*address, timeout=timeout_s)
        try:
            connection.request(method, path, body=body or None, headers=headers or {})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def is_ready(self) -> bool:
        return self.call("ready", "GET", "/readiness", timeout_s=1.0)[0] == 200

    def replace(self, state: dict[str, Any], base: int, *, timeout_s: float = 3.0) -> int:
        """Send a desired state once and return the status."""
        headers = {"X-Base-Version": f"{base:08x}", "Content-Type": "application/json"}
        body = json.dumps(state).encode()
        path = "/Configuration.Replace"
        status, reply = self.call("interface", "POST", path, body, headers, timeout_s=timeout_s)
        self.fleet.record.write(
            f"operator sent version {state['version']} on {base:08x} to {self.name}:"
            f" {status} {reply[:120]!r}"
        )
        return status

    def read(self, *, timeout_s: float = 3.0) -> tuple[int, str]:
        """Return the status of a read of the desired state, and its version."""
        status, raw = self.call("interface", "GET", "/Configuration.Read", timeout_s=timeout_s)
        version = json.loads(raw)["version"] if status == 200 else ""
        self.fleet.record.write(f"operator read from {self.name}: {status} version {version!r}")
        return status, version


def make_state(
    version: int, routes: list[dict[str, Any]], services: list[str], **limits: int
) -> dict[str, Any]:
    """Return a desired state in the form of the pages."""
    columns = [
        "name",
        "host",
        "pathPrefix",
        "kind",
        "timeoutMs",
        "targetLatencyMs",
        "priority",
        "service",
        "maxAttempts",
        "trafficSplit",
    ]
    service_columns = ["name", "healthCheckPath", "maxConnections", "protocol", "tls"]
    all_limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": f"{version:08x}",
        "routes": {
            "columns": columns,
            "rows": [[route.get(column) for column in columns] for route in routes],
        },
        "services": {
            "columns": service_columns,
            "rows": [[name, "/health", 300, "h1", False] for name in services],
        },
        "limits": all_limits | limits,
    }


def make_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    route = {
        "name": name,
        "host": "rota.example",
        "pathPrefix": f"/{name}/",
        "kind": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "trafficSplit": None,
    }
    return route | fields


def wait_until(holds: Callable[[], bool], *, within_s: float, what: str) -> None:
    """Wait until ``holds`` returns true; raise ``CouldNotRunError`` after ``within_s``."""
    end_s = time.monotonic() + within_s
    while not holds():
        if time.monotonic() > end_s:
            raise CouldNotRunError(f"not within {within_s} s: {what}")
        time.sleep(0.05)


def _end_early(number: int, frame: Any) -> None:
    # The nodes are ended while the stack unwinds.
    raise CouldNotRunError("ended by a signal")


def run_case(folder: Path, play: Callable[[Record], bool]) -> int:
    """Play a case and return its exit code; ``play`` returns whether the rule held."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, _end_early)
    try:
        held = play(record)
    except CouldNotRunError as error:
        record.write(f"could not run: {error}")
        return COULD_NOT_RUN
    record.write("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
