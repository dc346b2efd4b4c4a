"""The two workloads at their present sizes, for manifests, traces and fake upstreams."""

from __future__ import annotations

from typing import Any

from coltsfootrill.manifest.model import Priority


class KindSpec:
    """One request kind: its name, its rules in the manifest, and its share of the calls."""

    __slots__ = (
        "deadline_ms",
        "hedge_quantile",
        "id",
        "idempotent",
        "latest_ms",
        "name",
        "priority",
        "retries",
        "weight",
    )

    def __init__(
        self,
        id: str,
        name: str,
        *,
        idempotent: bool,
        deadline_ms: int,
        priority: Priority = "normal",
        latest_ms: int | None = None,
        retries: int = 2,
        hedge_quantile: float | None = None,
        weight: float = 1.0,
    ) -> None:
        self.id = id
        self.name = name
        self.idempotent = idempotent
        self.deadline_ms = deadline_ms
        self.priority = priority
        self.latest_ms = latest_ms
        self.retries = retries
        self.hedge_quantile = hedge_quantile
        self.weight = weight


class ServiceSpec:
    """One service: its number of upstreams, their typical work time, and its request kinds."""

    __slots__ = ("id", "kinds", "upstream_count", "work_ms")

    def __init__(
        self, id: str, *, upstream_count: int, work_ms: float, kinds: list[KindSpec]
    ) -> None:
        self.id = id
        self.upstream_count = upstream_count
        self.work_ms = work_ms
        self.kinds = kinds


HERALDIC = [
    ServiceSpec(
        "blazon",
        upstream_count=9,
        work_ms=4.0,
        kinds=[
            KindSpec(
                "lookup",
                "path:/blazon/lookup",
                idempotent=True,
                deadline_ms=1_000,
                priority="interactive",
                hedge_quantile=0.95,
                weight=6,
            )
        ],
    ),
    ServiceSpec(
        "proofs",
        upstream_count=8,
        work_ms=8.0,
        kinds=[
            KindSpec(
                "view",
                "dotted:proofs.crest.example",
                idempotent=True,
                deadline_ms=2_000,
                hedge_quantile=0.95,
                weight=3,
            )
        ],
    ),
    ServiceSpec(
        "commissions",
        upstream_count=7,
        work_ms=6.0,
        kinds=[KindSpec("order", "urn:urn-crest:commission", idempotent=False, deadline_ms=3_000)],
    ),
    ServiceSpec(
        "pigments",
        upstream_count=6,
        work_ms=5.0,
        kinds=[KindSpec("draw", "path:/pigments/draw", idempotent=False, deadline_ms=3_000)],
    ),
]

ROTA = [
    ServiceSpec(
        "rosters",
        upstream_count=15,
        work_ms=4.0,
        kinds=[
            KindSpec(
                "read",
                "path:/rosters/read",
                idempotent=True,
                deadline_ms=1_000,
                priority="interactive",
                hedge_quantile=0.95,
                weight=6,
            )
        ],
    ),
    ServiceSpec(
        "swaps",
        upstream_count=10,
        work_ms=6.0,
        kinds=[KindSpec("confirm", "urn:rota:swap", idempotent=False, deadline_ms=3_000, weight=2)],
    ),
    ServiceSpec(
        "handovers",
        upstream_count=8,
        work_ms=6.0,
        kinds=[
            KindSpec(
                "log",
                "dotted:handovers.rota.example",
                idempotent=False,
                deadline_ms=3_000,
                weight=1,
            )
        ],
    ),
    ServiceSpec(
        "timetables",
        upstream_count=7,
        work_ms=20.0,
        kinds=[
            KindSpec(
                "pull",
                "path:/timetables/pull",
                idempotent=True,
                deadline_ms=20_000,
                priority="deferrable",
                latest_ms=10_000,
                weight=1,
            )
        ],
    ),
]

WORKLOADS = {"heraldic": HERALDIC, "rota": ROTA}


def make_manifest(version: int, workloads: list[list[ServiceSpec]]) -> dict[str, Any]:
    """Return a manifest with the services of some workloads, ready to be encoded as JSON."""
    return {
        "schema": 1,
        "version": version,
        "measuring": {"requests_per_second": 0.5, "time_share": 0.005, "probe_cost_ms": 5.0},
        "services": [_encode_service(service) for workload in workloads for service in workload],
    }


def _encode_service(service: ServiceSpec) -> dict[str, Any]:
    return {
        "id": service.id,
        "upstreams": [f"{service.id}-*"],
        "retry_share": 0.1,
        "kinds": [_encode_kind(kind) for kind in service.kinds],
    }


def _encode_kind(kind: KindSpec) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "id": kind.id,
        "names": [kind.name],
        "idempotent": kind.idempotent,
        "deadline_ms": kind.deadline_ms,
        "priority": kind.priority,
        "retries": kind.retries,
    }
    if kind.latest_ms is not None:
        encoded["latest_ms"] = kind.latest_ms
    if kind.hedge_quantile is not None:
        encoded["hedge_quantile"] = kind.hedge_quantile
    return encoded
