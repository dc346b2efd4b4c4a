"""One soak: a fleet, callers, an operator, and faults drawn from a seed."""

from __future__ import annotations

import shutil
import signal
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from testing.nodes import Node
from testing.nodes import find_free_ports
from testing.soak.callers import Caller
from testing.soak.callers import Operator
from testing.soak.ledger import APPLY_MS
from testing.soak.ledger import Ledger
from testing.soak.ledger import Reply
from testing.soak.proxy import FaultProxy
from testing.soak.upstreams import SoakUpstream

MS_PER_SECOND = 1_000.0
NETWORK = "127.0.3"
VOTERS = 3
UPSTREAMS_PER_SERVICE = 4
CALLERS = 8
START_WITHIN_S = 30.0
SERVED_AGAIN_WITHIN_S = 15.0


class Soak:
    """A fleet of nodes under faults. With ``is_planned_only`` nothing unplanned happens."""

    def __init__(
        self, folder: Path, seed: int, *, nodes: int = 5, is_planned_only: bool = False
    ) -> None:
        self._random = Random(seed)
        self._is_planned_only = is_planned_only
        self.ledger = Ledger()
        ports = find_free_ports(NETWORK)
        seeds = [f"{NETWORK}.{number}:{ports['interface']}" for number in range(1, VOTERS + 1)]
        self._nodes = [
            Node(number, folder, ports, seeds, network=NETWORK) for number in range(1, nodes + 1)
        ]
        self._proxies = {
            node.host: FaultProxy((node.host, ports["callers"])) for node in self._nodes
        }
        self._upstreams: list[SoakUpstream] = []
        self._upstream_count = 0
        self._operator = Operator(self._nodes, self.ledger, self._fork())
        self._callers = [Caller(self._proxies, self.ledger, self._fork()) for _ in range(CALLERS)]
        # At most one voter is lost at a time.
        self._voter_lock = threading.Lock()
        self._busy: set[str] = set()
        self._tasks: list[threading.Thread] = []

    def run(self, duration_s: float) -> list[str]:
        """Run for a time and return the broken promises."""
        try:
            self._start()
            end_s = time.monotonic() + duration_s
            while time.monotonic() < end_s:
                time.sleep(self._random.uniform(0.1, 0.9))
                self._cause_fault()
            self._settle()
        finally:
            self._close()
        self.ledger.judge(is_planned_only=self._is_planned_only)
        return self.ledger.violations

    def _start(self) -> None:
        for node in self._nodes:
            node.start(is_first_start=True)
        self._operator.submit_first(START_WITHIN_S)
        for service in ("desk", "stock"):
            for _ in range(UPSTREAMS_PER_SERVICE):
                self._add_upstream(service)
        self._wait_served()
        self._operator.start()
        for caller in self._callers:
            caller.start()

    def _settle(self) -> None:
        """End all faults, and check that everything acknowledged is there and served."""
        for task in self._tasks:
            task.join()
        for proxy in [*self._proxies.values(), *(one.proxy for one in self._upstreams)]:
            proxy.mode = "pass"
        for upstream in self._upstreams:
            upstream.habit = "good"
        self._operator.stop()
        try:
            self._wait_served()
        except TimeoutError as error:
            self.ledger.violate(str(error))
        for caller in self._callers:
            caller.stop()
        self._check_read_back()

    def _check_read_back(self) -> None:
        """Read the manifest at every node: the newest acknowledged one, byte for byte, or newer."""
        version, raw = self.ledger.get_newest()
        time.sleep(APPLY_MS / MS_PER_SECOND)
        end_s = time.monotonic() + SERVED_AGAIN_WITHIN_S
        for node in self._nodes:
            status, told = self._operator.read(node)
            while status != 200 and time.monotonic() < end_s:
                time.sleep(0.2)
                status, told = self._operator.read(node)
            if status != 200:
                self.ledger.violate(f"the manifest cannot be read back at {node.host}")
            elif f'"version": "{version:08x}"'.encode() in told and told != raw:
                self.ledger.violate(f"{node.host} tells other bytes as version {version}")

    def _wait_served(self) -> None:
        end_s = time.monotonic() + SERVED_AGAIN_WITHIN_S
        for node in self._nodes:
            while self._probe(node) != 200:
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{node.host} does not serve again")
                time.sleep(0.1)

    def _probe(self, node: Node) -> int:
        request_id = f"p{self._random.getrandbits(48):x}"
        self.ledger.note_request(request_id, is_idempotent=True, node=node.host)
        headers = {"Host": "a.example", "X_Attempt_Id": request_id}
        status, body = node.call("callers", "GET", f"/y/{request_id}", **headers)
        self.ledger.note_reply(request_id, Reply(status, body))
        return status

    def _close(self) -> None:
        for upstream in self._upstreams:
            upstream.end()
        for node in self._nodes:
            if node.is_alive():
                node.send_signal(signal.SIGCONT)
                node.end()
        for proxy in self._proxies.values():
            proxy.close()

    def _add_upstream(self, service: str) -> None:
        self._upstream_count += 1
        name = f"i-{service}-{self._upstream_count}"
        self._upstreams.append(SoakUpstream(name, service, self._nodes, self.ledger, self._fork()))

    def _cause_fault(self) -> None:
        planned: list[Callable[[], None]] = [self._stop_node, self._replace_upstream]
        unplanned: list[Callable[[], None]] = [
            self._kill_node,
            self._freeze_node,
            self._wipe_voter,
            self._break_caller_link,
            self._break_upstream_link,
            self._spoil_upstream,
        ]
        fault = self._random.choice(planned if self._is_planned_only else planned + unplanned)
        fault()

    def _stop_node(self) -> None:
        node = self._random.choice(self._nodes)
        self._on_node(node, "SIGTERM", lambda: node.end(signal.SIGTERM))

    def _kill_node(self) -> None:
        node = self._random.choice(self._nodes)
        self._on_node(node, "SIGKILL", lambda: node.end(signal.SIGKILL))

    def _wipe_voter(self) -> None:
        node = self._random.choice(self._nodes[:VOTERS])

        def wipe() -> None:
            node.end(signal.SIGKILL)
            shutil.rmtree(node.data, ignore_errors=True)

        self._on_node(node, "lost disk", wipe, settle_s=4.0)

    def _freeze_node(self) -> None:
        node = self._random.choice(self._nodes)
        pause_s = self._random.uniform(0.3, 4.0)

        def freeze() -> None:
            frozen = self.ledger.note_frozen(node.host)
            node.send_signal(signal.SIGSTOP)
            time.sleep(pause_s)
            node.send_signal(signal.SIGCONT)
            frozen.end()

        self._on_node(node, f"frozen {pause_s:.1f} s", freeze, starts=False)

    def _on_node(
        self,
        node: Node,
        what: str,
        act: Callable[[], object],
        *,
        starts: bool = True,
        settle_s: float = 1.5,
    ) -> None:
        """Do something to a node in a task of its own, unless something happens to it already."""
        is_voter = node in self._nodes[:VOTERS]
        if node.host in self._busy or (is_voter and not self._voter_lock.acquire(blocking=False)):
            return
        self._busy.add(node.host)
        self.ledger.note_fault(f"{node.host} {what}")
        pause_s = self._random.uniform(0.0, 1.5)

        def do() -> None:
            try:
                act()
                if starts:
                    time.sleep(pause_s)
                    node.start(is_first_start=False)
                time.sleep(settle_s)
            finally:
                self._busy.discard(node.host)
                if is_voter:
                    self._voter_lock.release()

        self._spawn(do)

    def _replace_upstream(self) -> None:
        upstream = self._random.choice(self._upstreams)
        service = upstream.name.split("-")[1]
        self._upstreams.remove(upstream)
        self._add_upstream(service)
        self.ledger.note_fault(f"{upstream.name} leaves")
        self._spawn(upstream.leave)

    def _break_caller_link(self) -> None:
        host = self._random.choice(list(self._proxies))
        self._break(self._proxies[host], f"callers of {host}")

    def _break_upstream_link(self) -> None:
        upstream = self._random.choice(self._upstreams)
        self._break(upstream.proxy, upstream.name)

    def _break(self, proxy: FaultProxy, where: str) -> None:
        mode = self._random.choice(["delay", "silent", "one-way", "reset"])
        pause_s = self._random.uniform(0.3, 3.0)
        self.ledger.note_fault(f"{where}: {mode} {pause_s:.1f} s")

        def do() -> None:
            if mode == "reset":
                proxy.reset_all()
                return
            proxy.mode = mode  # type: ignore[assignment]
            time.sleep(pause_s)
            proxy.mode = "pass"
            proxy.reset_all()

        self._spawn(do)

    def _spoil_upstream(self) -> None:
        upstream = self._random.choice(self._upstreams)
        habit = self._random.choice(["full", "lose", "hang", "fail", "late-extra"])
        pause_s = self._random.uniform(0.3, 3.0)
        self.ledger.note_fault(f"{upstream.name}: {habit} {pause_s:.1f} s")

        def do() -> None:
            upstream.habit = habit  # type: ignore[assignment]
            time.sleep(pause_s)
            upstream.habit = "good"

        self._spawn(do)

    def _spawn(self, run: Callable[[], None]) -> None:
        task = threading.Thread(target=run, daemon=True)
        self._tasks.append(task)
        task.start()

    def _fork(self) -> Random:
        return Random(self._random.getrandbits(64))
