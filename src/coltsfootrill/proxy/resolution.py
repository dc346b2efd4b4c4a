"""Resolves a caller's request: its route, and the organisation whose key it carries."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import ManifestSource
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.table import Route
from coltsfootrill.manifest.table import RouteError
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.naming.scheme import RequestName
from coltsfootrill.proxy.caller_key import KeyCheck
from coltsfootrill.proxy.caller_key import identify_caller
from coltsfootrill.proxy.caller_request import CallerRequest
from coltsfootrill.proxy.dialect import Dialect
from coltsfootrill.proxy.first_manifest import FirstManifestWait
from coltsfootrill.proxy.headers import parse_deadline_ms
from coltsfootrill.proxy.newer_manifest import NewerManifestWait
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.request_record import RequestRecord

# A manifest usually arrives within this time after the start.
NO_MANIFEST_RETRY_AFTER_S = 0.3


class Resolution:
    """The routing table that a request was resolved with, its route and its organisation.

    ``organisation`` is ``None`` if callers need no key, or if the kind is public.
    """

    __slots__ = ("organisation", "route", "table")

    def __init__(
        self, table: RoutingTable, route: Route, organisation: Organisation | None
    ) -> None:
        self.table = table
        self.route = route
        self.organisation = organisation


class RequestResolver:
    """Resolves requests with the manifest in force, and checks keys again before each attempt."""

    __slots__ = ("_describe_manifest", "_dialect", "_first_manifest", "_manifests", "_newer")

    def __init__(
        self,
        manifests: ManifestHolder,
        *,
        dialect: Dialect,
        clock: Clock,
        get_reported_version: Callable[[], int],
        describe_manifest: Callable[[], ManifestSource | None],
    ) -> None:
        self._manifests = manifests
        self._dialect = dialect
        self._describe_manifest = describe_manifest
        self._first_manifest = FirstManifestWait(manifests, clock=clock)
        self._newer = NewerManifestWait(
            manifests, get_reported_version=get_reported_version, clock=clock
        )

    def resolve(self, request: CallerRequest, record: RequestRecord) -> Resolution:
        """Return the route of a request and the organisation of its caller.

        Raises ``NotRunError`` if there is no manifest, no route, or no key where one is needed.
        Without a route, no key is needed to hear of that.
        """
        timeout_ms = parse_deadline_ms(request.get_header(self._dialect.deadline))
        table = self._manifests.current or self._first_manifest.wait(
            arrived_ms=request.arrived_ms,
            timeout_ms=timeout_ms,
            should_stop_waiting=request.monitor.should_stop_waiting,
        )
        if table is None:
            raise NotRunError(
                "503 Service Unavailable",
                "no-manifest",
                "this instance has no manifest yet; retry later",
                retry_after_s=NO_MANIFEST_RETRY_AFTER_S,
            )
        while True:
            record.manifest_version = table.version
            try:
                return _resolve(table, request, record)
            except NotRunError:
                newer = self._wait_for_newer(table, request, timeout_ms)
                if newer is None:
                    record.manifest_source = self._describe_manifest()
                    raise
                table = newer

    def _wait_for_newer(
        self, table: RoutingTable, request: CallerRequest, timeout_ms: float | None
    ) -> RoutingTable | None:
        if table.keys is None:
            # Without organisations a missing route is reported at once.
            return None
        return self._newer.wait(
            table.version,
            arrived_ms=request.arrived_ms,
            timeout_ms=timeout_ms,
            should_stop_waiting=request.monitor.should_stop_waiting,
        )

    def make_key_check(self, resolution: Resolution) -> KeyCheck:
        """Return the check that goes before each attempt of a resolved request."""
        return KeyCheck(
            self._manifests,
            checked=resolution.table,
            kind=resolution.route.kind,
            withheld_headers=self._dialect.withheld_headers,
        )


def _resolve(table: RoutingTable, request: CallerRequest, record: RequestRecord) -> Resolution:
    headers = request.headers
    name = RequestName(
        host=headers.get("HOST", ""),
        path=request.path,
        urn=headers.get("URN", ""),
        target_path=request.target.partition("?")[0],
    )
    try:
        record.route = table.resolve(name)
    except RouteError as error:
        raise NotRunError("404 Not Found", "no-route", str(error)) from error
    record.organisation = identify_caller(table, record.route.kind, headers)
    return Resolution(table, record.route, record.organisation)
