"""Figures of the control state: acceptance, time to in force, cost of a change, start-up.

Usage: bench_control.py FOLDER ENTRIES BASE_PORT CHANGES   (a fleet of start_fleet.sh runs there)
       bench_control.py start-up                           (needs no fleet)
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
REST_S = 10


def call(port: int, token: str, method: str, path: str, body: bytes = b"") -> Any:
    """Call an operators' port."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"Authorization": f"Bearer {token}", "Operator": "bench"}
    connection.request(method, path, body or None, headers)
    raw = connection.getresponse().read()
    connection.close()
    return raw if path == "/metrics" else json.loads(raw)


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_peer_bytes(port: int) -> float:
    """Return the bytes that an entry instance has exchanged with its peers."""
    text = call(port, "", "GET", "/metrics").decode()
    lines = [line for line in text.splitlines() if line.startswith("coltsfootrill_peer_bytes{")]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def measure_fleet(folder: Path, entries: int, base: int, changes: int) -> None:
    """Submit manifests and measure each until it is in force on every instance."""
    token = (folder / "operator.token").read_text().strip()
    pids = {
        name: int(pid) for pid, name in map(str.split, (folder / "pids").read_text().splitlines())
    }
    ports = [base + 100 + number for number in range(1, entries + 1)]
    rest = measure_use(pids, ports, REST_S)
    print_use("at rest", rest, REST_S)
    accepted_ms: list[float] = []
    in_force_ms: list[float] = []
    before = sample(pids, ports)
    start_s = time.monotonic()
    for version in range(2, 2 + changes):
        submit_and_wait(version, token, ports, base, accepted_ms, in_force_ms)
    elapsed_s = time.monotonic() - start_s
    after = sample(pids, ports)
    use = {name: after[name] - before[name] for name in before}
    extra = {name: (use[name] - rest[name] / REST_S * elapsed_s) / changes for name in use}
    print(f"accepted ms: p50 {statistics.median(accepted_ms):.1f} max {max(accepted_ms):.1f}")
    print(f"in force everywhere ms: p50 {statistics.median(in_force_ms):.0f}", end=" ")
    print(f"max {max(in_force_ms):.0f}")
    print_use("per change, beyond rest, with the asking of this bench", extra, 1)


def submit_and_wait(
    version: int,
    token: str,
    ports: list[int],
    base: int,
    accepted_ms: list[float],
    in_force_ms: list[float],
) -> None:
    """Submit one manifest and wait until the last instance has it."""
    body = json.dumps(make_manifest(version, [HERALDIC, ROTA])).encode()
    start_s = time.monotonic()
    answer = call(base + 11 + version % 3, token, "POST", "/manifest", body)
    assert answer["result"] == "accepted", answer
    accepted_ms.append((time.monotonic() - start_s) * 1000)
    waiting = list(ports)
    while waiting:
        status = call(waiting[0], token, "GET", "/status")
        if status["version"] >= version:
            waiting.pop(0)
        else:
            time.sleep(0.01)
    in_force_ms.append((time.monotonic() - start_s) * 1000)


def sample(pids: dict[str, int], ports: list[int]) -> dict[str, float]:
    """Return processor seconds of one entry and one control process, and peer bytes of one."""
    return {
        "entry cpu s": read_cpu_s(pids["e3"]),
        "control cpu s": read_cpu_s(pids["c2"]),
        "entry peer bytes": read_peer_bytes(ports[2]),
    }


def measure_use(pids: dict[str, int], ports: list[int], duration_s: float) -> dict[str, float]:
    """Return what is used in a time without changes."""
    before = sample(pids, ports)
    time.sleep(duration_s)
    after = sample(pids, ports)
    return {name: after[name] - before[name] for name in before}


def print_use(label: str, use: dict[str, float], duration_s: float) -> None:
    """Print a use for each second, or for each change."""
    cells = "  ".join(f"{name} {value / duration_s:.4f}" for name, value in use.items())
    print(f"{label}: {cells}")


def measure_start_up() -> None:
    """Measure the start of a control replica after different numbers of changes."""
    raw = json.dumps(make_manifest(1, [HERALDIC, ROTA])).encode()
    for changes in (10, 1_000, 10_000):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            size = make_data(folder, changes, raw)
            times = [start_control(folder) for _ in range(5)]
        print(f"start after {changes} changes: median {statistics.median(times):.2f} s,", end=" ")
        print(f"data folder {size / 1024:.0f} KiB")


def make_data(folder: Path, changes: int, raw: bytes) -> int:
    """Write the data folder that a replica has after ``changes`` changes; return its size."""
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


def start_control(folder: Path) -> float:
    """Return the seconds from the start of a replica until it answers with its state."""
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
            status = call(27_111, "operator-token-0123456789", "GET", "/status")
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
