"""What an instance keeps of the upstreams of one service in evacuated availability zones."""

from __future__ import annotations

from collections.abc import Mapping

from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.rate_limit import RateLimit
from coltsfootrill.balancer.rate_limit import RateShares
from coltsfootrill.balancer.upstream_record import is_same_upstream
from coltsfootrill.registry.directory import UpstreamRecord
from coltsfootrill.zones.evacuation import EvacuatedZones


class EvacuatedLoads:
    """The evacuated upstreams, with their loads at that time if they got requests before.

    When their zone is restored, only the rates that they had stated are used again: loads and
    errors seen before the evacuation tell nothing of an upstream that has been idle or restarted.
    """

    __slots__ = ("_load_by_id", "_zones")

    def __init__(self, zones: EvacuatedZones) -> None:
        self._zones = zones
        self._load_by_id: dict[str, UpstreamLoad | None] = {}

    def __len__(self) -> int:
        return len(self._load_by_id)

    def list_open(self, records: Mapping[str, UpstreamRecord]) -> dict[str, UpstreamRecord]:
        """Return the upstreams outside evacuated zones."""
        return {
            upstream_id: record
            for upstream_id, record in records.items()
            if not self._zones.is_evacuated(record.announcement.zone)
        }

    def replace(self, evacuated_ids: set[str], gone: Mapping[str, UpstreamLoad]) -> None:
        """Keep the loads of ``evacuated_ids`` only; those of ``gone`` got requests until now."""
        self._load_by_id = {
            upstream_id: gone.get(upstream_id) or self._load_by_id.get(upstream_id)
            for upstream_id in evacuated_ids
        }

    def find_rate_limit(self, record: UpstreamRecord) -> RateLimit | None:
        """Return the rate limit of an upstream that is back, ``None`` if it is not known."""
        load = self._load_by_id.get(record.announcement.id)
        if load is None or not is_same_upstream(load, record):
            return None
        return load.rate_limit

    def holds(self, upstream_id: str) -> bool:
        """Return whether an upstream was evacuated at the last update."""
        return upstream_id in self._load_by_id

    def set_rate_shares(self, shares: RateShares, now_ms: float) -> None:
        """Set the parts of the rates of upstreams that this instance has."""
        for load in self._load_by_id.values():
            if load is not None:
                load.rate_limit.set_shares(shares, now_ms)
