"""Where the decisions learn which upstreams may get new work."""

from __future__ import annotations

from typing import Protocol

from coltsfootrill.registry.directory import UpstreamRecord


class UpstreamSource(Protocol):
    """The usable upstreams; none of the methods waits."""

    @property
    def generation(self) -> int:
        """Return a number that grows when the usable upstreams change, leases aside."""

    def list_usable(self) -> list[UpstreamRecord]:
        """Return the upstreams that may get new work now."""

    def get_lease_end_ms(self, records: list[UpstreamRecord]) -> float:
        """Return when the first lease of ``records`` ends, unless it is renewed."""

    def confirm(self, upstream_id: str, incarnation: int, last_confirmed_ms: float) -> None:
        """Take an upstream's own answer to a request sent at ``last_confirmed_ms`` as evidence."""
