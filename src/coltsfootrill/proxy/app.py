"""The application that callers reach: names, limits and outcomes around the forwarding."""

from __future__ import annotations

import threading
from random import Random

from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.clock import Clock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.table import Route
from coltsfootrill.manifest.table import RouteError
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.metrics import Metrics
from coltsfootrill.naming.scheme import RequestName
from coltsfootrill.proxy.forward import RequestRun
from coltsfootrill.proxy.gate import ServiceGate
from coltsfootrill.proxy.headers import DEADLINE_HEADER
from coltsfootrill.proxy.headers import DEPTH_HEADER
from coltsfootrill.proxy.headers import DEPTH_MAX
from coltsfootrill.proxy.headers import RETRIED_HEADER
from coltsfootrill.proxy.headers import parse_deadline_ms
from coltsfootrill.proxy.headers import parse_depth
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.outcome import ProxyError
from coltsfootrill.proxy.outcome import make_error_answer
from coltsfootrill.proxy.pools import ConnectionPools
from coltsfootrill.proxy.request import ProxyRequest
from coltsfootrill.proxy.server import CallerRequest


class ProxyApp:
    """Turns a caller's request into an answer that states its outcome."""

    def __init__(
        self,
        *,
        manifests: ManifestHolder,
        fleet: Fleet,
        policy: ChoicePolicy,
        random: Random,
        zone: str,
        queue_limit: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._manifests = manifests
        self._fleet = fleet
        self._policy = policy
        self._random = random
        self._zone = zone
        self._queue_limit = queue_limit
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self.gates_by_service: dict[str, ServiceGate] = {}
        self.pools = ConnectionPools(clock)

    def handle(self, request: CallerRequest) -> Answer:
        """Return the answer to one request."""
        service_id = ""
        try:
            route = self._resolve(request)
            service_id = route.service.id
            answer = self._run(request, route)
        except ProxyError as error:
            answer = make_error_answer(error)
        answer.add_follow_up(lambda: self._count(service_id, answer, request.arrived_ms))
        return answer

    def get_gate(self, service: Service) -> ServiceGate:
        """Return the gate of a service, made on first use."""
        gate = self.gates_by_service.get(service.id)
        if gate is not None:
            return gate
        with self._lock:
            gate = self.gates_by_service.get(service.id)
            if gate is None:
                gate = self._make_gate(service)
                self.gates_by_service[service.id] = gate
            return gate

    def refresh(self) -> None:
        """Take in what changes by time alone, for every service of the manifest in force."""
        table = self._manifests.current
        if table is None:
            return
        for service in table.manifest.services:
            self.get_gate(service).refresh(service)

    def count_in_flight(self) -> dict[str, int]:
        """Return own requests in flight by upstream, over all services."""
        total_by_id: dict[str, int] = {}

        def add(pool: ServicePool, now_ms: float) -> None:
            for upstream_id, count in pool.count_in_flight().items():
                total_by_id[upstream_id] = total_by_id.get(upstream_id, 0) + count

        for gate in list(self.gates_by_service.values()):
            gate.read_pool(add)
        return total_by_id

    def _make_gate(self, service: Service) -> ServiceGate:
        pool = ServicePool(
            service,
            policy=self._policy,
            random=Random(self._random.getrandbits(64)),
            zone=self._zone,
            queue_limit=self._queue_limit,
        )
        return ServiceGate(pool, fleet=self._fleet, clock=self._clock)

    def _resolve(self, request: CallerRequest) -> Route:
        if request.is_refused:
            raise NotRunError(
                "503 Service Unavailable",
                "too-many-requests",
                "this instance has too many requests in progress",
                retry_after_s=1,
            )
        table = self._manifests.current
        if table is None:
            raise NotRunError(
                "503 Service Unavailable", "no-manifest", "no manifest yet", retry_after_s=1
            )
        headers = request.headers
        name = RequestName(
            host=headers.get("HOST", ""), path=request.path, urn=headers.get("URN", "")
        )
        try:
            return table.resolve(name)
        except RouteError as error:
            raise NotRunError("404 Not Found", "no-route", str(error)) from error

    def _run(self, request: CallerRequest, route: Route) -> Answer:
        depth = parse_depth(request.get_header(DEPTH_HEADER))
        if depth >= DEPTH_MAX:
            raise NotRunError("508 Loop Detected", "too-deep", f"calls go at most {DEPTH_MAX} deep")
        proxied = ProxyRequest(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            arrived_ms=request.arrived_ms,
            deadline_ms=request.arrived_ms + self._get_deadline_ms(request, route.kind),
            depth=depth,
            is_marked=bool(request.get_header(RETRIED_HEADER)),
            caller=request.caller,
        )
        run = RequestRun(
            proxied,
            route,
            self.get_gate(route.service),
            pools=self.pools,
            clock=self._clock,
            metrics=self._metrics,
        )
        return run.run()

    def _get_deadline_ms(self, request: CallerRequest, kind: Kind) -> float:
        text = request.get_header(DEADLINE_HEADER)
        if not text:
            return kind.deadline_ms
        stated_ms = parse_deadline_ms(text)
        if stated_ms is None:
            raise NotRunError(
                "400 Bad Request", "bad-deadline", f"{DEADLINE_HEADER} must be a number"
            )
        return min(stated_ms, kind.deadline_ms)

    def _count(self, service_id: str, answer: Answer, arrived_ms: float) -> None:
        self._metrics.count_request(service_id, answer.outcome, answer.reason)
        elapsed_ms = self._clock.now_ms() - arrived_ms
        self._metrics.latency.labels(service_id).observe(elapsed_ms / 1000)
