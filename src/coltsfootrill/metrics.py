"""Prometheus counters, gauges and histograms of a process."""

from __future__ import annotations

from collections.abc import Sequence

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

from coltsfootrill.zones.orders import ZoneOrders

# Further organisations of a manifest are counted together.
ORGANISATION_LABELS_MAX_COUNT = 100
OTHER_ORGANISATIONS = "other"
_LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Metrics:
    """The metrics of one process, in a separate ``CollectorRegistry``.

    A separate registry allows several instances in one process, as in tests.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "coltsfootrill_requests",
            "Requests answered to callers.",
            ("service", "outcome", "reason"),
            registry=registry,
        )
        self.organisation_requests = Counter(
            "coltsfootrill_organisation_requests",
            "Requests with the key of an organisation, answered to callers.",
            ("organisation", "outcome"),
            registry=registry,
        )
        self._labelled_organisations: frozenset[str] = frozenset()
        self.latency = Histogram(
            "coltsfootrill_request_seconds",
            "Time from the arrival of a request to its answer.",
            ("service",),
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "coltsfootrill_attempts",
            "Attempts at upstreams by how they ended.",
            ("service", "result"),
            registry=registry,
        )
        self.extra_attempts = Counter(
            "coltsfootrill_extra_attempts",
            "Attempts beyond the first one of a request, by cause.",
            ("service", "cause"),
            registry=registry,
        )
        self.quota_requests = Counter(
            "coltsfootrill_quota_requests",
            "Attempts of organisations with a quota, by whether there was a token.",
            ("organisation", "result"),
            registry=registry,
        )
        self.quota_questions = Counter(
            "coltsfootrill_quota_questions",
            "Questions for tokens of a quota, by how they ended.",
            ("result",),
            registry=registry,
        )
        self.discarded_connections = Counter(
            "coltsfootrill_doubted_connections",
            "Idle connections closed because another one to the same upstream went silent.",
            registry=registry,
        )
        self.unsolicited_answers = Counter(
            "coltsfootrill_unsolicited_answers",
            "Answers of upstreams that no request waited for, by cause.",
            ("service", "cause"),
            registry=registry,
        )
        self.announcements = Counter(
            "coltsfootrill_announcements",
            "Announcements received, by result.",
            ("result",),
            registry=registry,
        )
        self.probes = Counter(
            "coltsfootrill_probes", "Probes sent, by result.", ("result",), registry=registry
        )
        self.probe_seconds = Counter(
            "coltsfootrill_probe_seconds", "Upstream time taken by probes.", registry=registry
        )
        self.refused_operations = Counter(
            "coltsfootrill_refused_operations",
            "Operations refused, by cause.",
            ("cause",),
            registry=registry,
        )
        self.control_reads = Counter(
            "coltsfootrill_control_reads",
            "Reads of the manifest from control replicas, by result.",
            ("result",),
            registry=registry,
        )
        self.manifest_version = Gauge(
            "coltsfootrill_manifest_version", "Version of the manifest in force.", registry=registry
        )
        self.evacuated_zones = Gauge(
            "coltsfootrill_evacuated_zones",
            "Availability zones whose upstreams get nothing more.",
            registry=registry,
        )
        self.zone_order_number = Gauge(
            "coltsfootrill_zone_order_number",
            "Number of the newest order on an availability zone in force.",
            registry=registry,
        )
        self.evacuated_requests = Gauge(
            "coltsfootrill_evacuated_requests",
            "Requests of this instance in flight at upstreams of evacuated zones.",
            registry=registry,
        )
        self.manifest_tables = Gauge(
            "coltsfootrill_manifest_tables",
            "Routing tables in memory, old ones still in use included.",
            registry=registry,
        )
        self.members = Gauge(
            "coltsfootrill_members", "Other entry instances known.", registry=registry
        )
        self.isolated = Gauge(
            "coltsfootrill_isolated",
            "1 while less than half of the peers reply.",
            registry=registry,
        )
        self.upstreams = Gauge(
            "coltsfootrill_upstreams", "Upstreams that may get new work.", registry=registry
        )
        self.body_free_bytes = Gauge(
            "coltsfootrill_body_free_bytes",
            "Bytes of memory that are free for large bodies of callers.",
            registry=registry,
        )
        self.evicted_connections = Counter(
            "coltsfootrill_connections_evicted_total",
            "Connections of callers that were closed for the room that others need, by state.",
            ["state"],
            registry=registry,
        )
        self.requests_in_progress = Gauge(
            "coltsfootrill_requests_in_progress",
            "Requests that were read from callers and have not ended.",
            registry=registry,
        )
        self.turns_waiting = Gauge(
            "coltsfootrill_turns_waiting",
            "Requests in progress whose answers wait until earlier answers are sent.",
            registry=registry,
        )
        self.oldest_request_seconds = Gauge(
            "coltsfootrill_oldest_request_seconds",
            "Age of the oldest request in progress.",
            registry=registry,
        )
        self.dropped_lines = Gauge(
            "coltsfootrill_dropped_lines",
            "Log lines dropped since the start, because the log was not read in time.",
            registry=registry,
        )
        self.peer_bytes = Gauge(
            "coltsfootrill_peer_bytes",
            "Bytes of messages exchanged with peers since the start.",
            ("direction",),
            registry=registry,
        )

    def record_zone_orders(self, orders: ZoneOrders) -> None:
        """Record the orders on availability zones in force."""
        self.evacuated_zones.set(len(orders.evacuated))
        self.zone_order_number.set(orders.number)

    def count_request(self, service_id: str, outcome: str, reason: str) -> None:
        """Count one answer to a caller."""
        self.requests.labels(service_id, outcome, reason).inc()

    def set_organisations(self, names: Sequence[str]) -> None:
        """Set the organisations of the manifest; the first ones get labels of their own."""
        labelled = frozenset(names[:ORGANISATION_LABELS_MAX_COUNT])
        gone = self._labelled_organisations - labelled
        self._labelled_organisations = labelled
        for name in gone:
            self.organisation_requests.remove_by_labels({"organisation": name})

    def count_organisation_request(self, name: str, outcome: str) -> None:
        """Count one answer to a caller with a key of an organisation."""
        label = name if name in self._labelled_organisations else OTHER_ORGANISATIONS
        self.organisation_requests.labels(label, outcome).inc()

    def count_attempt(self, service_id: str, result: str) -> None:
        """Count one attempt at an upstream."""
        self.attempts.labels(service_id, result).inc()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
