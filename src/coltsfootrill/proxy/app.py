"""Request handling for callers: resolve the name, apply limits, forward and report the outcome."""

from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.balancer.crash_suspects import Suspect
from coltsfootrill.balancer.declines import DeclineTimes
from coltsfootrill.balancer.load_report_cache import LoadReportCache
from coltsfootrill.balancer.load_report_cache import ReportEntry
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.retry import AttemptBudget
from coltsfootrill.balancer.warm_up import WarmUpBound
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.client import DispatchClient
from coltsfootrill.events.catalog import CrashingRequest
from coltsfootrill.events.catalog import Event
from coltsfootrill.events.catalog import ManifestSource
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.table import Route
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.metrics import Metrics
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.caller_request import CallerRequest
from coltsfootrill.proxy.caller_request import Refusal
from coltsfootrill.proxy.dialect import NATIVE_DIALECT
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.forward import RequestForwarder
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
from coltsfootrill.proxy.request import RequestTimes
from coltsfootrill.proxy.request_record import RequestRecord
from coltsfootrill.proxy.request_tokens import make_request_tokens
from coltsfootrill.proxy.resolution import RequestResolver
from coltsfootrill.proxy.resolution import Resolution
from coltsfootrill.quotas.client import QuotaClient
from coltsfootrill.registry.source import UpstreamSource
from coltsfootrill.zones.evacuation import EvacuatedZones

# Conditions that keep an instance from accepting any request have usually ended by then.
NOT_READY_RETRY_AFTER_S = 0.3
_MESSAGE_BY_REFUSAL: dict[Refusal, str] = {
    "too-many-requests": "this instance has too many requests in progress",
    "too-many-connections": "this connection was closing for others when the request came",
    "stopping": "this instance is stopping; another one accepts the request",
    "no-room-for-body": "this instance holds too many large bodies to take this one",
}
_RETRY_AFTER_S_BY_REFUSAL: dict[Refusal, float] = {
    "too-many-requests": NOT_READY_RETRY_AFTER_S,
    "too-many-connections": NOT_READY_RETRY_AFTER_S,
    "stopping": 0.0,
    "no-room-for-body": NOT_READY_RETRY_AFTER_S,
}


class ProxyApp:
    """Handles callers' requests and returns answers that state their outcome."""

    def __init__(
        self,
        *,
        manifests: ManifestHolder,
        fleet: UpstreamSource,
        policy: ChoicePolicy,
        random: Random,
        zone: str,
        queue_limit: int,
        clock: Clock,
        metrics: Metrics,
        dialect: Dialect = NATIVE_DIALECT,
        make_budget: Callable[[], AttemptBudget] | None = None,
        once_idle_max_ms: float = 0.0,
        dispatch: DispatchClient | None = None,
        warm_up_bound: WarmUpBound | None = None,
        zones: EvacuatedZones | None = None,
        quotas: QuotaClient | None = None,
        describe_manifest: Callable[[], ManifestSource | None] = lambda: None,
        get_reported_version: Callable[[], int] = lambda: 0,
        on_ended: Callable[[RequestEnded], None] = lambda event: None,
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self._on_event = on_event
        self._dispatch = dispatch
        self._warm_up_bound = warm_up_bound
        self._zones = zones or EvacuatedZones()
        self._quotas = quotas
        self._dialect = dialect
        self._make_budget = make_budget
        self._on_ended = on_ended
        self._manifests = manifests
        self._fleet = fleet
        self._policy = policy
        self._random = random
        self._zone = zone
        self._queue_limit = queue_limit
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._resolver = RequestResolver(
            manifests,
            dialect=dialect,
            clock=clock,
            get_reported_version=get_reported_version,
            describe_manifest=describe_manifest,
        )
        self.controllers_by_service: dict[str, AdmissionController] = {}
        self.pools = ConnectionPools(clock, once_idle_max_ms=once_idle_max_ms)
        self.reports = LoadReportCache(clock)
        self.declines = DeclineTimes()
        self.crash_guard = CrashGuard(clock, on_refused=self._record_crashing)

    def handle(self, request: CallerRequest) -> Answer:
        """Return the answer to one request."""
        record = RequestRecord(request)
        try:
            resolution = self._resolve(request, record)
            record.service = resolution.route.choose_service(self._random)
            answer = self._run(request, record, resolution, record.service)
        except ProxyError as error:
            record.message = str(error)
            if isinstance(error, NotRunError):
                record.admission = error.admission
            answer = make_error_answer(
                error, has_fractional_retry_after=self._dialect.has_fractional_retry_after
            )
        answer.add_sent_callback(lambda: self._record_end(record, answer))
        return answer

    def get_controller(self, service: Service) -> AdmissionController:
        """Return the admission controller of a service, created on first use."""
        controller = self.controllers_by_service.get(service.id)
        if controller is not None:
            return controller
        with self._lock:
            controller = self.controllers_by_service.get(service.id)
            if controller is None:
                controller = self._make_controller(service)
                self.controllers_by_service[service.id] = controller
            return controller

    def find_controller(self, service_id: str) -> tuple[AdmissionController, Service] | None:
        """Return the admission controller and the service of this id in the current manifest."""
        table = self._manifests.current
        service = None if table is None else table.services_by_id.get(service_id)
        return None if service is None else (self.get_controller(service), service)

    def refresh(self) -> bool:
        """Apply time-based changes to every service of the current manifest.

        Return whether any of them has requests in progress or had some since the last refresh.
        """
        table = self._manifests.current
        if table is None:
            return False
        has_requests = [
            self.get_controller(service).refresh(service) for service in table.manifest.services
        ]
        return any(has_requests)

    def apply_reports(self, reports: Sequence[ReportEntry]) -> None:
        """Apply what upstreams stated to other instances or to probes."""
        now_ms = self._clock.now_ms()
        for entry in reports:
            if entry.leaving_incarnation is not None:
                self._fleet.record_leaving(entry.upstream_id, entry.leaving_incarnation)
        for controller in list(self.controllers_by_service.values()):
            controller.apply_reports(reports, now_ms)

    def count_in_flight(self) -> dict[str, int]:
        """Return this instance's requests in flight by upstream id, summed over all services."""
        total_by_id: dict[str, int] = {}

        def add(pool: ServicePool, now_ms: float) -> None:
            for upstream_id, count in pool.count_in_flight().items():
                total_by_id[upstream_id] = total_by_id.get(upstream_id, 0) + count

        for controller in list(self.controllers_by_service.values()):
            controller.read_pool(add)
        return total_by_id

    def count_evacuated_in_flight(self) -> int:
        """Return this instance's requests in flight at upstreams of evacuated zones."""
        counts: list[int] = []
        if not self._zones.orders.evacuated:
            return 0
        for controller in list(self.controllers_by_service.values()):
            controller.read_pool(
                lambda pool, now_ms: counts.append(pool.count_evacuated_in_flight())
            )
        return sum(counts)

    def _make_controller(self, service: Service) -> AdmissionController:
        pool = ServicePool(
            service,
            policy=self._policy,
            random=Random(self._random.getrandbits(64)),
            zone=self._zone,
            queue_limit=self._queue_limit,
            budget=None if self._make_budget is None else self._make_budget(),
            declines=self.declines,
            warm_up_bound=self._warm_up_bound,
            zones=self._zones,
        )
        return AdmissionController(
            pool,
            fleet=self._fleet,
            clock=self._clock,
            dispatch=self._dispatch,
            on_report=self.reports.record,
            on_event=self._on_event,
        )

    def _resolve(self, request: CallerRequest, record: RequestRecord) -> Resolution:
        if request.refusal is not None:
            raise NotRunError(
                "503 Service Unavailable",
                request.refusal,
                _MESSAGE_BY_REFUSAL[request.refusal],
                retry_after_s=_RETRY_AFTER_S_BY_REFUSAL[request.refusal],
            )
        return self._resolver.resolve(request, record)

    def _run(
        self,
        request: CallerRequest,
        record: RequestRecord,
        resolution: Resolution,
        service: Service,
    ) -> Answer:
        route = resolution.route
        depth = parse_depth(request.get_header(DEPTH_HEADER))
        if depth >= DEPTH_MAX:
            raise NotRunError(
                "508 Loop Detected",
                "too-deep",
                f"call depth {depth} must be below {DEPTH_MAX}; check for a routing loop",
            )
        controller = self.get_controller(service)
        times = RequestTimes(
            arrived_ms=request.arrived_ms,
            deadline_ms=request.arrived_ms + self._get_deadline_ms(request, route.kind),
            age_ms=self._get_age_ms(request, route, controller),
        )
        proxied = ProxyRequest(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            times=times,
            depth=depth,
            is_retried=bool(request.get_header(RETRIED_HEADER)),
            monitor=request.monitor,
            organisation=resolution.organisation,
            withheld_headers=self._get_withheld_headers(resolution.table),
        )
        forwarder = RequestForwarder(
            proxied,
            route,
            controller,
            pools=self.pools,
            clock=self._clock,
            metrics=self._metrics,
            guard=self.crash_guard,
            dialect=self._dialect,
            service=service,
            key_check=self._resolver.make_key_check(resolution),
            tokens=make_request_tokens(self._quotas, proxied.organisation, clock=self._clock),
        )
        record.attempts = forwarder.attempts
        record.deadline_ms = times.deadline_ms - times.arrived_ms
        return forwarder.run()

    def _get_withheld_headers(self, table: RoutingTable) -> frozenset[str]:
        return frozenset() if table.keys is None else self._dialect.withheld_headers

    def _get_age_ms(
        self, request: CallerRequest, route: Route, controller: AdmissionController
    ) -> float:
        stated_ms = parse_deadline_ms(request.get_header(self._dialect.deadline))
        return 0.0 if stated_ms is None else controller.get_age_ms(route.kind, stated_ms)

    def _get_deadline_ms(self, request: CallerRequest, kind: Kind) -> float:
        text = request.get_header(self._dialect.deadline)
        if not text:
            return kind.deadline_ms
        stated_ms = parse_deadline_ms(text)
        if stated_ms is None:
            raise NotRunError(
                "400 Bad Request",
                "bad-deadline",
                f"{self._dialect.deadline} must be a finite number of milliseconds, not {text!r}",
            )
        return min(stated_ms, kind.deadline_ms)

    def _record_crashing(self, suspect: Suspect) -> None:
        upstreams = [crash.upstream_id for crash in suspect.crash_by_key.values()]
        self._on_event(CrashingRequest(digest=suspect.digest.hex(), upstreams=upstreams))

    def _record_end(self, record: RequestRecord, answer: Answer) -> None:
        service_id = "" if record.service is None else record.service.id
        self._metrics.count_request(service_id, answer.outcome, answer.reason)
        organisation = "" if record.organisation is None else record.organisation.name
        if organisation:
            self._metrics.count_organisation_request(organisation, answer.outcome)
        took_ms = self._clock.now_ms() - record.request.arrived_ms
        self._metrics.latency.labels(service_id).observe(took_ms / 1000)
        id_header = self._dialect.request_id
        self._on_ended(
            RequestEnded(
                id=record.request.get_header(id_header) if id_header else "",
                service=service_id,
                kind="" if record.route is None else record.route.kind.id,
                organisation=organisation,
                manifest=record.manifest_version,
                status=answer.status,
                outcome=answer.outcome,
                reason=answer.reason,
                took_ms=round(took_ms, 1),
                deadline_ms=round(record.deadline_ms, 1),
                attempts=record.attempts,
                message=record.message,
                admission=record.admission,
                manifest_source=record.manifest_source,
            )
        )
