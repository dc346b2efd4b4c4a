"""Evacuations of zones, and the check that nothing reaches their upstreams meanwhile."""

from __future__ import annotations

import threading
import time
from random import Random

from testing.nodes import Node
from testing.soak.callers import OPERATOR_TIMEOUT_S
from testing.soak.callers import Worker
from testing.soak.history import MANIFEST_APPLY_MAX_MS
from testing.soak.history import History
from testing.soak.history import Run
from testing.soak.history import now_ms
from testing.soak.judge import ManifestJudge

ZONES = ("z1", "z2")
EVACUATED_MAX_S = 6.0
RETRY_PAUSE_S = 0.2
RESTORE_TRIES_MAX_COUNT = 40


def find_zone(upstream_id: str) -> str:
    """Return the zone of an upstream, by the number at the end of its identifier."""
    return ZONES[int(upstream_id.rpartition("-")[2]) % len(ZONES)]


class ZoneJudge:
    """Thread-safe check of the requests that reach upstreams, from nodes in touch.

    Orders have as long as manifests until they are in force; the platform allows more.
    """

    def __init__(self, history: History, manifests: ManifestJudge) -> None:
        self._history = history
        self._manifests = manifests
        self._lock = threading.Lock()
        self._evacuated_ms_by_zone: dict[str, float] = {}
        self.acknowledged_count = 0
        self.late_count = 0

    def record_evacuated(self, zone: str) -> None:
        """Record that an evacuation was acknowledged."""
        with self._lock:
            self._evacuated_ms_by_zone[zone] = now_ms()
            self.acknowledged_count += 1

    def record_restoring(self, zone: str) -> None:
        """Record that a zone is about to be restored."""
        with self._lock:
            self._evacuated_ms_by_zone.pop(zone, None)

    def check(self, run: Run, node: str) -> None:
        """Check a request that a node has sent to an upstream."""
        with self._lock:
            evacuated_ms = self._evacuated_ms_by_zone.get(find_zone(run.upstream_id))
        if evacuated_ms is None or run.arrived_ms <= evacuated_ms + MANIFEST_APPLY_MAX_MS:
            return
        if self._manifests.is_in_touch(node, run.arrived_ms):
            self.late_count += 1
            late_ms = run.arrived_ms - evacuated_ms
            self._history.add_violation(
                f"{run.upstream_id} got {run.request_id} from {node} {late_ms:.0f} ms after the"
                " evacuation of its zone"
            )


class ZoneOperator(Worker):
    """Evacuates a zone for a while and restores it; sends an order until it is acknowledged."""

    pause_min_s = 0.2
    pause_max_s = 2.0

    def __init__(self, nodes: list[Node], judge: ZoneJudge, random: Random) -> None:
        super().__init__(random)
        self._nodes = nodes
        self._judge = judge

    def _act(self) -> None:
        zone = self._random.choice(ZONES)
        if self._order("Start", zone):
            self._judge.record_evacuated(zone)
            self._stopped.wait(self._random.uniform(0.0, EVACUATED_MAX_S))
        self._judge.record_restoring(zone)
        # Also at the end of the soak, when all zones must be restored.
        for _ in range(RESTORE_TRIES_MAX_COUNT):
            if self._order("Finish", zone):
                return
            time.sleep(RETRY_PAUSE_S)

    def _order(self, verb: str, zone: str) -> bool:
        """Send an order to one node after another until one acknowledges it, or the soak ends."""
        while True:
            path = f"/Evacuation.{verb}/{zone}"
            node = self._random.choice(self._nodes)
            if node.call("interface", "POST", path, timeout_s=OPERATOR_TIMEOUT_S)[0] == 200:
                return True
            if self._stopped.wait(RETRY_PAUSE_S):
                return False
