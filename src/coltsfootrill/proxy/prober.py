"""Probes ejected upstreams before their ejection ends, within the measuring budget.

Other upstreams need no probes: the answers to their requests show their state, and the results of
requests always take precedence over those of a health endpoint.
"""

from __future__ import annotations

import threading
from random import Random

from coltsfootrill.balancer.ejection import eject
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.probe_budget import ProbeBudget
from coltsfootrill.balancer.probe_budget import get_divisor
from coltsfootrill.balancer.probe_budget import get_rate_per_ms
from coltsfootrill.clock import Clock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import ProbeLimits
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.metrics import Metrics
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.answer import ConnectionLayerError
from coltsfootrill.proxy.app import ProxyApp
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.connection import encode_head
from coltsfootrill.proxy.statements import get_declined_ms

INTERVAL_MS = 200.0
PROBE_TIMEOUT_MS = 500.0


class Prober:
    """Probes the ejected upstreams that need it, in one thread."""

    def __init__(
        self,
        app: ProxyApp,
        manifests: ManifestHolder,
        fleet: Fleet,
        *,
        fleet_max_count: int,
        random: Random,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._app = app
        self._manifests = manifests
        self._fleet = fleet
        self._fleet_max_count = fleet_max_count
        self._budget = ProbeBudget(random)
        self._clock = clock
        self._metrics = metrics
        self._stopping = threading.Event()

    def run(self) -> None:
        """Probe until ``stop`` is called."""
        while not self._stopping.wait(INTERVAL_MS / 1000):
            table = self._manifests.current
            if table is not None:
                self._probe_ejected(table.manifest.measuring)

    def stop(self) -> None:
        """Stop probing after the current round."""
        self._stopping.set()

    def _probe_ejected(self, limits: ProbeLimits) -> None:
        rate_per_ms = self._get_rate_per_ms(limits)
        for controller, load, is_needed in self._list_ejected():
            if not is_needed:
                self._budget.drop(load.id)
                continue
            self._budget.earn(load.id, rate_per_ms=rate_per_ms, now_ms=self._clock.now_ms())
            if rate_per_ms > 0 and self._budget.spend(load.id):
                self._probe(controller, load, limits)

    def _get_rate_per_ms(self, limits: ProbeLimits) -> float:
        count, stable_since_ms, is_isolated = self._fleet.count_for_budget()
        divisor = get_divisor(
            count=count,
            stable_for_ms=self._clock.now_ms() - stable_since_ms,
            is_isolated=is_isolated,
            fleet_max_count=self._fleet_max_count,
        )
        return 0.0 if divisor is None else get_rate_per_ms(limits) / divisor

    def _list_ejected(self) -> list[tuple[AdmissionController, UpstreamLoad, bool]]:
        found: list[tuple[AdmissionController, UpstreamLoad, bool]] = []
        for controller in list(self._app.controllers_by_service.values()):

            def collect(
                pool: ServicePool, now_ms: float, controller: AdmissionController = controller
            ) -> None:
                for load in pool.by_id.values():
                    if load.needs_probe and not pool.is_declining(load, now_ms):
                        found.append((controller, load, now_ms < load.ejected_until_ms))
                        load.needs_probe = now_ms < load.ejected_until_ms

            controller.read_pool(collect)
        return found

    def _probe(
        self, controller: AdmissionController, load: UpstreamLoad, limits: ProbeLimits
    ) -> None:
        start_ms = self._clock.now_ms()
        is_good = self._is_healthy(load, limits.path, start_ms + PROBE_TIMEOUT_MS)
        elapsed_ms = self._clock.now_ms() - start_ms
        self._metrics.probes.labels("good" if is_good else "bad").inc()
        self._metrics.probe_seconds.inc(elapsed_ms / 1000)

        def apply_result(pool: ServicePool, now_ms: float) -> None:
            load.needs_probe = False
            if not is_good and now_ms < load.ejected_until_ms:
                eject(load, now_ms=now_ms)

        controller.read_pool(apply_result)

    def _is_healthy(self, load: UpstreamLoad, path: str, deadline_ms: float) -> bool:
        head = encode_head("GET", path, [("host", load.address)], 0)
        try:
            connection = UpstreamConnection.open(
                load.address, clock=self._clock, timeout_ms=PROBE_TIMEOUT_MS, epoch=0
            )
        except ConnectionLayerError:
            return False
        try:
            connection.send(head, deadline_ms=deadline_ms)
            answer = connection.read("GET", deadline_ms=deadline_ms)
        except ConnectionLayerError:
            return False
        finally:
            connection.close()
        self._app.declines.record(
            load.id,
            load.incarnation,
            for_ms=get_declined_ms(answer),
            now_ms=self._clock.now_ms(),
        )
        return answer.status < 400
