"""In-memory datagrams, delivered at once or dropped as a test decides, and a dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.reported_load import coltsfootrill_choice_policy
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.server import DispatchServer
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.model import WarmUp
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.registry.directory import UpstreamRecord
from coltsfootrill.zones.evacuation import EvacuatedZones
from testing.records import make_usable_record


class MemoryNetwork:
    """Connects ports by address. ``is_lost`` returns whether a datagram is dropped."""

    def __init__(self) -> None:
        self.ports_by_address: dict[str, MemoryPort] = {}
        self.is_lost: Callable[[str, str, bytes], bool] = lambda source, target, data: False

    def deliver(self, source: str, target: str, topic: bytes, payload: bytes) -> None:
        port = self.ports_by_address.get(target)
        if port is not None and not self.is_lost(source, target, topic + payload):
            port.handlers_by_topic[topic](payload, source)


class MemoryPort:
    """Test double of ``DatagramPort``."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self.handlers_by_topic: dict[bytes, Callable[[bytes, str], None]] = {}
        network.ports_by_address[address] = self

    def handle(self, topic: bytes, handler: Callable[[bytes, str], None]) -> None:
        self.handlers_by_topic[topic] = handler

    def send(self, topic: bytes, payload: bytes, address: str) -> None:
        self._network.deliver(self._address, address, topic, payload)


class Upstreams:
    """A fixed list of usable upstreams."""

    generation = 1

    def __init__(self, count: int, *, slots: int = 3) -> None:
        self.records = [make_usable_record(f"u{number}", slots=slots) for number in range(count)]

    def list_usable(self) -> list[UpstreamRecord]:
        return self.records

    def get_lease_end_ms(self, records: list[UpstreamRecord]) -> float:
        return float("inf")

    def confirm(self, upstream_id: str, incarnation: int, sent_ms: float) -> None:
        return

    def record_leaving(self, upstream_id: str, incarnation: int) -> None:
        return


def make_service(*, warm_up: WarmUp | None = None, **changes: Any) -> Service:
    fields = {"names": ["web:a/x/"], "idempotent": True, "deadline_ms": 3_000, "target_ms": 400}
    kind = Kind(**({"id": "k"} | fields | changes))
    return Service(id="work", upstreams=["*"], kinds=[kind], warm_up=warm_up)


def make_controller(
    upstreams: Upstreams,
    *,
    clock: Clock,
    queue_limit: int = 64,
    typical_ms: float = 100.0,
    service: Service | None = None,
    zones: EvacuatedZones | None = None,
    **options: Any,
) -> AdmissionController:
    pool = ServicePool(
        service or make_service(),
        policy=coltsfootrill_choice_policy(),
        random=Random(7),
        zone="z1",
        queue_limit=queue_limit,
        zones=zones,
    )
    pool.get_latency("k").add(typical_ms)
    return AdmissionController(pool, fleet=upstreams, clock=clock, **options)


def make_server(
    port: MemoryPort,
    controller: AdmissionController,
    *,
    clock: Clock,
    is_stopping: bool = False,
    service: Service | None = None,
) -> DispatchServer:
    found = (controller, service or make_service())
    return DispatchServer(
        port=port,  # type: ignore[arg-type]
        find_controller=lambda service_id: found if service_id == "work" else None,
        is_stopping=lambda: is_stopping,
        clock=clock,
    )
