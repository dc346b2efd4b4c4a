"""Interface between the operations of a node and the HTTP routes of a deployment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.zones.orders import ZoneAction
from coltsfootrill.zones.orders import ZoneOrders


class ManifestAnswer:
    """The newest accepted manifest as it was submitted.

    ``source`` is the address of the control interface that callers are to read it from, ``None`` if
    ``raw`` is to be sent here.
    """

    __slots__ = ("raw", "source")

    def __init__(self, raw: bytes, source: str | None = None) -> None:
        self.raw = raw
        self.source = source


class ControlOperations(Protocol):
    """Operations of a node for operators and upstreams.

    Any node offers them, also one that forwards the calls to a hub or a control replica.
    """

    def announce(self, announcement: Announcement) -> str | None:
        """Store an announcement and return the address for later ones.

        The address is that of a hub in the upstream's availability zone if there is one, otherwise
        that of the hub that acknowledged it; ``None`` stands for this node.
        Raises ``NoQuorumError`` if no majority of the replicas acknowledges it.
        """

    def leave(self, upstream_id: str, incarnation: int | None, *, latest_incarnation: int) -> None:
        """Deregister an upstream; raise ``NoQuorumError`` as ``announce`` does.

        Without an ``incarnation``, all up to ``latest_incarnation`` and the one that is registered
        are deregistered. An upstream may deregister before its first announcement arrives, which is
        ignored then.
        """

    def submit(self, raw: bytes, *, base_version: int | None, operator: str) -> SubmitAnswer:
        """Submit a manifest; raise ``InvalidManifestError`` or the errors of the register."""

    def order_zone(self, action: ZoneAction, zone: str, *, operator: str) -> ZoneOrders:
        """Evacuate or restore an availability zone; return the orders in force at a majority.

        Raises ``InvalidZoneOrderError`` or the errors of the register.
        """

    def read_manifest(self) -> ManifestAnswer:
        """Return the newest accepted manifest; raise ``NoQuorumError`` without a majority."""


class ControlInterface:
    """A named set of HTTP routes for one kind of deployment, from a plug-in.

    ``add_control_routes`` adds the routes for operators and upstreams to an application,
    ``add_ready_routes`` the readiness probe.
    """

    __slots__ = ("add_control_routes", "add_ready_routes", "name")

    def __init__(
        self,
        *,
        name: str,
        add_control_routes: Callable[[HttpApp, ControlOperations], None],
        add_ready_routes: Callable[[HttpApp, Callable[[], bool]], None],
    ) -> None:
        self.name = name
        self.add_control_routes = add_control_routes
        self.add_ready_routes = add_ready_routes
