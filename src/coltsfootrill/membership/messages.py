"""Messages between entry instances, encoded as MessagePack arrays."""

from __future__ import annotations

import msgspec

from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.zones.orders import ZoneOrders

PACE_SCALE = 100
BYTES_PER_MS_AND_MBPS = 125.0


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """One entry instance. ``boot`` grows with each start; ``is_leaving`` announces that it stops.

    ``link_mbps`` is the bandwidth of its link in Mbit/s, 0 if unknown.
    """

    id: str
    boot: int
    address: str
    zone: str
    is_leaving: bool
    manifest_version: int
    link_mbps: float = 0

    def estimate_send_ms(self, size_bytes: int) -> float:
        """Return for how long sending ``size_bytes`` fills its link, 0 if its link is unknown."""
        if not self.link_mbps:
            return 0.0
        return size_bytes / (self.link_mbps * BYTES_PER_MS_AND_MBPS)


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Long poll for the updates of a peer after ``position`` in its boot ``boot``.

    The reply may be held for ``hold_ms`` while there is no change. ``unresponsive`` names the
    instances that do not reply to the sender directly, so the peer forwards their renewals.
    """

    sender: InstanceRecord
    boot: int
    position: int
    hold_ms: int
    unresponsive: list[str]


class SharedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """A changed upstream; ``age_ms`` is the time since it was last confirmed to be serving."""

    announcement: Announcement
    origin: str
    age_ms: int


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """A renewed lease of an upstream whose announcement the receiver already has."""

    id: str
    incarnation: int
    age_ms: int


class PullReply(msgspec.Struct, frozen=True, array_like=True):
    """Updates up to ``position``; ``held_ms`` is how long the peer held the request."""

    sender: InstanceRecord
    position: int
    held_ms: int
    upstreams: list[SharedUpstream]
    renewals: list[Renewal]
    instances: list[InstanceRecord]


class FollowRequest(msgspec.Struct, frozen=True, array_like=True):
    """Long poll for the changes of a hub after ``position`` in its boot ``boot``.

    ``is_candidate`` means that the sender has a disk and could vote. ``is_hub`` means that it
    votes, and therefore needs renewals too. ``takes_packed`` means that the reply may be packed.
    """

    sender: InstanceRecord
    is_candidate: bool
    is_hub: bool
    boot: int
    position: int
    hold_ms: int
    takes_packed: bool = False


class CrashEntry(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that crashed during a request, by its identifier and incarnation.

    ``variant`` is the digest of the request with all its headers, empty if it is unknown.
    """

    upstream_id: str
    incarnation: int
    variant: bytes = b""


class SuspectEntry(msgspec.Struct, frozen=True, array_like=True):
    """A request, by its digest: the upstreams that crashed during it, or that it was answered.

    ``age_ms`` is the time since the answer or the last crash. ``variant`` is the variant that was
    answered, empty if it is unknown or is the digest itself. ``is_tried`` means that the request
    has been sent once more since it is refused.
    """

    digest: bytes
    crashes: list[CrashEntry]
    age_ms: int
    is_answered: bool
    variant: bytes = b""
    is_tried: bool = False


class DepartureEntry(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that left ``age_ms`` ago and whose announcement may arrive later.

    ``incarnation`` is the latest one that left.
    """

    upstream_id: str
    incarnation: int
    age_ms: int


class FollowReply(msgspec.Struct, frozen=True, array_like=True):
    """State of a hub up to ``position``; ages are in milliseconds at the time of the reply.

    ``is_current`` means that a majority of the replicas recently confirmed the hub's state, and
    ``is_settled`` that the hub has run long enough for every upstream to announce itself.
    ``replicas`` are the addresses of the voting replicas. The remaining fields contain the
    changes since the requested position, or the whole state if ``is_whole``: ``live`` upstreams
    became live, ``silent`` ones stopped announcing themselves, ``instances`` started to follow
    the hub or changed, and ``departed_instances`` stopped following it. ``refused`` are the latest
    requests that crash upstreams, if ``is_whole``. ``zone_orders`` are the orders on availability
    zones in force at the hub. ``departures`` are those of which ``upstreams`` has no announcement.
    """

    boot: int
    position: int
    is_current: bool
    is_settled: bool
    manifest_version: int
    instance_count: int
    upstreams: list[SharedUpstream]
    renewals: list[Renewal]
    replicas: list[str]
    is_whole: bool
    live: list[str]
    silent: list[str]
    instances: list[InstanceRecord]
    departed_instances: list[str]
    refused: list[SuspectEntry] = []
    zone_orders: ZoneOrders = ZoneOrders()
    departures: list[DepartureEntry] = []


class AnnounceReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to an announcement: whether enough replicas have it, and if not, the reason."""

    is_known: bool
    message: str


class LeaveRequest(msgspec.Struct, frozen=True, array_like=True):
    """Deregisters an upstream; ``incarnation`` is ``None`` if the upstream did not send it.

    In that case ``latest_incarnation`` is the latest one that can have sent the request.
    """

    upstream_id: str
    incarnation: int | None
    latest_incarnation: int = 0


class DepartureRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a replica to store that this incarnation of an upstream, and older ones, have left."""

    upstream_id: str
    incarnation: int


class ManifestRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to a peer for a manifest newer than ``known_version``.

    ``takes_packed`` means that the reply may be packed.
    """

    known_version: int
    takes_packed: bool = False


class ManifestReply(msgspec.Struct, frozen=True, array_like=True):
    """The manifest as it was submitted; empty if there is no newer one."""

    version: int
    raw: bytes


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream; ``pace`` is multiplied by ``PACE_SCALE``, ``None`` if not reported.

    ``slots`` is 0 without a load. ``per_s`` is the rate of requests that the upstream states,
    ``leaving_incarnation`` the incarnation of which it states that it is leaving, and ``cold_ms``
    for how much longer it is cold; ``None`` if it did not state it.
    """

    upstream_id: str
    in_flight: int
    slots: int
    pace: int | None
    age_ms: int
    per_s: float | None = None
    leaving_incarnation: int | None = None
    cold_ms: int | None = None


class LoadGossip(msgspec.Struct, frozen=True, array_like=True):
    """Loads from one instance; ``hops`` is the number of times they are still to be forwarded."""

    sender: str
    hops: int
    entries: list[LoadEntry]


class SuspectGossip(msgspec.Struct, frozen=True, array_like=True):
    """What one instance saw of requests during which upstreams crashed."""

    entries: list[SuspectEntry]
