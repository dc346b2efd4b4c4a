"""Who tells whom: decisions on the instances that are known, the same on all that know the same."""

from __future__ import annotations

from collections.abc import Sequence

import google_crc32c

from coltsfootrill.membership.messages import InstanceRecord

# More neighbours than these are told by collectors.
DIRECT_MAX_COUNT = 14
COLLECTORS_COUNT = 2
DISPATCHERS_COUNT = 3


def rank(key: str, instance_id: str) -> int:
    """Return the weight of an instance for a key; the highest one is responsible for it."""
    return int(google_crc32c.value(f"{key}/{instance_id}".encode()))


def list_dispatchers(service_id: str, instances: Sequence[InstanceRecord]) -> list[InstanceRecord]:
    """Return the instances that may choose for the whole fleet where a service's requests go.

    The first one does; the next ones take its place while it does not answer. Those with the
    widest links come first.
    """
    return sorted(
        instances,
        key=lambda record: (record.link_mbps, rank(service_id, record.id)),
        reverse=True,
    )[:DISPATCHERS_COUNT]


def list_neighbours(own: InstanceRecord, instances: Sequence[InstanceRecord]) -> list[str]:
    """Return the addresses of the other instances in the own zone."""
    return [
        record.address for record in instances if record.zone == own.zone and record.id != own.id
    ]


def list_collectors(zone: str, instances: Sequence[InstanceRecord]) -> list[InstanceRecord]:
    """Return the collectors of a zone, those with the widest links; none where it is small."""
    members = [record for record in instances if record.zone == zone]
    if len(members) <= DIRECT_MAX_COUNT + 1:
        return []
    members.sort(key=lambda record: (record.link_mbps, rank(zone, record.id)), reverse=True)
    return members[:COLLECTORS_COUNT]


def choose_collector(
    own: InstanceRecord, instances: Sequence[InstanceRecord], *, turn: int
) -> str | None:
    """Return the address of the collector for a turn, ``None`` where all are told directly.

    The turns alternate, so that one that is lost costs every other report until it is noticed.
    """
    collectors = list_collectors(own.zone, instances)
    return collectors[turn % len(collectors)].address if collectors else None


def choose_relays(own: InstanceRecord, instances: Sequence[InstanceRecord]) -> list[str]:
    """Return the address of one instance in each other zone, spread over the senders."""
    zones = sorted({record.zone for record in instances} - {own.zone})
    relays: list[str] = []
    for zone in zones:
        members = list_collectors(zone, instances) or [
            record for record in instances if record.zone == zone
        ]
        relays.append(max(members, key=lambda record: rank(own.id, record.id)).address)
    return relays
