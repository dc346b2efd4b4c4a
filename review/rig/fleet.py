"""A small fleet of nodes on loopback, started with the command of the deploy file."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PORTS = ("callers", "ready", "interface", "metrics", "fleet")
# The bounds of the small installations, as the users' pages give them.
GRACE_S = 6
RETRY_SHARE = 0.2
RETRY_WINDOW_S = 10
RETRY_ALLOWANCE = 70
MEMORY_MB = 300


def find_ports(host: str) -> dict[str, int]:
    sockets = [socket.create_server((host, 0)) for _ in PORTS]
    ports = {name: sock.getsockname()[1] for name, sock in zip(PORTS, sockets, strict=True)}
    for sock in sockets:
        sock.close()
    return ports


class Node:
    """One node process; the settings have the keys of ``deploy/node.ini``."""

    def __init__(self, fleet: Fleet, number: int, *, has_disk: bool) -> None:
        self.fleet = fleet
        self.number = number
        self.host = f"{fleet.network}.{number}"
        self.name = f"frontend-zone-{number}-1"
        self.zone = f"zone-{number}"
        self.data = fleet.folder / f"data-{number}" if has_disk else None
        if self.data is not None:
            self.data.mkdir()
        self.path = fleet.folder / f"node-{number}.ini"
        self.log_path = fleet.folder / f"node-{number}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def write_settings(self, *, first_start: bool) -> None:
        ports = self.fleet.ports
        seeds = ",".join(self.fleet.seeds)
        text = f"""[instance]
id = {self.name}
zone = {self.zone}
data = {self.data or ''}
first_start = {'true' if first_start else 'false'}
link_mbps = 1000.0

[metrics]
listen = {self.host}:{ports['metrics']}

[ready]
listen = {self.host}:{ports['ready']}

[interface]
listen = {self.host}:{ports['interface']}
name = platform
dialect = platform
manifest = platform

[fleet]
listen = {self.host}:{ports['fleet']}
seeds = {seeds}
losses = 1

[callers]
listen = {self.host}:{ports['callers']}
grace_s = {GRACE_S}

[retries]
share = {RETRY_SHARE}
window_s = {RETRY_WINDOW_S}
allowance = {RETRY_ALLOWANCE}

[tls]
plain = true

[balancer]
policy = reported-load

[measuring]
interval_ms = 80

[dispatch]
timeout_ms = 30

[upstreams]
once_idle_ms = 4000
"""
        temporary = self.path.with_suffix(".tmp")
        temporary.write_text(text)
        temporary.replace(self.path)

    def start(self, *, first_start: bool = False) -> None:
        self.write_settings(first_start=first_start)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["COLTSFOOTRILL_SETTINGS"] = str(self.path)
        environment["COLTSFOOTRILL_MEMORY_MB"] = str(MEMORY_MB)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.starts += 1
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/run.py"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def call(
        self,
        port: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 2.0,
    ) -> tuple[int, bytes]:
        """Return the status and the body; the status is 0 without a complete response."""
        connection = http.client.HTTPConnection(
            self.host, self.fleet.ports[port], timeout=timeout_s
        )
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

    def submit(self, raw: bytes, base: int, timeout_s: float = 6.0) -> int:
        headers = {"X-Base-Version": f"{base:08x}", "Content-Type": "application/json"}
        path = "/Configuration.Replace"
        return self.call("interface", "POST", path, raw, headers, timeout_s)[0]


class Fleet:
    """Nodes that share ports; the first three have a disk and are the seeds."""

    def __init__(self, *, nodes: int = 3, network: str = "127.0.61") -> None:
        self.network = network
        self.folder = Path(tempfile.mkdtemp(prefix="coltsfootrill-review-"))
        self.ports = find_ports(f"{network}.1")
        self.seeds = [f"{network}.{n}:{self.ports['interface']}" for n in (1, 2, 3)]
        self.nodes = [Node(self, n, has_disk=n <= 3) for n in range(1, nodes + 1)]

    def start(self) -> None:
        for node in self.nodes:
            node.start(first_start=True)

    def close(self) -> None:
        for node in self.nodes:
            node.kill()

    def submit_first(self, raw: bytes, within_s: float = 30.0) -> None:
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            if self.nodes[0].submit(raw, 0) == 200:
                return
            time.sleep(0.2)
        raise TimeoutError("the first desired state was not accepted")

    def wait_ready(self, within_s: float = 30.0) -> None:
        end_s = time.monotonic() + within_s
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > end_s:
                raise TimeoutError("the nodes did not become ready")
            time.sleep(0.1)


ROUTE_COLUMNS = [
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
SERVICE_COLUMNS = ["name", "healthCheckPath", "maxConnections", "protocol", "tls"]


def encode_state(version: int, routes: list[list[object]], services: list[str]) -> bytes:
    """Return a desired state as the operator sends it."""
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {
                "columns": SERVICE_COLUMNS,
                "rows": [[name, "/health", 300, "h1", False] for name in services],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    ).encode()
