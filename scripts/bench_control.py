"""Measure the time and resources used by changes of the control state, and replica start-up.

For changes: the time to acceptance, the time until in force on all entry instances, and the
resources used beyond the idle usage.

Usage: bench_control.py FOLDER ENTRIES BASE_PORT CHANGES   (with a fleet started by start_fleet.sh)
       bench_control.py start-up                           (without a fleet)
"""

from __future__ import annotations

import http.client
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from coltsfootrill.control.acceptor import Acceptor
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.messages import Accept
from coltsfootrill.control.messages import Ballot
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.messages import Replica
from coltsfootrill.control.submission import submit_manifest
from coltsfootrill.replay.workloads import HERALDIC
from coltsfootrill.replay.workloads import ROTA
from coltsfootrill.replay.workloads import make_manifest

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
IDLE_SAMPLE_S = 10


def call_operators_port(port: int, token: str, method: str, path: str, body: bytes = b"") -> Any:
    """Call a port for operators; return the decoded JSON, or the raw body of ``/metrics``."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"Authorization": f"Bearer {token}", "Operator": "bench"}
    connection.request(method, path, body or None, headers)
    raw = connection.getresponse().read()
    connection.close()
    return raw if path == "/metrics" else json.loads(raw)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_peer_bytes(port: int) -> float:
    """Return the number of bytes that an entry instance has exchanged with its peers."""
    text = call_operators_port(port, "", "GET", "/metrics").decode()
    lines = [line for line in text.splitlines() if line.startswith("coltsfootrill_peer_bytes{")]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def measure_fleet(folder: Path, entries: int, base: int, changes: int) -> None:
    """Submit manifests and print how long acceptance and distribution took, and their cost."""
    token = (folder / "operator.token").read_text().strip()
    pids = {
        name: int(pid) for pid, name in map(str.split, (folder / "pids").read_text().splitlines())
    }
    ports = [base + 100 + number for number in range(1, entries + 1)]
    idle = measure_idle_usage(pids, ports, IDLE_SAMPLE_S)
    print_usage("idle", idle, IDLE_SAMPLE_S)
    accepted_ms: list[float] = []
    in_force_ms: list[float] = []
    before = sample_usage(pids, ports)
    start_s = time.monotonic()
    for version in range(2, 2 + changes):
        submit_and_wait(version, token, ports, base, accepted_ms, in_force_ms)
    elapsed_s = time.monotonic() - start_s
    after = sample_usage(pids, ports)
    usage = {name: after[name] - before[name] for name in before}
    extra = {
        name: (usage[name] - idle[name] / IDLE_SAMPLE_S * elapsed_s) / changes for name in usage
    }
    print(f"accepted ms: p50 {statistics.median(accepted_ms):.1f} max {max(accepted_ms):.1f}")
    print(f"in force everywhere ms: p50 {statistics.median(in_force_ms):.0f}", end=" ")
    print(f"max {max(in_force_ms):.0f}")
    print_usage("per change, above idle, including the polling by this benchmark", extra, 1)


def submit_and_wait(
    version: int,
    token: str,
    ports: list[int],
    base: int,
    accepted_ms: list[float],
    in_force_ms: list[float],
) -> None:
    """Submit one manifest, wait until it is in force everywhere, and append both durations."""
    body = json.dumps(make_manifest(version, [HERALDIC, ROTA])).encode()
    start_s = time.monotonic()
    reply = call_operators_port(base + 11 + version % 3, token, "POST", "/manifest", body)
    assert reply["result"] == "accepted", reply
    accepted_ms.append((time.monotonic() - start_s) * 1000)
    pending_ports = list(ports)
    while pending_ports:
        status = call_operators_port(pending_ports[0], token, "GET", "/status")
        if status["version"] >= version:
            pending_ports.pop(0)
        else:
            time.sleep(0.01)
    in_force_ms.append((time.monotonic() - start_s) * 1000)


def sample_usage(pids: dict[str, int], ports: list[int]) -> dict[str, float]:
    """Return CPU seconds of an entry and a control process, and the entry's bytes with peers."""
    return {
        "entry cpu s": read_cpu_s(pids["e3"]),
        "control cpu s": read_cpu_s(pids["c2"]),
        "entry peer bytes": read_peer_bytes(ports[2]),
    }


def measure_idle_usage(
    pids: dict[str, int], ports: list[int], duration_s: float
) -> dict[str, float]:
    """Return the resources used within ``duration_s`` without changes."""
    before = sample_usage(pids, ports)
    time.sleep(duration_s)
    after = sample_usage(pids, ports)
    return {name: after[name] - before[name] for name in before}


def print_usage(label: str, usage: dict[str, float], duration_s: float) -> None:
    """Print each resource divided by ``duration_s``."""
    cells = "  ".join(f"{name} {value / duration_s:.4f}" for name, value in usage.items())
    print(f"{label}: {cells}")


def measure_start_up() -> None:
    """Print the start-up time of a control replica after different numbers of changes."""
    raw = json.dumps(make_manifest(1, [HERALDIC, ROTA])).encode()
    for changes in (10, 1_000, 10_000):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            size = write_replica_data(folder, changes, raw)
            times = [measure_control_start_s(folder) for _ in range(5)]
        print(f"start after {changes} changes: median {statistics.median(times):.2f} s,", end=" ")
        print(f"data folder {size / 1024:.0f} KiB")


def write_replica_data(folder: Path, changes: int, raw: bytes) -> int:
    """Write the data folder of a replica after ``changes`` changes; return its size in bytes."""
    acceptor = Acceptor.from_folder(folder / "data" / "control", files=FileLayer())
    members = {"c1": Replica("127.0.0.1:27101", acceptor.key)}
    state = ControlState(1, 1, members, 0, "", b"", [], [], 0)
    for version in range(1, changes + 1):
        digest = Random(version).randbytes(32).hex()
        state, _ = submit_manifest(
            state, version=version, digest=digest, manifest=raw, operator="bench", wall_ms=version
        )
    acceptor.accept(Accept(Ballot(changes, "c1"), state))
    return sum(path.stat().st_size for path in folder.rglob("*.rec"))


def measure_control_start_s(folder: Path) -> float:
    """Return the seconds from the start of a replica until it replies with a manifest version."""
    (folder / "operator.token").write_text("operator-token-0123456789")
    (folder / "c1.ini").write_text(
        f"[instance]\nid = c1\nzone = z\ndata = {folder}/data\n"
        f"[tokens]\noperator_file = {folder}/operator.token\n"
        "[operators]\nlisten = 127.0.0.1:27111\n"
        "[control]\nlisten = 127.0.0.1:27101\nreplicas = c1=127.0.0.1:27101\n"
    )
    arguments = [sys.executable, "-m", "coltsfootrill", "control", "--settings"]
    start_s = time.monotonic()
    process = subprocess.Popen([*arguments, str(folder / "c1.ini")], stderr=subprocess.DEVNULL)
    while True:
        try:
            status = call_operators_port(27_111, "operator-token-0123456789", "GET", "/status")
            if status.get("version"):
                break
        except OSError:
            time.sleep(0.01)
    elapsed_s = time.monotonic() - start_s
    process.terminate()
    process.wait()
    return elapsed_s


if __name__ == "__main__":
    if sys.argv[1:] == ["start-up"]:
        measure_start_up()
    else:
        measure_fleet(Path(sys.argv[1]), *(int(text) for text in sys.argv[2:5]))
