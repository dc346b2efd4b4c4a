"""A small deployment on loopback: nodes as the deploy file starts them, and stand-ins around them.

Endpoints, consumers and operators follow the users' pages. Only the standard library is used.
"""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("rajkot-a", "jamnagar-b", "bhavnagar-c")
REGION = "gujarat-west"
HOST = "desk.example"
HEARTBEAT_S = 1.5
CALL_TIMEOUT_S = 1.0
# The bounds of sites/shpc-gateway.toml, as its sheet lists them.
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "connectivityWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configurationApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 64,
    "recoveryS": 15,
    "probesPerS": 60,
}
ROUTE_COLUMNS = (
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
)
SERVICE_COLUMNS = ("name", "healthCheckPath", "maxConnections", "protocol", "tls")
_attempt_numbers = itertools.count(1)
_PLACEHOLDER = re.compile(r"\{\{([#^/]?)([\w.@]+)(?:\|json)?\}\}")


def now_ms() -> float:
    return time.monotonic() * 1000


class Record:
    """Writes one line for each thing that was sent, answered or run. Thread-safe."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_ms = now_ms()

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{now_ms() - self._start_ms:9.1f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        with self._lock:
            self._file.close()


# --- nodes -------------------------------------------------------------------------------------


def _look_up(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def _as_text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_as_text(part) for part in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in placeholders and sections, as the page on the deploy file says."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def fill_section(match: re.Match[str]) -> str:
        value = _look_up(fields, match[2])
        if match[1] == "^":
            return "" if value else match[3]
        return match[3].replace("{{.}}", _as_text(value)) if value not in (None, False) else ""

    text = section.sub(fill_section, template)
    return _PLACEHOLDER.sub(lambda match: _as_text(_look_up(fields, match[2])), text)


class Node:
    """One process of the deploy file's role, on a loopback address of its own."""

    def __init__(self, fleet: Fleet, number: int, *, has_disk: bool) -> None:
        self.fleet = fleet
        self.number = number
        self.host = f"{fleet.network}.{number}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.has_disk = has_disk
        self.data = fleet.folder / f"data-{number}"
        self._settings = fleet.folder / f"node-{number}.settings"
        self._log = fleet.folder / f"node-{number}.log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        return f"n{self.number}"

    def get_fields(self, *, bootstrap: bool) -> dict[str, Any]:
        ports = self.fleet.ports
        return {
            "nodeName": f"frontend-{self.zone}-{self.number}",
            "role": "node",
            "machineClass": "frontend",
            "serves": ["frontend", "control_plane"],
            "ipAddress": self.host,
            "zone": self.zone,
            "region": REGION,
            "countsAsLoss": self.has_disk,
            "bootstrap": bootstrap,
            "dataDirectory": str(self.data) if self.has_disk else None,
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": 300,
                "fileDescriptors": 4100,
                "linkMbps": 1000.0,
                "diskMb": 64 if self.has_disk else 0,
            },
            "listen": {
                "frontend": f"{self.host}:{ports['frontend']}",
                "ready": f"{self.host}:{ports['ready']}",
                "controlPlane": f"{self.host}:{ports['controlPlane']}",
            },
            "internalPortRange": [ports["internal"], ports["internal"] + 15],
            "seeds": self.fleet.seeds,
            "discovery": "registration",
            "entry": "virtual_ip",
            "heartbeatIntervalMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def start(self, *, bootstrap: bool = False) -> None:
        role = self.fleet.role
        fields = self.get_fields(bootstrap=bootstrap)
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self._settings.write_text(render(template, fields), encoding="utf-8")
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "JAVA_HOME", "LANG")
        }
        environment |= {key: render(text, fields) for key, text in role.get("env", {}).items()}
        environment["COLTSFOOTRILL_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        command = [render(word, fields) for word in role["run"].split()]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.fleet.record.write(f"{self.name} start pid={self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.fleet.record.write(f"{self.name} {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait(timeout=10)

    def is_alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def read_log(self) -> str:
        return self._log.read_text(encoding="utf-8", errors="replace")

    def call(
        self,
        port: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body; status 0 without a complete answer."""
        connection = http.client.HTTPConnection(
            self.host, self.fleet.ports[port], timeout=timeout_s
        )
        try:
            connection.request(method, path, body=body, headers=headers or {})
            answer = connection.getresponse()
            raw = answer.read()
            return answer.status, {k.lower(): v for k, v in answer.getheaders()}, raw
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def is_ready(self) -> bool:
        return self.call("ready", "GET", "/readiness")[0] == 200


class Fleet:
    """Nodes of a small deployment; the first three have a disk."""

    def __init__(self, record: Record, *, nodes: int = 5, disks: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="coltsfootrill-review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.role = next(iter(deploy["roles"].values()))
        self.network, self.ports = _find_free(nodes)
        self.nodes = [Node(self, n + 1, has_disk=n < disks) for n in range(nodes)]
        self.seeds = [
            f"{node.host}:{self.ports['controlPlane']}" for node in self.nodes if node.has_disk
        ][:3]

    def start(self) -> None:
        for node in self.nodes:
            node.start(bootstrap=True)

    def wait_until(self, holds: Callable[[], bool], *, within_s: float, what: str) -> None:
        end_ms = now_ms() + within_s * 1000
        while not holds():
            if now_ms() > end_ms:
                raise CannotRunError(f"not within {within_s} s: {what}")
            time.sleep(0.05)

    def close(self) -> None:
        for node in self.nodes:
            if node.is_alive():
                assert node.process is not None
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait(timeout=10)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be played."""


def _find_free(nodes: int) -> tuple[str, dict[str, int]]:
    """Return a loopback network and ports that are free on all addresses of it that are used."""
    for _ in range(50):
        network = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
        first = random.randint(20_000, 50_000)
        ports = {
            "frontend": first,
            "ready": first + 1,
            "controlPlane": first + 2,
            "internal": first + 10,
        }
        wanted = [9464, *ports.values(), *range(first + 10, first + 26)]
        try:
            with contextlib.ExitStack() as stack:
                for number in range(1, nodes + 1):
                    for port in set(wanted):
                        stack.enter_context(socket.create_server((f"{network}.{number}", port)))
            return network, ports
        except OSError:
            continue
    raise CannotRunError("no free ports")


# --- operator ----------------------------------------------------------------------------------


def route(name: str, prefix: str, kind: str, service: str, **changes: Any) -> list[Any]:
    fields: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "trafficSplit": None,
    }
    return [(fields | changes)[column] for column in ROUTE_COLUMNS]


def encode_state(version: int, routes: list[list[Any]], services: list[str]) -> bytes:
    state = {
        "version": f"{version:08x}",
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "services": {
            "columns": SERVICE_COLUMNS,
            "rows": [[name, "/health", 260, "h1", False] for name in services],
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(state).encode()


class Operator:
    """Sends desired states; the same call again, to another node, until there is a clear answer."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.version = 0

    def replace(
        self, version: int, raw: bytes, *, base: int | None = None, within_s: float = 20.0
    ) -> int:
        base_version = self.version if base is None else base
        headers = {"X-Base-Version": f"{base_version:08x}", "Content-Type": "application/json"}
        end_ms = now_ms() + within_s * 1000
        for node in itertools.cycle(self._fleet.nodes):
            if now_ms() > end_ms:
                return 0
            status, _, _ = node.call("controlPlane", "POST", "/Configuration.Replace", raw, headers)
            self._fleet.record.write(
                f"operator version={version:08x} base={base_version:08x} to={node.name} -> {status}"
            )
            if status in (200, 400, 409, 412, 413, 422):
                if status == 200:
                    self.version = version
                return status
            time.sleep(0.2)
        return 0


# --- endpoints ---------------------------------------------------------------------------------


class Run:
    """One request that an endpoint began to work on."""

    def __init__(self, request_id: str, endpoint: str, at_ms: float) -> None:
        self.request_id = request_id
        self.endpoint = endpoint
        self.at_ms = at_ms


class Endpoint:
    """An endpoint: ``slots`` requests at a time, a short queue, status reports, a clean end."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        service: str,
        *,
        zone: str = ZONES[0],
        host: str = "127.0.0.1",
        slots: int = 3,
        queue: int = 12,
        work_s: float = 0.06,
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.in_flight = 0
        self._sequence = 0
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(slots)
        self._closed = threading.Event()
        self._reporting = threading.Event()
        self._sockets: set[socket.socket] = set()
        self._next_node: str | None = None
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def start_reports(self) -> None:
        threading.Thread(target=self._report_all, daemon=True).start()

    def stop_reports(self) -> None:
        self._reporting.set()

    def make_report(self, state: str = "ready") -> bytes:
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        return json.dumps(
            {
                "address": self.address,
                "serverInfo": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "concurrency": self.slots,
                },
                "status": {"state": state, "sequence": sequence, "coldRemainingMs": 0},
                "born": self.born,
            }
        ).encode()

    def report(self, state: str = "ready") -> bool:
        """Send one status report, to the next node after a failure; return whether one took it."""
        raw = self.make_report(state)
        return self._call_any(f"/Instances.Heartbeat/{self.name}", raw, f"{state}")

    def deregister(self) -> bool:
        raw = json.dumps({"born": self.born}).encode()
        return self._call_any(f"/Instances.Deregister/{self.name}", raw, "deregister")

    def _call_any(self, path: str, raw: bytes, what: str) -> bool:
        nodes = list(self.fleet.nodes)
        random.shuffle(nodes)
        for node in nodes:
            status, _, _ = node.call(
                "controlPlane", "POST", path, raw, {"Content-Type": "application/json"}
            )
            self.fleet.record.write(
                f"{self.name} born={self.born} {what} to={node.name} -> {status}"
            )
            if 200 <= status < 300:
                return True
            if self._closed.is_set():
                return False
        return False

    def _report_all(self) -> None:
        while not self._closed.is_set() and not self._reporting.is_set():
            self.report()
            self._reporting.wait(HEARTBEAT_S * random.uniform(0.9, 1.1))

    def close(self) -> None:
        """End the process: all connections break."""
        self._closed.set()
        self._reporting.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while not self._closed.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = sock.makefile("rb")
            while (request := read_request(stream)) is not None:
                if not self.answer(sock, *request):
                    return
        except (OSError, ValueError):
            return
        finally:
            with self._lock:
                self._sockets.discard(sock)
            sock.close()

    def describe_load(self) -> str:
        running = min(self.in_flight, self.slots)
        return f"X-Server-Load: {running},{max(0, self.in_flight - self.slots)},{self.slots}\r\n"

    def answer(self, sock: socket.socket, first: str, headers: dict[str, str], body: bytes) -> bool:
        """Answer one request; return whether the connection stays open."""
        if first.startswith("GET /health "):
            extra = f"X-Instance-Identifier: {self.name}\r\n{self.describe_load()}"
            sock.sendall(encode_answer("200 OK", b"", extra))
            return True
        request_id = headers.get("x-attempt-id", "")
        extra = f"X-Attempt-Id: {request_id}\r\n" if request_id else ""
        if headers.get("x-expected-instance", self.name) != self.name:
            sock.sendall(encode_answer("421 Misdirected Request", b"", extra))
            return True
        with self._lock:
            is_full = self.in_flight >= self.slots + self.queue
            if not is_full:
                self.in_flight += 1
        if is_full:
            self.fleet.record.write(f"{self.name} rejects {request_id}")
            extra += "X-Not-Executed: 1\r\n" + self.describe_load()
            sock.sendall(encode_answer("503 Service Unavailable", b"", extra))
            return True
        try:
            with self._slots:
                self.runs.append(Run(request_id, self.name, now_ms()))
                self.fleet.record.write(f"{self.name} runs {request_id} {first}")
                return self.work(sock, request_id, extra, body)
        finally:
            with self._lock:
                self.in_flight -= 1

    def work(self, sock: socket.socket, request_id: str, extra: str, body: bytes) -> bool:
        time.sleep(self.work_s * random.uniform(0.7, 1.3))
        extra += f"X-Server-Signature: sig-{self.name}-{request_id}\r\n" + self.describe_load()
        sock.sendall(encode_answer("200 OK", make_body(request_id), extra))
        return True


def make_body(request_id: str) -> bytes:
    return (f"answer to {request_id}\n" * 40).encode()


def encode_answer(status: str, body: bytes, extra: str) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def read_request(stream: Any) -> tuple[str, dict[str, str], bytes] | None:
    first = stream.readline(65_536)
    if not first:
        return None
    headers: dict[str, str] = {}
    while (line := stream.readline(65_536)) not in (b"\r\n", b""):
        key, _, value = line.decode("latin-1").partition(":")
        headers[key.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        return None
    return first.decode("latin-1").strip(), headers, body


# --- consumers ---------------------------------------------------------------------------------


class Sent:
    """One consumer attempt and how it ended; ``status`` is 0 without a complete answer."""

    def __init__(self, request_id: str, node: str, method: str, sent_ms: float) -> None:
        self.request_id = request_id
        self.node = node
        self.method = method
        self.sent_ms = sent_ms
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""


def next_id(prefix: str = "q") -> str:
    return f"{prefix}{next(_attempt_numbers)}-{random.getrandbits(32):08x}"


def send(
    node: Node,
    method: str,
    path: str,
    *,
    deadline_ms: int = 3000,
    body: bytes | None = None,
) -> Sent:
    """Send one attempt on a new connection and wait for its answer until its deadline."""
    sent = Sent(next_id(), node.name, method, now_ms())
    headers = {
        "Host": HOST,
        "X-Attempt-Id": sent.request_id,
        "X-Deadline-Milliseconds": str(deadline_ms),
    }
    node.fleet.record.write(f"consumer sends {sent.request_id} {method} {path} to={node.name}")
    sent.status, sent.headers, sent.body = node.call(
        "frontend", method, path, body, headers, timeout_s=deadline_ms / 1000 + 0.5
    )
    node.fleet.record.write(f"consumer gets {sent.request_id} -> {sent.status}")
    return sent


class Traffic:
    """Sends one attempt after another from ``threads`` consumers until ``stop``."""

    def __init__(
        self, fleet: Fleet, make: Callable[[], tuple[str, str]], *, threads: int, pause_s: float
    ) -> None:
        self.fleet = fleet
        self.sent: list[Sent] = []
        self._make = make
        self._pause_s = pause_s
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(threads)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(timeout=8)

    def _run(self) -> None:
        while not self._stopped.wait(self._pause_s * random.uniform(0.5, 1.5)):
            node = random.choice([node for node in self.fleet.nodes if node.is_alive()])
            method, path = self._make()
            self.sent.append(send(node, method, path, body=b"x" if method == "POST" else None))


# --- running a case ----------------------------------------------------------------------------


@contextlib.contextmanager
def run_fleet(record: Record, *, nodes: int = 5, disks: int = 3) -> Iterator[Fleet]:
    fleet = Fleet(record, nodes=nodes, disks=disks)
    try:
        yield fleet
    finally:
        fleet.close()


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def _interrupt(number: int, frame: Any) -> None:
    """End the case, so that it ends all processes that it started."""
    raise CannotRunError(f"ended by signal {number}")


def main(folder: Path, play: Callable[[Record], str]) -> None:
    """Play a case; exit with 1 if a rule was broken, 0 if it held, 2 if it could not run.

    ``play`` returns how the rule was broken, an empty text if it held.
    """
    record = Record(folder / "record.txt")
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _interrupt)
    try:
        broken = play(record)
        record.write(f"RESULT {'broken: ' + broken if broken else 'held'}")
        print(broken or "held")
        code = 1 if broken else 0
    except CannotRunError as error:
        record.write(f"RESULT cannot run: {error}")
        print(f"cannot run: {error}")
        code = 2
    except Exception as error:
        record.write(f"RESULT cannot run: {type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}")
        code = 2
    record.close()
    sys.stdout.flush()
    os._exit(code)
