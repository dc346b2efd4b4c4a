"""Directory records of upstreams, for tests that send no announcements."""

from __future__ import annotations

from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import UpstreamRecord


def make_usable_record(upstream_id: str, *, slots: int = 3, zone: str = "z1") -> UpstreamRecord:
    """Return a record of the service ``work`` whose lease never ends."""
    announcement = Announcement(
        id=upstream_id,
        incarnation=1,
        sequence=1,
        address="10.0.0.1:80",
        zone=zone,
        services=["work"],
        slots=slots,
        state="serving",
    )
    return UpstreamRecord(announcement, origin="", last_confirmed_ms=0, lease_ms=float("inf"))
