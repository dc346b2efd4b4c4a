"""A long replay of both workloads while instances are killed, suspended and stopped at random.

Usage: ``python -m testing.entry_fleet DURATION_S SEED [ENTRIES] [RATE]``.
Counts the runs that violate a guarantee and exits with 1 if there is one.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[1]
PROGRAM = str(ROOT / ".venv/bin/coltsfootrill")
BASE_PORT = 27_500
FLEET_LIFETIME_MAX_S = 60


class FaultInjector:
    """Injects a fault into one random instance at a time, with a few seconds in between.

    So at most one control replica is down at any time.
    """

    def __init__(self, folder: Path, entries: int, random: Random) -> None:
        self._folder = folder
        self._random = random
        self._entries = [f"e{number}" for number in range(1, entries + 1)]
        self._stopped = threading.Event()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.pids = {
            name: int(pid)
            for pid, name in map(str.split, (folder / "pids").read_text().splitlines())
        }
        self.faults: list[str] = []

    def run(self) -> None:
        """Inject faults until ``stop`` is called."""
        faults = (self._kill_entry, self._stop_entry, self._freeze_entry, self._kill_control)
        while not self._stopped.wait(self._random.uniform(1.0, 4.0)):
            self._random.choice(faults)()

    def stop(self) -> None:
        """Inject no further faults."""
        self._stopped.set()

    def _kill_entry(self) -> None:
        self._restart(self._random.choice(self._entries), signal.SIGKILL, "entry")

    def _stop_entry(self) -> None:
        self._restart(self._random.choice(self._entries), signal.SIGTERM, "entry")

    def _kill_control(self) -> None:
        self._restart(self._random.choice(["c1", "c2", "c3"]), signal.SIGKILL, "control")

    def _freeze_entry(self) -> None:
        name = self._random.choice(self._entries)
        os.kill(self.pids[name], signal.SIGSTOP)
        self._stopped.wait(self._random.uniform(0.2, 5.0))
        os.kill(self.pids[name], signal.SIGCONT)
        self.faults.append(f"SIGSTOP {name}")

    def _restart(self, name: str, number: signal.Signals, role: str) -> None:
        pid = self.pids[name]
        os.kill(pid, number)
        while _is_alive(pid, self.processes.get(name)):
            time.sleep(0.05)
        self._stopped.wait(self._random.uniform(0.0, 2.0))
        with open(self._folder / f"{name}.log", "ab") as log:
            command = [PROGRAM, role, "--settings", str(self._folder / f"{name}.ini")]
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        self.pids[name] = self.processes[name].pid
        self.faults.append(f"{number.name} {name}")


def _is_alive(pid: int, process: subprocess.Popen[bytes] | None) -> bool:
    if process is not None:
        return process.poll() is None
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def run_once(seed: int, duration_s: float, entries: int, rate: float) -> tuple[bool, int]:
    """Run one fleet; return whether all guarantees held and the number of injected faults."""
    random = Random(seed)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        start_command = [str(ROOT / "scripts/start_fleet.sh"), name, str(entries), str(BASE_PORT)]
        subprocess.run(
            [*start_command, str(duration_s + 60)], check=True, cwd=ROOT, stdout=subprocess.DEVNULL
        )
        time.sleep(3)
        injector = FaultInjector(folder, entries, random)
        thread = threading.Thread(target=injector.run)
        thread.start()
        replays = [
            _start_replay(folder, workload, seed, duration_s, entries, rate)
            for workload in ("heraldic", "rota")
        ]
        exit_codes = [replay.wait() for replay in replays]
        injector.stop()
        thread.join()
        pids = "\n".join(f"{pid} {name}" for name, pid in injector.pids.items())
        (folder / "pids").write_text(pids + "\n")
        # stop_fleet.sh waits until no process exists, so exited children must be reaped meanwhile.
        reaper = threading.Thread(target=_reap, args=(list(injector.processes.values()),))
        reaper.start()
        subprocess.run([str(ROOT / "scripts/stop_fleet.sh"), name], check=False)
        reaper.join()
        _print_log_errors(folder)
        return exit_codes == [0, 0], len(injector.faults)


def _start_replay(
    folder: Path, workload: str, seed: int, duration_s: float, entries: int, rate: float
) -> subprocess.Popen[bytes]:
    trace = str(folder / f"{workload}.jsonl")
    make_trace = [PROGRAM, "make-trace", trace, "--workload", workload, "--seed", str(seed)]
    subprocess.run([*make_trace, "--duration-s", str(duration_s), "--rate", str(rate)], check=True)
    command = [PROGRAM, "replay", trace]
    for number in range(1, entries + 1):
        command += ["--callers", f"127.0.0.1:{BASE_PORT + 200 + number}"]
    for number in (1, 2, 3):
        command += ["--fakes", f"127.0.0.1:{BASE_PORT + 20 + number}"]
    return subprocess.Popen(command)


def _reap(processes: list[subprocess.Popen[bytes]]) -> None:
    for process in processes:
        process.wait()


def _print_log_errors(folder: Path) -> None:
    for path in sorted(folder.glob("[ce]*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if "Traceback" in line or "unhandled exception in a request" in line:
                print(f"{path.name}: {line}")


def main() -> int:
    """Run one fleet after another for the duration; return 1 if a guarantee was violated."""
    duration_s = float(sys.argv[1])
    seed = int(sys.argv[2])
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else 20
    rate = float(sys.argv[4]) if len(sys.argv) > 4 else 80.0
    end_s = time.monotonic() + duration_s
    violated_runs = 0
    runs = 0
    while time.monotonic() < end_s:
        run_s = min(FLEET_LIFETIME_MAX_S, max(10.0, end_s - time.monotonic()))
        is_held, faults = run_once(seed + runs, run_s, entries, rate)
        runs += 1
        violated_runs += not is_held
        verdict = "held" if is_held else "VIOLATED"
        print(f"run {runs} seed {seed + runs - 1}: {faults} faults, {verdict}")
    print(f"{runs} runs, {violated_runs} violated")
    return 1 if violated_runs else 0


if __name__ == "__main__":
    sys.exit(main())
