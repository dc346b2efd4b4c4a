"""Operations that a control interface offers to operators and upstreams of a deployment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from coltsfootrill.control.submission import SubmitAnswer
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.registry.announcement import Announcement


class ControlOperations(Protocol):
    """What a node does for operators and upstreams, whoever holds the state."""

    def announce(self, announcement: Announcement) -> str | None:
        """Take an announcement and return the address for later ones, if there is a better one.

        Raises ``NoQuorumError`` when it is not known widely enough to be acknowledged.
        """

    def leave(self, upstream_id: str, incarnation: int | None) -> None:
        """Take the goodbye of an upstream; raise ``NoQuorumError`` as ``announce`` does."""

    def submit(self, raw: bytes, *, base_version: int | None, operator: str) -> SubmitAnswer:
        """Submit a manifest; raise ``InvalidManifestError`` and the errors of the register."""

    def read_manifest(self) -> bytes:
        """Return the newest accepted manifest; raise ``NoQuorumError`` when not certain."""


class ControlInterface:
    """The routes of one deployment, added to the applications of its two ports."""

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
