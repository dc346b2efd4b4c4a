"""One entry instance in the test process: caller server, decisions and upstream connections."""

from __future__ import annotations

import http.client
import itertools
import json
import socket
import threading
import time
from random import Random
from typing import Any

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import Event
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.metrics import Metrics
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import find_policy
from coltsfootrill.plugins import load_plugins
from coltsfootrill.proxy.app import ProxyApp
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.dialect import NATIVE_DIALECT
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.server import CallerServer
from coltsfootrill.quotas.client import QuotaClient
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.zones.evacuation import EvacuatedZones

_request_numbers = itertools.count(1)


def make_request_id() -> str:
    """Return an id for the next attempt of a caller; each has one of its own."""
    return f"q{next(_request_numbers)}"


class Reply:
    """Holds the response that a caller received."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self.body = response.read()
        self.status = response.status
        self.headers = response.headers
        self.outcome = response.headers["Coltsfootrill-Outcome"]
        self.reason = response.headers["Coltsfootrill-Reason"]


class Instance:
    """Serves the kinds of ``make_manifest``; ``/once`` is the one that is not idempotent."""

    def __init__(
        self,
        *,
        deadline_ms: int = 1_500,
        queue: int = 8,
        requests: int = 64,
        dialect: Dialect = NATIVE_DIALECT,
        once_idle_max_ms: float = 0.0,
        body_bytes: int = 16 * 1024 * 1024,
        reported_version: int = 0,
        quotas: QuotaClient | None = None,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or Clock()
        plugins = load_plugins()
        self.metrics = Metrics()
        self.manifests = ManifestHolder(collect_schemes(plugins))
        self.manifests.adopt(make_manifest(1, deadline_ms))
        self.fleet = Fleet(InstanceRecord("e1", 1, "127.0.0.1:1", "z1", False, 1), clock=clock)
        self.events: list[Event] = []
        self.zones = EvacuatedZones()
        self.app = ProxyApp(
            manifests=self.manifests,
            fleet=self.fleet,
            policy=find_policy(plugins, "least-expected-wait"),
            random=Random(5),
            zone="z1",
            queue_limit=queue,
            clock=clock,
            metrics=self.metrics,
            dialect=dialect,
            once_idle_max_ms=once_idle_max_ms,
            get_reported_version=lambda: reported_version,
            zones=self.zones,
            quotas=quotas,
            on_ended=self.events.append,
            on_event=self.events.append,
        )
        self.body_budget = BodyBudget(body_bytes)
        self.server = CallerServer(
            self.app.handle,
            clock=clock,
            requests_max=requests,
            connections_max=200,
            body_budget=self.body_budget,
        )
        self.server.start("127.0.0.1", 0)
        self._is_stopped = threading.Event()
        threading.Thread(target=self._refresh, daemon=True).start()

    def close(self) -> int:
        self._is_stopped.set()
        return self.server.stop(idle_ms=0, limit_ms=5_000)

    def announce(self, upstream_id: str, address: str, **changes: Any) -> None:
        fields: dict[str, Any] = {
            "id": upstream_id,
            "incarnation": 1,
            "sequence": time.monotonic_ns() // 1000,
            "address": address,
            "zone": "z1",
            "services": ["work"],
            "slots": 3,
            "state": "serving",
        }
        self.fleet.announce(Announcement(**(fields | changes)))

    def call(
        self, path: str = "/x", *, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Reply:
        connection = http.client.HTTPConnection("127.0.0.1", self.server.port, timeout=10)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body=body or None, headers=named)
        reply = Reply(connection.getresponse())
        connection.close()
        return reply

    def send_raw(self, data: bytes) -> bytes:
        with socket.create_connection(("127.0.0.1", self.server.port), timeout=5) as sock:
            sock.sendall(data)
            parts = []
            while part := sock.recv(65_536):
                parts.append(part)
        return b"".join(parts)

    def _refresh(self) -> None:
        while not self._is_stopped.wait(0.02):
            self.fleet.remove_expired()
            self.app.refresh()


def make_manifest(
    version: int, deadline_ms: int = 1_500, *, warm_up: dict[str, Any] | None = None
) -> bytes:
    kinds = [
        _kind("x", True, deadline_ms, retries=2),
        _kind("hedged", True, deadline_ms, hedge_quantile=0.9),
        _kind("once", False, deadline_ms, retries=2),
        _kind("targeted", True, deadline_ms, retries=1, target_ms=300, attempts_max=2),
        _kind("single", True, deadline_ms, retries=2, target_ms=300, attempts_max=1),
        _kind("later", True, deadline_ms, priority="deferrable", latest_ms=deadline_ms // 2),
    ]
    service = {"id": "work", "upstreams": ["u*"], "kinds": kinds, "retry_share": 0.2}
    if warm_up is not None:
        service["warm_up"] = warm_up
    return json.dumps({"schema": 1, "version": version, "services": [service]}).encode()


def _kind(name: str, idempotent: bool, deadline_ms: int, **rules: Any) -> dict[str, Any]:
    kind = {
        "id": name,
        "names": [f"path:/{name}"],
        "idempotent": idempotent,
        "deadline_ms": deadline_ms,
    }
    return kind | rules
