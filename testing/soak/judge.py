"""Checks callers' requests against the manifests in force, at nodes that are in touch.

Change number ``k`` adds the route ``/nk/``, which the next ``ROUTES_KEPT_COUNT - 1`` changes keep.
A node is in touch while it, its links to voters, and the voters are undisturbed, and have been for
as long as a node may be outdated after a freeze.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

from testing.soak.history import MANIFEST_APPLY_MAX_MS
from testing.soak.history import Freeze
from testing.soak.history import History
from testing.soak.history import now_ms

# A node that has answered by a manifest may answer by an older one for this long.
REGRESS_MAX_MS = 250.0
ROUTES_KEPT_COUNT = 8
NO_ROUTE = 404


def list_routes(change: int) -> range:
    """Return the numbers of the routes in the manifest of a change."""
    return range(max(1, change - ROUTES_KEPT_COUNT + 1), change + 1)


class Disturbance:
    """A period in which nodes or links were disturbed; call ``end`` when it is over.

    Each of ``excuses`` ends with it.
    """

    __slots__ = ("_excuses", "_period", "hosts")

    def __init__(self, hosts: set[str], excuses: list[Freeze]) -> None:
        self.hosts = hosts
        self._period = Freeze()
        self._excuses = excuses

    def end(self) -> None:
        for period in (self._period, *self._excuses):
            period.end()

    def is_calm(self, at_ms: float) -> bool:
        """Return whether the nodes count as undisturbed at a time."""
        return not self._period.overlaps(at_ms, at_ms)


class Probe:
    """A request for the route of change ``change``, and what the process ``pid`` answered."""

    __slots__ = ("change", "host", "pid", "sent_ms", "status")

    def __init__(self, host: str, pid: int, change: int, *, sent_ms: float, status: int) -> None:
        self.host = host
        self.pid = pid
        self.change = change
        self.sent_ms = sent_ms
        self.status = status

    def __str__(self) -> str:
        return f"{self.host} answered {self.status} for the route of change {self.change}"


class ManifestJudge:
    """Thread-safe record of the acknowledged changes, and of disturbances; reports violations.

    ``judged_count`` counts the probes whose answer could have been a violation, ``late_count``
    those that were answered by an older manifest than the one in force.
    """

    def __init__(self, history: History, voters: Iterable[str]) -> None:
        self._history = history
        self._voters = set(voters)
        self._lock = threading.Lock()
        self._acknowledged_ms_by_change: dict[int, float] = {}
        self._disturbances: list[Disturbance] = []
        # The newest change that a process has served, and when its answer came.
        self._served_by_process: dict[tuple[str, int], tuple[int, float]] = {}
        self.judged_count = 0
        self.late_count = 0

    @property
    def acknowledged_count(self) -> int:
        """Return how many changes were acknowledged; also the number of the newest one."""
        return len(self._acknowledged_ms_by_change)

    def record_acknowledged(self, change: int) -> None:
        with self._lock:
            self._acknowledged_ms_by_change[change] = now_ms()

    def disturb(self, hosts: Iterable[str], *, cut_off: Iterable[str] = ()) -> Disturbance:
        """Record that nodes are disturbed from now on; a disturbed voter disturbs all nodes.

        Those that are ``cut_off`` from a majority may hear late that an upstream leaves.
        """
        excuses = [self._history.record_freeze(host) for host in cut_off]
        disturbance = Disturbance(set(hosts), excuses)
        with self._lock:
            self._disturbances.append(disturbance)
        return disturbance

    def find_due(self, at_ms: float) -> int:
        """Return the newest change that must be in force everywhere at a time; 0 if none."""
        with self._lock:
            return max(
                (
                    change
                    for change, acknowledged_ms in self._acknowledged_ms_by_change.items()
                    if at_ms > acknowledged_ms + MANIFEST_APPLY_MAX_MS
                ),
                default=0,
            )

    def is_in_touch(self, host: str, at_ms: float) -> bool:
        """Return whether a node must have what was acknowledged long enough ago."""
        return all(self.is_calm(each, at_ms) for each in (host, *self._voters))

    def is_calm(self, host: str, at_ms: float) -> bool:
        """Return whether a node and its own links were undisturbed, whatever other nodes did."""
        with self._lock:
            return all(
                disturbance.is_calm(at_ms)
                for disturbance in self._disturbances
                if host in disturbance.hosts
            )

    def check(self, probe: Probe) -> None:
        """Check the answer to a probe."""
        self._check_regress(probe)
        due = self.find_due(probe.sent_ms)
        is_due = self._is_kept(probe.change) and probe.change <= due
        is_dropped = probe.change < list_routes(due).start
        if not (is_due or is_dropped) or not self.is_in_touch(probe.host, probe.sent_ms):
            return
        self.judged_count += 1
        is_late = probe.status == NO_ROUTE if is_due else probe.status == 200
        if is_late:
            self.late_count += 1
            late_ms = probe.sent_ms - self._acknowledged_ms_by_change[due]
            self._history.add_violation(f"{probe}, {late_ms:.0f} ms after {due} was acknowledged")

    def _is_kept(self, change: int) -> bool:
        """Return whether the route of a change is in all later manifests, the next one included."""
        return change in list_routes(self.acknowledged_count + 1)

    def _check_regress(self, probe: Probe) -> None:
        """Check that no process answers by an older manifest than it has before."""
        process = (probe.host, probe.pid)
        with self._lock:
            served, since_ms = self._served_by_process.get(process, (0, 0.0))
            if probe.status == 200 and probe.change > served:
                self._served_by_process[process] = (probe.change, now_ms())
        if (
            probe.status == NO_ROUTE
            and self._is_kept(probe.change)
            and probe.change <= served
            and probe.sent_ms > since_ms + REGRESS_MAX_MS
        ):
            self._history.add_violation(f"{probe} after it had served change {served}")
