"""Control replicas and entry instances as processes that reach each other through relays."""

from __future__ import annotations

import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from testing.relay import Relay

OPERATOR_TOKEN = "operator-token-for-tests"
ANNOUNCE_TOKEN = "announce-token-for-tests"


# Below the range of ephemeral ports: an outgoing connection could otherwise be given a port between
# its selection here and its use by a process.
_ports = itertools.cycle(range(12_000 + os.getpid() % 10_000, 32_000))


def get_free_port() -> int:
    for port in _ports:
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue
    raise AssertionError("no free port")


def wait_until(holds: Callable[[], bool], *, within_s: float = 15.0) -> float:
    """Wait until ``holds`` returns true and return the elapsed seconds; fail after ``within_s``."""
    start_s = time.monotonic()
    while not holds():
        assert time.monotonic() - start_s < within_s, f"condition not met within {within_s} s"
        time.sleep(0.02)
    return time.monotonic() - start_s


class Process:
    """A process of the program with its settings and log."""

    def __init__(self, name: str, role: str, settings: Path, log: Path) -> None:
        self.name = name
        self._role = role
        self._settings = settings
        self._log = log
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        arguments = [sys.executable, "-m", "coltsfootrill", self._role]
        arguments += ["--settings", str(self._settings)]
        with open(self._log, "ab") as log:
            self._popen = subprocess.Popen(arguments, stdout=log, stderr=log)

    def send(self, number: signal.Signals) -> None:
        assert self._popen is not None
        self._popen.send_signal(number)

    def kill(self) -> None:
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    def wait(self, timeout_s: float = 20.0) -> int:
        assert self._popen is not None
        return self._popen.wait(timeout_s)

    def is_alive(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    def read_log(self) -> str:
        return self._log.read_text()


class System:
    """Control replicas and entry instances, with their files in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.by_name: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.relays: dict[str, Relay] = {}
        self._replicas = ""
        (folder / "operator.token").write_text(OPERATOR_TOKEN)
        (folder / "announce.token").write_text(ANNOUNCE_TOKEN)

    def close(self) -> None:
        for process in self.by_name.values():
            process.kill()

    def add_control(
        self, names: list[str], *, spares: list[str] | None = None, extra: str = ""
    ) -> None:
        """Write the settings of control replicas that reach each other through relays."""
        spares = spares or []
        for name in names + spares:
            self.ports[name] = get_free_port()
            self.ports[f"{name}.operators"] = get_free_port()
            self.relays[name] = Relay(self.ports[name])
        self._replicas = ", ".join(f"{n}=127.0.0.1:{self.relays[n].port}" for n in names)
        spare_addresses = ", ".join(f"{n}=127.0.0.1:{self.relays[n].port}" for n in spares)
        for name in names + spares:
            self._write_control(name, extra=f"spares = {spare_addresses}\n{extra}")

    def _write_control(self, name: str, *, extra: str) -> None:
        text = self._common(name) + (
            f"[control]\nlisten = 127.0.0.1:{self.ports[name]}\n"
            f"replicas = {self._replicas}\n{extra}"
        )
        self._add(name, "control", text)

    def add_entry(self, name: str, *, seeds: list[str] | None = None, extra: str = "") -> None:
        """Write the settings of an entry instance that its peers reach through a relay."""
        for part in ("callers", "announcements", "peers", "operators"):
            self.ports[f"{name}.{part}"] = get_free_port()
        self.relays[name] = Relay(self.ports[f"{name}.peers"])
        addresses = ", ".join(f"127.0.0.1:{self.relays[seed].port}" for seed in seeds or [])
        text = self._common(name) + (
            f"announcement_file = {self.folder}/announce.token\n"
            f"[callers]\nlisten = 127.0.0.1:{self.ports[name + '.callers']}\n"
            f"notice_ms = 300\nidle_ms = 200\n{extra}"
            f"[announcements]\nlisten = 127.0.0.1:{self.ports[name + '.announcements']}\n"
            f"[peers]\nlisten = 127.0.0.1:{self.ports[name + '.peers']}\n"
            f"advertise = 127.0.0.1:{self.relays[name].port}\nseeds = {addresses}\n"
            f"[control]\nreplicas = {self._replicas}\n"
        )
        self._add(name, "entry", text)

    def start(self, *names: str) -> None:
        for name in names or tuple(self.by_name):
            self.by_name[name].start()

    def call_operators(
        self, name: str, path: str, *, method: str = "GET", body: bytes = b"", timeout_s: float = 8
    ) -> tuple[int, Any]:
        """Call the port for operators of a process.

        Return the status and the decoded JSON body; the status is 0 if there is no valid reply.
        """
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}", "Operator": "tester"}
        return _call(self.ports[f"{name}.operators"], path, method, body, headers, timeout_s)

    def announce(self, name: str, announcement: dict[str, Any]) -> tuple[int, Any]:
        headers = {"Authorization": f"Bearer {ANNOUNCE_TOKEN}"}
        body = json.dumps(announcement).encode()
        port = self.ports[f"{name}.announcements"]
        return _call(port, "/announcements", "POST", body, headers, 3)

    def get_version(self, name: str) -> int:
        status, body = self.call_operators(name, "/status")
        return int(body["version"]) if status == 200 else 0

    def is_ready(self, name: str) -> bool:
        return self.call_operators(name, "/ready", timeout_s=1)[0] == 200

    def submit(self, name: str, manifest: bytes) -> tuple[int, Any]:
        return self.call_operators(name, "/manifest", method="POST", body=manifest)

    def _add(self, name: str, role: str, text: str) -> None:
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        self.by_name[name] = Process(name, role, path, self.folder / f"{name}.log")

    def _common(self, name: str) -> str:
        return (
            f"[instance]\nid = {name}\nzone = z1\ndata = {self.folder}/data-{name}\n"
            f"[operators]\nlisten = 127.0.0.1:{self.ports[name + '.operators']}\n"
            f"[tokens]\noperator_file = {self.folder}/operator.token\n"
        )


class Announcer:
    """Renew the lease of an upstream at each of the given entry instances in turn."""

    def __init__(self, system: System, entries: list[str], address: str, name: str = "u1") -> None:
        self._system = system
        self._entries = entries
        self.incarnation = time.time_ns() // 1_000_000
        self._address = address
        self._name = name
        self._sequence = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        if self._thread.ident is not None:
            self._thread.join()

    def announce(self, entry: str, state: str = "serving") -> int:
        self._sequence += 1
        status, _ = self._system.announce(
            entry,
            {
                "id": self._name,
                "incarnation": self.incarnation,
                "sequence": self._sequence,
                "address": self._address,
                "zone": "z1",
                "services": ["work"],
                "slots": 3,
                "state": state,
                "sent_at_ms": time.time_ns() // 1_000_000,
            },
        )
        return status

    def _run(self) -> None:
        round_number = 0
        while not self._stopped.wait(0.3):
            self.announce(self._entries[round_number % len(self._entries)])
            round_number += 1


def _call(
    port: int, path: str, method: str, body: bytes, headers: dict[str, str], timeout_s: float
) -> tuple[int, Any]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        raw = response.read()
        return response.status, json.loads(raw) if raw else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


def call_entry(system: System, name: str, path: str, *, method: str = "GET") -> tuple[int, str]:
    """Call a service through an entry instance.

    Return the status and the outcome; they are 0 and ``cut`` if there is no response.
    """
    port = system.ports[f"{name}.callers"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        response.read()
        return response.status, response.headers["Coltsfootrill-Outcome"] or ""
    except (OSError, http.client.HTTPException):
        return 0, "cut"
    finally:
        connection.close()


def freeze(process: Process) -> None:
    process.send(signal.SIGSTOP)


def resume(process: Process) -> None:
    process.send(signal.SIGCONT)


def stop_gracefully(process: Process) -> None:
    process.send(signal.SIGTERM)
