"""Loads made from the directory's records of upstreams."""

from __future__ import annotations

from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.rate_limit import RateLimit
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.table import may_serve
from coltsfootrill.registry.directory import UpstreamRecord


def select_records(service: Service, records: list[UpstreamRecord]) -> dict[str, UpstreamRecord]:
    """Return the records of the upstreams that serve ``service``, by identifier."""
    return {
        record.announcement.id: record
        for record in records
        if service.id in record.announcement.services and may_serve(service, record.announcement.id)
    }


def make_load(record: UpstreamRecord, rate_limit: RateLimit, now_ms: float) -> UpstreamLoad:
    """Return the load of an upstream about which only its announcement is known."""
    announcement = record.announcement
    return UpstreamLoad(
        id=announcement.id,
        incarnation=announcement.incarnation,
        address=announcement.address,
        zone=announcement.zone,
        slots=announcement.slots,
        now_ms=now_ms,
        rate_limit=rate_limit,
    )


def is_same_upstream(load: UpstreamLoad, record: UpstreamRecord) -> bool:
    """Return whether ``load`` is that of the start and the address in ``record``."""
    announcement = record.announcement
    return load.incarnation == announcement.incarnation and load.address == announcement.address
