"""One soak: a fleet, callers, an operator, and random faults determined by a seed."""

from __future__ import annotations

import itertools
import shutil
import signal
import subprocess
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import get_args

from testing.nodes import Node
from testing.nodes import find_free_ports
from testing.soak.callers import Caller
from testing.soak.callers import KeptCaller
from testing.soak.callers import LeavingCaller
from testing.soak.callers import Operator
from testing.soak.callers import Prober
from testing.soak.callers import send_safe
from testing.soak.cold import ColdJudge
from testing.soak.evacuations import ZoneJudge
from testing.soak.evacuations import ZoneOperator
from testing.soak.fleet_faults import VOTERS_COUNT
from testing.soak.fleet_faults import FleetFaults
from testing.soak.fleet_faults import choose_calm_s
from testing.soak.fleet_faults import suspend
from testing.soak.history import MANIFEST_APPLY_MAX_MS
from testing.soak.history import History
from testing.soak.judge import ManifestJudge
from testing.soak.kept import KeptJudge
from testing.soak.linked_node import BEGIN_FILE
from testing.soak.links import NodeLinks
from testing.soak.proxy import FaultProxy
from testing.soak.upstreams import DEPARTURES
from testing.soak.upstreams import Behaviour
from testing.soak.upstreams import SoakUpstream

MS_PER_SECOND = 1_000.0
NETWORK = "127.0.3"
# Fewer where requests aren't idempotent: more of them are tried again at the same address.
UPSTREAMS_COUNT_BY_SERVICE = {"desk": 2, "stock": 4}
# As deployed: requests that aren't idempotent reuse connections too.
NODE_SETTINGS = "[upstreams]\nonce_idle_ms = 4000\n"
FAULTY_BEHAVIOURS: list[Behaviour] = [name for name in get_args(Behaviour) if name != "good"]
# Of restarted upstreams: a faulty version is often seen right after its start.
RESTARTED_BEHAVIOURS: tuple[Behaviour, ...] = ("good", "late-copy", "late-copy", "late-copy")
# Orders go to ``desk``.
RESTARTED_SERVICES = ("desk", "desk", "desk", "stock")
ALL_FAULTS_SHARE = 0.5
SAME_ID_SHARE = 0.25
CRASH_SHARE = 0.3
COLD_SERVICE_SHARE = 0.3
RESTARTS_MAX_COUNT = 5
LINKED_NODE = Path(__file__).with_name("linked_node.py")
JOINS_MAX_COUNT = 2
SEEDS_COUNT = 3
CALLERS_COUNT = 8
LEAVING_CALLERS_COUNT = 2
KEPT_CALLERS_COUNT = 12
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 15.0
# More than ``notice_ms``, ``stop_ms`` and the stop of the rest of the process together.
END_TIMEOUT_S = 10.0


class Soak:
    """A fleet of nodes into which faults are injected.

    With ``is_planned_only`` it only stops nodes gracefully and replaces upstreams. Otherwise
    upstreams restart at their addresses too, some other kinds of faults are chosen, and callers
    leave before their requests are answered. ``fault`` names one that all nodes have on purpose,
    see ``linked_node``; then nothing else fails.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        *,
        nodes: int = 5,
        is_planned_only: bool = False,
        fault: str = "",
    ) -> None:
        self._random = Random(seed)
        self._is_planned_only = is_planned_only
        self._fault = fault
        self._folder = folder
        self.history = History()
        self._ports = find_free_ports(NETWORK)
        hosts = [f"{NETWORK}.{number}" for number in range(1, nodes + JOINS_MAX_COUNT + 1)]
        self._links = NodeLinks(hosts, self._ports["fleet"])
        self._voters = hosts[:VOTERS_COUNT]
        self.judge = ManifestJudge(self.history, self._voters)
        self.zones = ZoneJudge(self.history, self.judge)
        self.history.on_run = self.zones.check
        self.cold_judge = ColdJudge(self.history, self.judge)
        self.kept_judge = KeptJudge(self.history)
        self._nodes = [self._make_node(number) for number in range(1, nodes + 1)]
        self._nodes_max_count = len(hosts)
        self._proxies = {node.host: self._make_proxy(node) for node in self._nodes}
        self._probers = [self._make_prober(node) for node in self._nodes]
        self._upstreams: list[SoakUpstream] = []
        self._called_off: list[SoakUpstream] = []
        self._upstream_numbers = itertools.count(1)
        self._operator = Operator(self._nodes, self.history, self.judge, self._derive_random())
        self._zone_operator = ZoneOperator(self._nodes, self.zones, self._derive_random())
        self._callers = [
            Caller(self._proxies, self.history, self._derive_random()) for _ in range(CALLERS_COUNT)
        ]
        self._callers += [
            KeptCaller(self._nodes, self._operator, self.kept_judge, self._derive_random())
            for _ in range(KEPT_CALLERS_COUNT)
        ]
        if not is_planned_only:
            self._callers += [
                LeavingCaller(self._proxies, self.history, self._derive_random())
                for _ in range(LEAVING_CALLERS_COUNT)
            ]
        self._fleet_faults = FleetFaults(
            self._nodes,
            links=self._links,
            judge=self.judge,
            history=self.history,
            random=self._derive_random(),
            choose_seeds=self._choose_seeds,
            start_thread=self._start_thread,
        )
        self._faulted_hosts: set[str] = set()
        self._threads: list[threading.Thread] = []

    @property
    def late_count(self) -> int:
        """Return how often a node was found to act on what is outdated, or to lose a request.

        That is a manifest, an order, or an upstream that has left.
        """
        outdated_count = self.judge.late_count + self.zones.late_count + self.history.late_count
        return outdated_count + self.kept_judge.lost_count

    def run(self, duration_s: float, *, ends_once_late: bool = False) -> list[str]:
        """Run for ``duration_s`` and return the violated guarantees.

        With ``ends_once_late`` it ends as soon as ``late_count`` is above 0.
        """
        try:
            self._start()
            faults = self._choose_faults()
            end_s = time.monotonic() + duration_s
            while time.monotonic() < end_s and not (ends_once_late and self.late_count):
                time.sleep(self._random.uniform(0.1, 0.9))
                self._random.choice(faults)()
            self._end_faults_and_check()
        except TimeoutError as error:
            self.history.add_violation(str(error))
        finally:
            self._close()
        self.history.check_final(is_planned_only=self._is_planned_only)
        self.cold_judge.check_final()
        return self.history.violations

    def _make_node(self, number: int) -> Node:
        """Return a node whose seeds, unless it is started with others, are the first voters."""
        host = f"{NETWORK}.{number}"
        links = self._folder / f"links-{number}.json"
        self._links.write(host, links)
        seeds = [f"{voter}:{self._ports['interface']}" for voter in self._voters]
        program = ("-P", str(LINKED_NODE), str(links), self._fault)
        options = {"network": NETWORK, "settings": NODE_SETTINGS}
        return Node(number, self._folder, self._ports, seeds, program=program, **options)

    def _make_proxy(self, node: Node) -> FaultProxy:
        return FaultProxy((node.host, self._ports["callers"]))

    def _make_prober(self, node: Node) -> Prober:
        return Prober(node, self.judge, self.history, self._derive_random())

    def _choose_seeds(self) -> list[str]:
        """Return seeds as a list of all nodes may name them: most do not vote."""
        nodes = self._random.sample(self._nodes, SEEDS_COUNT)
        return [f"{node.host}:{self._ports['interface']}" for node in nodes]

    def _start(self) -> None:
        for node in self._nodes:
            node.start(is_first_start=True)
        self._operator.submit_first(START_TIMEOUT_S)
        for service, count in UPSTREAMS_COUNT_BY_SERVICE.items():
            self._upstreams += [self._make_upstream(service) for _ in range(count)]
        self._wait_until_serving()
        (self._folder / BEGIN_FILE).touch()
        for worker in [self._operator, self._zone_operator, *self._callers, *self._probers]:
            worker.start()

    def _end_faults_and_check(self) -> None:
        """End all faults, then check that all nodes serve requests and return the manifest."""
        for thread in self._threads:
            thread.join()
        for proxy in [*self._proxies.values(), *(upstream.proxy for upstream in self._upstreams)]:
            proxy.mode = "pass"
        for upstream in self._upstreams:
            upstream.behaviour = "good"
        for worker in [self._operator, self._zone_operator, *self._probers]:
            worker.stop()
        self._wait_until_serving()
        for caller in self._callers:
            caller.stop()
        self._check_manifest_at_all_nodes()
        self._check_all_nodes_end()

    def _check_manifest_at_all_nodes(self) -> None:
        """Check that every node returns the newest acknowledged manifest or a newer one.

        A manifest of the acknowledged version must be the same byte for byte.
        """
        version, raw = self.history.get_newest_acknowledged()
        time.sleep(MANIFEST_APPLY_MAX_MS / MS_PER_SECOND)
        end_s = time.monotonic() + RECOVERY_TIMEOUT_S
        for node in self._nodes:
            status, body = self._operator.read(node)
            while status != 200 and time.monotonic() < end_s:
                time.sleep(0.2)
                status, body = self._operator.read(node)
            if status != 200:
                self.history.add_violation(
                    f"{node.host} does not return the manifest: status {status}"
                )
            elif f'"version": "{version:08x}"'.encode() in body and body != raw:
                self.history.add_violation(f"{node.host} returns other bytes as version {version}")

    def _check_all_nodes_end(self) -> None:
        """Check that nodes end on SIGTERM, and that no request of a caller stays in progress."""
        for node in self._nodes:
            node.send_signal(signal.SIGTERM)
        for node in self._nodes:
            self._wait_until_ended(node)
            for event in node.list_events("stopped")[-1:]:
                if event["cut"]:
                    self.history.add_violation(
                        f"{node.host} still had {event['cut']} requests after all callers"
                    )

    def _wait_until_ended(self, node: Node) -> None:
        """Wait until a node has ended after SIGTERM; kill it when that takes too long."""
        assert node.process is not None
        try:
            node.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.history.add_violation(f"{node.host} does not end on SIGTERM")
            node.end()

    def _wait_until_serving(self) -> None:
        end_s = time.monotonic() + RECOVERY_TIMEOUT_S
        for node in self._nodes:
            while send_safe(node, "/y/", self.history) != 200:
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{node.host} does not serve requests again")
                time.sleep(0.1)

    def _close(self) -> None:
        for upstream in [*self._upstreams, *self._called_off]:
            upstream.close()
        for node in self._nodes:
            if node.is_alive():
                node.send_signal(signal.SIGCONT)
                node.end()
        for proxy in self._proxies.values():
            proxy.close()
        self._links.close()

    def _make_upstream(self, service: str, *, has_heartbeats: bool = True) -> SoakUpstream:
        name, random = self._make_upstream_id(service), self._derive_random()
        return SoakUpstream(
            name, service, self._nodes, self.history, random, has_heartbeats=has_heartbeats
        )

    def _make_upstream_id(self, service: str) -> str:
        return f"i-{service}-{next(self._upstream_numbers)}"

    def _choose_faults(self) -> list[Callable[[], None]]:
        """Return the kinds of faults of this run; one that occurs twice is twice as frequent.

        Half of the runs have all unplanned ones, the others some, because some hide the effects of
        others: after a lost answer, a node reuses no connection for orders for a while.
        """
        if self._fault:
            return [self._replace_upstream, self._call_off_start]
        planned: list[Callable[[], None]] = [
            self._stop_node,
            self._replace_upstream,
            self._call_off_start,
            self._cool_upstreams,
        ]
        if self._is_planned_only:
            return planned
        unplanned: list[Callable[[], None]] = [
            self._kill_node,
            self._freeze_node,
            self._lose_voter_disk,
            self._fleet_faults.lose_majority,
            self._fleet_faults.stop_voter_after_acknowledgement,
            self._fleet_faults.disturb_node_links,
            self._fleet_faults.disturb_voter_links,
            self._join_node,
            self._disturb_caller_link,
            self._disturb_upstream_link,
            self._change_upstream_behaviour,
        ]
        has_all = self._random.random() < ALL_FAULTS_SHARE
        count = len(unplanned) if has_all else self._random.randint(2, len(unplanned))
        chosen = self._random.sample(unplanned, count)
        return [*planned, *chosen, self._restart_service, self._restart_service]

    def _stop_node(self) -> None:
        node = self._random.choice(self._nodes)

        def stop() -> None:
            node.send_signal(signal.SIGTERM)
            self._wait_until_ended(node)

        self._inject_node_fault(node, "SIGTERM", stop)

    def _kill_node(self) -> None:
        node = self._random.choice(self._nodes)
        self._inject_node_fault(node, "SIGKILL", lambda: node.end(signal.SIGKILL))

    def _lose_voter_disk(self) -> None:
        node = self._random.choice(self._nodes[:VOTERS_COUNT])

        def delete_data() -> None:
            node.end(signal.SIGKILL)
            shutil.rmtree(node.data, ignore_errors=True)

        self._inject_node_fault(node, "lost disk", delete_data, settle_s=4.0)

    def _freeze_node(self) -> None:
        node = self._random.choice(self._nodes)
        pause_s = self._random.uniform(0.3, 4.0)
        self._inject_node_fault(
            node,
            f"frozen {pause_s:.1f} s",
            lambda: suspend([node], pause_s, self.history),
            restarts=False,
        )

    def _inject_node_fault(
        self,
        node: Node,
        description: str,
        inject: Callable[[], object],
        *,
        restarts: bool = True,
        settle_s: float = 1.5,
    ) -> None:
        """Inject a fault into a node in a separate thread; do nothing if one is in progress there.

        ``restarts`` states whether to start the node again. Until ``settle_s`` after that, further
        faults of the node, and of all voters if it is one, are skipped.
        """
        is_voter = node in self._nodes[:VOTERS_COUNT]
        if node.host in self._faulted_hosts or (
            is_voter and not self._fleet_faults.voter_lock.acquire(blocking=False)
        ):
            return
        self._faulted_hosts.add(node.host)
        self.history.record_fault(f"{node.host} {description}")
        pause_s = self._random.uniform(0.0, 1.5)
        seeds = self._choose_seeds()
        disturbance = self.judge.disturb([node.host])
        if is_voter:
            settle_s = max(settle_s, choose_calm_s(self._random))

        def run() -> None:
            try:
                inject()
                if restarts:
                    time.sleep(pause_s)
                    node.start(is_first_start=False, seeds=seeds)
                disturbance.end()
                time.sleep(settle_s)
            finally:
                self._faulted_hosts.discard(node.host)
                if is_voter:
                    self._fleet_faults.voter_lock.release()

        self._start_thread(run)

    def _join_node(self) -> None:
        """Start a further node without a vote, whose seeds are any nodes."""
        if len(self._nodes) == self._nodes_max_count:
            return
        node = self._make_node(len(self._nodes) + 1)
        seeds = self._choose_seeds()
        self.history.record_fault(f"{node.host} joins with the seeds {' '.join(seeds)}")
        disturbance = self.judge.disturb([node.host])
        node.start(is_first_start=False, seeds=seeds)
        disturbance.end()
        self._proxies[node.host] = self._make_proxy(node)
        self._nodes.append(node)
        prober = self._make_prober(node)
        self._probers.append(prober)
        prober.start()

    def _replace_upstream(self) -> None:
        upstream = self._upstreams.pop(self._random.randrange(len(self._upstreams)))
        self._upstreams.append(self._make_upstream(upstream.service))
        departure = self._random.choice(DEPARTURES)
        self.history.record_fault(f"{upstream.name} leaves: {departure}")
        self._start_thread(lambda: upstream.leave(departure))

    def _call_off_start(self) -> None:
        """Let an upstream leave before anybody has heard of it; its first heartbeat is late."""
        service = self._random.choice(list(UPSTREAMS_COUNT_BY_SERVICE))
        upstream = self._make_upstream(service, has_heartbeats=False)
        self._called_off.append(upstream)
        self.history.record_fault(f"{upstream.name} starts and leaves at once")
        self._start_thread(lambda: upstream.leave("call-off"))

    def _disturb_caller_link(self) -> None:
        host = self._random.choice(list(self._proxies))
        self._inject_link_fault(self._proxies[host], f"callers of {host}")

    def _disturb_upstream_link(self) -> None:
        upstream = self._random.choice(self._upstreams)
        self._inject_link_fault(upstream.proxy, upstream.name)

    def _inject_link_fault(self, proxy: FaultProxy, name: str) -> None:
        mode = self._random.choice(["delay", "silent", "one-way", "reset"])
        pause_s = self._random.uniform(0.3, 3.0)
        self.history.record_fault(f"{name}: {mode} {pause_s:.1f} s")

        def run() -> None:
            if mode != "reset":
                proxy.mode = mode  # type: ignore[assignment]
                time.sleep(pause_s)
                proxy.mode = "pass"
            proxy.reset_all()

        self._start_thread(run)

    def _change_upstream_behaviour(self) -> None:
        upstream = self._random.choice(self._upstreams)
        behaviour = self._random.choice(FAULTY_BEHAVIOURS)
        pause_s = self._random.uniform(0.3, 3.0)
        self.history.record_fault(f"{upstream.name}: {behaviour} {pause_s:.1f} s")

        def run() -> None:
            upstream.behaviour = behaviour
            time.sleep(pause_s)
            upstream.behaviour = "good"

        self._start_thread(run)

    def _cool_upstreams(self) -> None:
        """Let one upstream, or all of a service, become cold without a restart."""
        chosen = self._random.choice(self._upstreams)
        is_whole_service = self._random.random() < COLD_SERVICE_SHARE
        for upstream in self._upstreams:
            if upstream is chosen or (is_whole_service and upstream.service == chosen.service):
                self.history.record_fault(f"{upstream.name} becomes cold")
                upstream.become_cold(self.cold_judge)

    def _restart_service(self) -> None:
        """Let all upstreams of a service restart at their addresses, a few times."""
        service = self._random.choice(RESTARTED_SERVICES)
        running = [upstream for upstream in self._upstreams if upstream.service == service]
        behaviour = self._random.choice(RESTARTED_BEHAVIOURS)
        random = self._derive_random()

        def run() -> None:
            for _ in range(random.randint(1, RESTARTS_MAX_COUNT)):
                for upstream in running:
                    upstream.behaviour = behaviour
                    self._restart_upstream(upstream, random)
                time.sleep(random.uniform(0.4, 1.6))
            for upstream in running:
                upstream.behaviour = "good"

        self._start_thread(run)

    def _restart_upstream(self, upstream: SoakUpstream, random: Random) -> None:
        former = upstream.name
        has_same_id = random.random() < SAME_ID_SHARE
        name = former if has_same_id else self._make_upstream_id(upstream.service)
        is_crash = random.random() < CRASH_SHARE
        if upstream.restart(name, is_crash=is_crash):
            cause = "crashes" if is_crash else "restarts"
            self.history.record_fault(f"{former} {cause}, now {name}: {upstream.behaviour}")

    def _start_thread(self, task: Callable[[], None]) -> None:
        thread = threading.Thread(target=task, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _derive_random(self) -> Random:
        return Random(self._random.getrandbits(64))
