"""Measure how the usage of an entry instance grows with instances, upstreams and requests.

Usage: slopes.py [BASE_PORT]
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from scripts.bench_control import call_operators_port  # noqa: E402
from scripts.bench_control import read_cpu_s  # noqa: E402
from scripts.bench_control import read_peer_bytes  # noqa: E402

PROGRAM = str(ROOT / ".venv/bin/coltsfootrill")
IDLE_SAMPLE_S = 10.0
SETTLE_S = 5.0
REQUESTS = 2_000
PROPAGATION_SAMPLES = 15


class Fleet:
    """A fleet started by ``start_fleet.sh``, with its files in ``folder``."""

    def __init__(self, folder: str, base: int, entries: int, copies: int) -> None:
        self.folder = Path(folder)
        self.base = base
        command = [str(ROOT / "scripts/start_fleet.sh"), folder, str(entries), str(base), "120"]
        environment = os.environ | {"COPIES": str(copies)}
        subprocess.run(command, check=True, cwd=ROOT, env=environment, stdout=subprocess.DEVNULL)
        lines = (self.folder / "pids").read_text().splitlines()
        self.pids = {name: int(pid) for pid, name in map(str.split, lines)}
        time.sleep(SETTLE_S)

    def stop(self) -> None:
        """Stop all processes."""
        stop = str(ROOT / "scripts/stop_fleet.sh")
        subprocess.run([stop, str(self.folder)], check=False, stdout=subprocess.DEVNULL)

    def describe_idle_usage(self) -> str:
        """Return the idle usage of the second entry instance and a control replica as text."""
        entry, control = self.pids["e2"], self.pids["c2"]
        port = self.base + 102
        before = (read_cpu_s(entry), read_cpu_s(control), read_peer_bytes(port))
        time.sleep(IDLE_SAMPLE_S)
        after = (read_cpu_s(entry), read_cpu_s(control), read_peer_bytes(port))
        usage = [(late - early) / IDLE_SAMPLE_S for early, late in zip(before, after, strict=True)]
        return (
            f"entry {usage[0] * 100:.2f} % of a core, {read_memory_mb(entry):.1f} MB, "
            f"{usage[2] / 1000:.2f} KB/s with peers; control {usage[1] * 100:.2f} %, "
            f"{read_memory_mb(control):.1f} MB"
        )

    def measure_propagation_ms(self, entries: int) -> list[float]:
        """Return how long new upstreams take to be listed by every instance, sorted."""
        token = (self.folder / "announce.token").read_text().strip()
        operator = (self.folder / "operator.token").read_text().strip()
        times = []
        for number in range(PROPAGATION_SAMPLES):
            name = f"spread-{number}"
            start_s = time.monotonic()
            call_operators_port(
                self.base + 301, token, "POST", "/announcements", _encode_announcement(name)
            )
            pending_ports = [self.base + 100 + entry for entry in range(1, entries + 1)]
            while pending_ports:
                known = call_operators_port(pending_ports[0], operator, "GET", "/upstreams")[
                    "upstreams"
                ]
                if any(upstream["id"] == name for upstream in known):
                    pending_ports.pop(0)
            times.append((time.monotonic() - start_s) * 1000)
        return sorted(times)

    def measure_call_cpu_ms(self, rate: int) -> float:
        """Return the CPU time of the first entry instance for one call, without its idle usage."""
        entry = self.pids["e1"]
        idle_before_s = read_cpu_s(entry)
        time.sleep(IDLE_SAMPLE_S)
        idle_cpu_rate = (read_cpu_s(entry) - idle_before_s) / IDLE_SAMPLE_S
        command = [PROGRAM, "measure-added", "--callers", f"127.0.0.1:{self.base + 201}"]
        for number in (1, 2, 3):
            command += ["--fakes", f"127.0.0.1:{self.base + 20 + number}"]
        command += ["--requests", str(REQUESTS), "--rate", str(rate)]
        before = read_cpu_s(entry)
        start_s = time.monotonic()
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        elapsed_s = time.monotonic() - start_s
        return (read_cpu_s(entry) - before - idle_cpu_rate * elapsed_s) * 1000 / REQUESTS


def _encode_announcement(name: str) -> bytes:
    return json.dumps(
        {
            "id": name,
            "incarnation": 1,
            "sequence": 1,
            "address": "127.0.0.1:9",
            "zone": "zone-1",
            "services": ["spread"],
            "slots": 3,
            "state": "serving",
        }
    ).encode()


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB (1024 KB)."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def main() -> int:
    """Measure and print the usage at each size."""
    base = int(sys.argv[1]) if len(sys.argv) > 1 else 29_000
    for entries, copies in ((5, 1), (10, 1), (20, 1), (10, 2), (10, 4)):
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder, base, entries, copies)
            try:
                print(
                    f"{entries} instances, {70 * copies} upstreams: {fleet.describe_idle_usage()}"
                )
                if copies == 1:
                    times = fleet.measure_propagation_ms(entries)
                    median_ms = times[len(times) // 2]
                    print(f"  new upstream listed everywhere: p50 {median_ms:.0f} ms,", end=" ")
                    print(f"max {times[-1]:.0f} ms, including polling")
                sys.stdout.flush()
            finally:
                fleet.stop()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, base, 5, 1)
        try:
            for rate in (100, 200, 400):
                print(f"{rate} calls/s: {fleet.measure_call_cpu_ms(rate):.3f} CPU ms per call")
        finally:
            fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
