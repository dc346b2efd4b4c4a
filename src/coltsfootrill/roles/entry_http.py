"""HTTP handlers of an entry instance, for its operators' port and its announcements port."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from coltsfootrill.audit import AuditTrail
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.metrics import Metrics
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.http import HttpRequest
from coltsfootrill.registry.announcement import InvalidAnnouncementError
from coltsfootrill.registry.announcement import decode_announcement
from coltsfootrill.registry.directory import LEASE_MS
from coltsfootrill.registry.directory import RENEW_AFTER_MS
from coltsfootrill.roles.gateway import Gateway
from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.orders import describe_evacuated


class EntryHandlers:
    """Handles requests from operators and announcements from upstreams."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        manifests: ManifestHolder,
        gateway: Gateway,
        metrics: Metrics,
        audit: AuditTrail,
        zones: EvacuatedZones,
        is_ready: Callable[[], bool],
    ) -> None:
        self._fleet = fleet
        self._manifests = manifests
        self._gateway = gateway
        self._metrics = metrics
        self._audit = audit
        self._zones = zones
        self._is_ready = is_ready

    def add_operator_routes(self, app: HttpApp) -> None:
        """Add the routes for operators; only readiness and metrics are public."""
        app.add("GET", "/ready", self._handle_ready, is_public=True)
        app.add("GET", "/metrics", self._handle_metrics, is_public=True)
        app.add("GET", "/status", self._handle_status)
        app.add("GET", "/upstreams", self._handle_upstreams)
        app.add("GET", "/audit", self._handle_audit)

    def add_announcement_routes(self, app: HttpApp) -> None:
        """Add the route for announcements of upstreams."""
        app.add("POST", "/announcements", self._handle_announcement)

    def _handle_ready(self, request: HttpRequest) -> HttpReply:
        if self._is_ready():
            return HttpReply.from_json("200 OK", {"ready": True})
        return HttpReply.from_json("503 Service Unavailable", {"ready": False})

    def _handle_metrics(self, request: HttpRequest) -> HttpReply:
        return HttpReply("200 OK", self._metrics.render(), content_type="text/plain")

    def _handle_status(self, request: HttpRequest) -> HttpReply:
        current = self._manifests.current
        status: dict[str, Any] = {
            "role": "entry",
            "id": self._fleet.own.id,
            "ready": self._is_ready(),
            "stopping": self._gateway.is_stopping,
            "isolated": self._fleet.is_isolated(),
            "in_progress": self._gateway.count_in_progress(),
            "version": self._manifests.version,
            "digest": "" if current is None else current.digest,
            "zone_order": self._zones.orders.number,
            "evacuated_zones": describe_evacuated(self._zones.orders),
            "members": [
                {"id": member.id, "zone": member.zone, "version": member.manifest_version}
                for member in self._fleet.list_members()
            ],
        }
        return HttpReply.from_json("200 OK", status)

    def _handle_upstreams(self, request: HttpRequest) -> HttpReply:
        in_flight_by_id = self._gateway.app.count_in_flight()
        usable = {record.announcement.id for record in self._fleet.list_usable()}
        upstreams = []
        for record in self._fleet.list_records():
            upstream = msgspec.to_builtins(record.announcement)
            upstream["usable"] = record.announcement.id in usable
            upstream["in_flight"] = in_flight_by_id.get(record.announcement.id, 0)
            upstreams.append(upstream)
        upstreams.sort(key=lambda upstream: str(upstream["id"]))
        return HttpReply.from_json("200 OK", {"upstreams": upstreams})

    def _handle_audit(self, request: HttpRequest) -> HttpReply:
        text = parse_qs(request.query).get("after", ["0"])[0]
        after_number = int(text) if text.isascii() and text.isdigit() else 0
        records = [msgspec.to_builtins(event) for event in self._audit.read(after_number)]
        return HttpReply.from_json("200 OK", {"records": records})

    def _handle_announcement(self, request: HttpRequest) -> HttpReply:
        counter = self._metrics.announcements
        try:
            announcement = decode_announcement(request.body)
        except InvalidAnnouncementError as error:
            counter.labels("invalid").inc()
            return HttpReply.from_json("400 Bad Request", {"message": str(error)})
        result = self._fleet.announce(announcement)
        counter.labels(result).inc()
        body = {"result": result, "lease_ms": int(LEASE_MS), "renew_after_ms": RENEW_AFTER_MS}
        status = "409 Conflict" if result == "ignored" else "200 OK"
        return HttpReply.from_json(status, body)
