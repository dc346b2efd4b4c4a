"""The gateway of an instance: the callers' port, the proxy behind it, and the graceful stop."""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from random import SystemRandom

from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.retry import AttemptBudget
from coltsfootrill.balancer.warm_up import WarmUpBound
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.client import DispatchClient
from coltsfootrill.events.catalog import Event
from coltsfootrill.events.catalog import ManifestSource
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import DEADLINE_MAX_MS
from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.metrics import Metrics
from coltsfootrill.proxy.app import ProxyApp
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.dialect import NATIVE_DIALECT
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.server import CallerServer
from coltsfootrill.quotas.client import QuotaClient
from coltsfootrill.registry.source import UpstreamSource
from coltsfootrill.settings import Settings
from coltsfootrill.tasks import start_task
from coltsfootrill.zones.evacuation import EvacuatedZones

REFRESH_INTERVAL_MS = 40.0
# Without requests, only leases and ejections that have ended are to be noticed.
IDLE_REFRESH_INTERVAL_MS = 200.0
# At the interpreter's default of 5 ms, one busy thread would delay all requests by that long.
SWITCH_INTERVAL_S = 0.0005
MS_PER_SECOND = 1_000.0
# The part of the grace period in which the rest of the process stops.
PROCESS_STOP_MS = 600.0


class Gateway:
    """Forwards callers' requests to the upstreams of ``source``, by the manifest in force."""

    def __init__(
        self,
        settings: Settings,
        *,
        manifests: ManifestHolder,
        source: UpstreamSource,
        policy: ChoicePolicy,
        random: Random,
        clock: Clock,
        metrics: Metrics,
        dialect: Dialect = NATIVE_DIALECT,
        make_budget: Callable[[], AttemptBudget] | None = None,
        dispatch: DispatchClient | None = None,
        warm_up_bound: WarmUpBound | None = None,
        zones: EvacuatedZones | None = None,
        quotas: QuotaClient | None = None,
        describe_manifest: Callable[[], ManifestSource | None] = lambda: None,
        get_reported_version: Callable[[], int] = lambda: 0,
        on_ended: Callable[[RequestEnded], None] = lambda event: None,
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self._settings = settings
        self._manifests = manifests
        self._source = source
        self._clock = clock
        self.is_stopping = False
        self.app = ProxyApp(
            manifests=manifests,
            fleet=source,
            policy=policy,
            random=random,
            zone=settings.get("instance", "zone"),
            queue_limit=settings.get("callers", "queue"),
            clock=clock,
            metrics=metrics,
            dialect=dialect,
            make_budget=make_budget,
            once_idle_max_ms=settings.get("upstreams", "once_idle_ms"),
            dispatch=dispatch,
            warm_up_bound=warm_up_bound,
            zones=zones,
            quotas=quotas,
            describe_manifest=describe_manifest,
            get_reported_version=get_reported_version,
            on_ended=on_ended,
            on_event=on_event,
        )
        body_budget = BodyBudget.from_memory_mb(settings.get("callers", "memory_mb"))
        metrics.body_free_bytes.set_function(lambda: body_budget.free_bytes)
        self._caller_server = CallerServer(
            self.app.handle,
            clock=clock,
            requests_max=settings.get("callers", "requests"),
            connections_max=settings.get("callers", "connections"),
            get_limits=self._get_limits,
            get_deadline_max_ms=self._get_deadline_max_ms,
            body_budget=body_budget,
            on_evicted=lambda state: metrics.evicted_connections.labels(state).inc(),
        )
        requests = self._caller_server.in_progress
        metrics.requests_in_progress.set_function(lambda: len(requests))
        metrics.turns_waiting.set_function(requests.count_waiting)
        metrics.oldest_request_seconds.set_function(
            lambda: requests.get_oldest_age_ms() / MS_PER_SECOND
        )

    def start(self, *, listener: socket.socket | None = None) -> None:
        """Accept callers on the configured address, or on a socket that listens there already."""
        start_task("refresh", self._refresh_controllers)
        listen = self._settings.get("callers", "listen")
        self._caller_server.start(listen.host, listen.port, listener=listener)

    def stop(self) -> int:
        """Stop gracefully and return the number of requests that were cut."""
        settings = self._settings
        self.is_stopping = True
        self._caller_server.announce_close()
        # The platform's load balancer keeps sending callers until it notices the failed check.
        self._clock.sleep_ms(settings.get("callers", "notice_ms"))
        return self._caller_server.stop(
            idle_ms=settings.get("callers", "idle_ms"), limit_ms=get_stop_limit_ms(settings)
        )

    def count_in_progress(self) -> int:
        """Return the number of callers' requests in progress."""
        return self._caller_server.count_in_progress()

    def refuses_all(self) -> bool:
        """Return whether every request is refused because earlier ones do not end in time."""
        return self._caller_server.refuses_all()

    def close_idle_connections(self) -> None:
        """Close idle connections to upstreams that are no longer usable."""
        usable = self._source.list_usable()
        self.app.pools.keep_only({record.announcement.address for record in usable})

    def _get_limits(self) -> CallerLimits:
        table = self._manifests.current
        return _DEFAULT_LIMITS if table is None else table.manifest.limits

    def _get_deadline_max_ms(self) -> float:
        table = self._manifests.current
        return DEADLINE_MAX_MS if table is None else table.deadline_max_ms

    def _refresh_controllers(self) -> None:
        """Refresh the admission controllers until the process exits, also in a graceful stop."""
        interval_ms = IDLE_REFRESH_INTERVAL_MS
        while True:
            self._clock.sleep_ms(interval_ms)
            has_requests = self.app.refresh()
            interval_ms = REFRESH_INTERVAL_MS if has_requests else IDLE_REFRESH_INTERVAL_MS


_DEFAULT_LIMITS = CallerLimits()


def get_stop_limit_ms(settings: Settings) -> float:
    """Return how long requests in progress may take once no more callers are accepted."""
    grace_ms: float = settings.get("callers", "grace_s") * MS_PER_SECOND
    if grace_ms == 0:
        return float(settings.get("callers", "stop_ms"))
    notice_ms: float = settings.get("callers", "notice_ms")
    return max(0.0, grace_ms - notice_ms - PROCESS_STOP_MS)


def make_random(seed: int) -> Random:
    """Return a random number generator; seed 0 means a seed from the operating system."""
    return Random(seed) if seed else Random(SystemRandom().getrandbits(64))
