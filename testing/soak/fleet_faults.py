"""Faults of several nodes at once: voters without a majority, and links between nodes that fail."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from random import Random

from testing.nodes import Node
from testing.soak.history import History
from testing.soak.judge import Disturbance
from testing.soak.judge import ManifestJudge
from testing.soak.links import LINK_FAULTS
from testing.soak.links import LinkFault
from testing.soak.links import NodeLinks

VOTERS_COUNT = 3
# So long no further fault disturbs the voters: nodes are in touch again meanwhile.
VOTERS_CALM_MIN_S = 1.5
VOTERS_CALM_MAX_S = 6.0


def choose_calm_s(random: Random) -> float:
    """Return for how many seconds the voters are left alone after a fault."""
    return random.uniform(VOTERS_CALM_MIN_S, VOTERS_CALM_MAX_S)


def suspend(nodes: list[Node], pause_s: float, history: History) -> None:
    """Suspend node processes for ``pause_s``."""
    freezes = [history.record_freeze(node.host) for node in nodes]
    for node in nodes:
        node.send_signal(signal.SIGSTOP)
    time.sleep(pause_s)
    for node in nodes:
        node.send_signal(signal.SIGCONT)
    for freeze in freezes:
        freeze.end()


class FleetFaults:
    """Injects faults into the first ``VOTERS_COUNT`` of ``nodes``, which vote, and into links.

    Faults of voters and their links do not overlap: who injects one holds ``voter_lock``.
    """

    def __init__(
        self,
        nodes: list[Node],
        *,
        links: NodeLinks,
        judge: ManifestJudge,
        history: History,
        random: Random,
        choose_seeds: Callable[[], list[str]],
        start_thread: Callable[[Callable[[], None]], None],
    ) -> None:
        self._nodes = nodes
        self._voters = [node.host for node in nodes[:VOTERS_COUNT]]
        self._links = links
        self._judge = judge
        self._history = history
        self._random = random
        self._choose_seeds = choose_seeds
        self._start_thread = start_thread
        self.voter_lock = threading.Lock()

    def lose_majority(self) -> None:
        """Suspend two voters or all, or kill and restart them."""
        count = self._random.randint(VOTERS_COUNT // 2 + 1, VOTERS_COUNT)
        voters = self._random.sample(self._nodes[:VOTERS_COUNT], count)
        pause_s = self._random.uniform(0.2, 3.0)
        is_killed = self._random.random() < 0.5
        seeds = [self._choose_seeds() for _ in voters]

        def lose() -> None:
            if not is_killed:
                suspend(voters, pause_s, self._history)
                return
            for voter in voters:
                voter.end(signal.SIGKILL)
            time.sleep(pause_s)
            for voter, voter_seeds in zip(voters, seeds, strict=True):
                voter.start(is_first_start=False, seeds=voter_seeds)

        kind = "killed" if is_killed else "frozen"
        description = f"{count} voters {kind} {pause_s:.1f} s"
        hosts = [voter.host for voter in voters]
        self._inject_voter_fault(description, hosts, lambda disturbance: lose())

    def stop_voter_after_acknowledgement(self) -> None:
        """Suspend a voter as a change is acknowledged that another one, suspended, has missed."""
        missing, stopped = self._random.sample(self._nodes[:VOTERS_COUNT], 2)
        pause_s = self._random.uniform(0.3, 3.0)
        stopped_s = self._random.uniform(4.0, 6.0)

        def stop(disturbance: Disturbance) -> None:
            missing.send_signal(signal.SIGSTOP)
            time.sleep(pause_s)
            count = self._judge.acknowledged_count
            end_s = time.monotonic() + pause_s
            while self._judge.acknowledged_count == count and time.monotonic() < end_s:
                time.sleep(0.001)
            stopped.send_signal(signal.SIGSTOP)
            missing.send_signal(signal.SIGCONT)
            # The other two voters run, so nodes must hear of the change while one is suspended.
            disturbance.end()
            time.sleep(stopped_s)
            stopped.send_signal(signal.SIGCONT)

        self._inject_voter_fault(
            f"{stopped.host} frozen after a change that {missing.host} missed",
            [missing.host, stopped.host],
            stop,
        )

    def disturb_node_links(self) -> None:
        """Disturb the links of one node without a vote, or some of them."""
        node = self._random.choice(self._nodes[VOTERS_COUNT:])
        others = [other.host for other in self._nodes if other is not node]
        some = self._random.sample(others, self._random.randint(1, len(others)))
        pairs = self._links.list_between([node.host], some)
        fault, pause_s = self._choose_link_fault()
        self._history.record_fault(
            f"links of {node.host} to {len(some)} nodes: {fault} {pause_s:.1f} s"
        )
        disturbance = self._judge.disturb([node.host], cut_off=[node.host])

        def run() -> None:
            self._links.disturb(pairs, fault, pause_s)
            disturbance.end()

        self._start_thread(run)

    def disturb_voter_links(self) -> None:
        """Disturb the links of one voter, those between two voters, or those between all nodes."""
        hosts = [node.host for node in self._nodes]
        first, second = self._random.sample(self._voters, 2)
        description, some, others = self._random.choice(
            [
                (first, [first], hosts),
                (f"{first} and {second}", [first], [second]),
                ("voters", self._voters, self._voters),
                ("all nodes", hosts, hosts),
            ]
        )
        pairs = self._links.list_between(some, others)
        fault, pause_s = self._choose_link_fault()
        self._inject_voter_fault(
            f"links of {description}: {fault} {pause_s:.1f} s",
            self._voters,
            lambda disturbance: self._links.disturb(pairs, fault, pause_s),
        )

    def _choose_link_fault(self) -> tuple[LinkFault, float]:
        """Return a fault of links, and for how many seconds."""
        return self._random.choice(LINK_FAULTS), self._random.uniform(0.3, 5.0)

    def _inject_voter_fault(
        self, description: str, hosts: list[str], inject: Callable[[Disturbance], None]
    ) -> None:
        """Inject a fault that disturbs voters, in a separate thread, unless one is in progress.

        ``inject`` may end the disturbance itself. No other one follows for some seconds.
        """
        if not self.voter_lock.acquire(blocking=False):
            return
        calm_s = choose_calm_s(self._random)
        self._history.record_fault(description)
        disturbance = self._judge.disturb(hosts, cut_off=[node.host for node in self._nodes])

        def run() -> None:
            try:
                inject(disturbance)
                disturbance.end()
                time.sleep(calm_s)
            finally:
                self.voter_lock.release()

        self._start_thread(run)
