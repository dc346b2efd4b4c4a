"""Choice of the instances that exchange load reports and of those that dispatch requests.

Each choice depends only on its arguments, so instances with the same list of instances make
consistent choices.
"""

from __future__ import annotations

from collections.abc import Sequence

import google_crc32c

from coltsfootrill.membership.messages import InstanceRecord

# A zone with more neighbours than this exchanges its load reports through collectors.
DIRECT_MAX_COUNT = 14
COLLECTORS_COUNT = 2
# A collector sends to its whole zone: a link much narrower than the widest could not carry that.
COLLECTOR_LINK_MIN_SHARE = 0.5
DISPATCHERS_COUNT = 3


def rank(key: str, instance_id: str) -> int:
    """Return the rank of an instance for a key; the instance with the highest rank owns the key."""
    return int(google_crc32c.value(f"{key}/{instance_id}".encode()))


def list_dispatchers(service_id: str, instances: Sequence[InstanceRecord]) -> list[InstanceRecord]:
    """Return the instances that may choose the upstreams of a service for the whole fleet.

    The first one is active; the next ones are its fallbacks while it does not answer. Instances
    with the highest link bandwidth come first.
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
    """Return the collectors of a zone, highest link bandwidth first; none in a small zone.

    There is only one if no other link has ``COLLECTOR_LINK_MIN_SHARE`` of its bandwidth.
    """
    members = [record for record in instances if record.zone == zone]
    if len(members) <= DIRECT_MAX_COUNT + 1:
        return []
    members.sort(key=lambda record: (record.link_mbps, rank(zone, record.id)), reverse=True)
    link_min_mbps = COLLECTOR_LINK_MIN_SHARE * members[0].link_mbps
    return [record for record in members[:COLLECTORS_COUNT] if record.link_mbps >= link_min_mbps]


def choose_collector(
    own: InstanceRecord, instances: Sequence[InstanceRecord], *, turn: int
) -> str | None:
    """Return the address of the collector for a turn, ``None`` if the zone has no collectors.

    Successive turns alternate between the collectors: if one fails, only every other report is
    lost until the failure is detected.
    """
    collectors = list_collectors(own.zone, instances)
    return collectors[turn % len(collectors)].address if collectors else None


def choose_relays(own: InstanceRecord, instances: Sequence[InstanceRecord]) -> list[str]:
    """Return the address of one relay in each other zone, chosen by a hash of the sender."""
    zones = sorted({record.zone for record in instances} - {own.zone})
    relays: list[str] = []
    for zone in zones:
        members = list_collectors(zone, instances) or [
            record for record in instances if record.zone == zone
        ]
        relays.append(max(members, key=lambda record: rank(own.id, record.id)).address)
    return relays
