"""The interface through which the balancer gets the upstreams that may get new work."""

from __future__ import annotations

from typing import Protocol

from coltsfootrill.registry.directory import UpstreamRecord


class UpstreamSource(Protocol):
    """The usable upstreams; no method blocks."""

    @property
    def generation(self) -> int:
        """Return a number that grows when the usable upstreams change, except by lease expiry."""

    def list_usable(self) -> list[UpstreamRecord]:
        """Return the upstreams that may get new work now."""

    def get_lease_end_ms(self, records: list[UpstreamRecord]) -> float:
        """Return when the first lease of ``records`` ends, unless it is renewed."""

    def confirm(self, upstream_id: str, incarnation: int, sent_ms: float) -> None:
        """Extend the lease of an upstream that answered a request sent at ``sent_ms``."""

    def record_leaving(self, upstream_id: str, incarnation: int) -> None:
        """Use an upstream no more, whose answer stated that this incarnation of it is leaving.

        Its announcement may not have arrived here yet.
        """
