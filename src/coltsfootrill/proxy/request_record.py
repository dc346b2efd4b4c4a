"""The details of one request, for the event that reports its end."""

from __future__ import annotations

from coltsfootrill.events.catalog import Admission
from coltsfootrill.events.catalog import Attempt
from coltsfootrill.events.catalog import ManifestSource
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.table import Route
from coltsfootrill.proxy.caller_request import CallerRequest


class RequestRecord:
    """Collects what is known of one request while it is handled."""

    __slots__ = (
        "admission",
        "attempts",
        "deadline_ms",
        "manifest_source",
        "manifest_version",
        "message",
        "organisation",
        "request",
        "route",
        "service",
    )

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.route: Route | None = None
        self.service: Service | None = None
        self.organisation: Organisation | None = None
        self.attempts: list[Attempt] = []
        self.deadline_ms = 0.0
        self.message = ""
        self.manifest_version = 0
        self.manifest_source: ManifestSource | None = None
        self.admission: Admission | None = None
