"""The part of one instance in the quotas: it asks for tokens and, with a seat, hands them out."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import Event
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.view import HubView
from coltsfootrill.metrics import Metrics
from coltsfootrill.quotas.client import QuotaClient
from coltsfootrill.quotas.limits import QuotaBounds
from coltsfootrill.quotas.seats import Seats
from coltsfootrill.quotas.server import QuotaServer
from coltsfootrill.quotas.use import QuotaUse

DEFAULT_TIMEOUT_MS = 30.0


class OrganisationIndex:
    """The organisations of the manifest in force, by name."""

    __slots__ = ("_by_name", "_manifests", "_version")

    def __init__(self, manifests: ManifestHolder) -> None:
        self._manifests = manifests
        self._version = 0
        self._by_name: dict[str, Organisation] = {}

    def find(self, name: str) -> Organisation | None:
        """Return an organisation, ``None`` if the manifest has none of this name."""
        return self._get_by_name().get(name)

    def list_all(self) -> list[Organisation]:
        """Return all organisations."""
        return list(self._get_by_name().values())

    def _get_by_name(self) -> dict[str, Organisation]:
        table = self._manifests.current
        if table is not None and table.version != self._version:
            organisations = table.manifest.organisations or []
            self._by_name = {item.name: item for item in organisations}
            self._version = table.version
        return self._by_name


class QuotaMember:
    """Connects the client and the server of an instance; ``client`` serves its requests."""

    def __init__(
        self,
        own: InstanceRecord,
        *,
        bounds: QuotaBounds,
        port: DatagramPort,
        manifests: ManifestHolder,
        view: HubView,
        is_stopping: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
        timeout_ms: float,
        on_event: Callable[[Event], None],
    ) -> None:
        self._view = view
        self._clock = clock
        self._organisations = OrganisationIndex(manifests)
        self._seats = Seats(own.id)
        self._server = QuotaServer(
            own.id,
            port=port,
            seats=self._seats,
            observe=self._observe,
            bounds=bounds,
            find_organisation=self._organisations.find,
            is_stopping=is_stopping,
            clock=clock,
        )
        self.client = QuotaClient(
            own,
            port=port,
            seats=self._seats,
            observe=self._observe,
            bounds=bounds,
            decide_here=self._server.decide,
            clock=clock,
            timeout_ms=timeout_ms or DEFAULT_TIMEOUT_MS,
            metrics=metrics,
            on_event=on_event,
        )

    def list_use(self) -> list[QuotaUse]:
        """Return the organisations of the manifest, and what this instance has done for them."""
        return [self.client.describe_use(item) for item in self._organisations.list_all()]

    def run_housekeeping(self) -> None:
        """Record which instances are listed; drop what is no longer needed."""
        self._observe()
        self._server.remove_unused()

    def _observe(self) -> None:
        self._seats.observe(
            self._view.list_instances(),
            is_current=self._view.has_current_hub(),
            now_ms=self._clock.now_ms(),
        )
