"""Messages between entry instances, encoded as MessagePack arrays."""

from __future__ import annotations

import msgspec

from coltsfootrill.registry.announcement import Announcement


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """One entry instance. ``boot`` grows with each start; ``is_leaving`` is its goodbye.

    ``link_mbps`` is the bandwidth of its link in Mbit/s, 0 where that is not known.
    """

    id: str
    boot: int
    address: str
    zone: str
    is_leaving: bool
    manifest_version: int
    link_mbps: float = 0


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for updates after ``position`` of the boot ``boot`` of the instance that is asked.

    The answer may be held back for ``hold_ms`` while there is no change. ``unresponsive`` names the
    instances that the sender does not hear directly, so that their renewals are passed on.
    """

    sender: InstanceRecord
    boot: int
    position: int
    hold_ms: int
    unresponsive: list[str]


class SharedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """A changed upstream, with the age of the evidence for its lease in milliseconds."""

    announcement: Announcement
    origin: str
    age_ms: int


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """A renewed lease of an upstream that the receiver knows already."""

    id: str
    incarnation: int
    age_ms: int


class PullReply(msgspec.Struct, frozen=True, array_like=True):
    """Updates up to ``position``; ``held_ms`` is how long the request was held back."""

    sender: InstanceRecord
    position: int
    held_ms: int
    upstreams: list[SharedUpstream]
    renewals: list[Renewal]
    instances: list[InstanceRecord]


class FollowRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a hub for news after ``position`` of its boot ``boot``.

    ``is_candidate`` tells that the sender has a disk and could vote; ``is_hub`` that it votes,
    so that it needs renewals too.
    """

    sender: InstanceRecord
    is_candidate: bool
    is_hub: bool
    boot: int
    position: int
    hold_ms: int


class FollowReply(msgspec.Struct, frozen=True, array_like=True):
    """What a hub knows, up to ``position``; ages are in milliseconds when the reply was made.

    ``is_current`` tells that a majority of the replicas confirmed the hub's state of late, and
    ``is_settled`` that it has run long enough to have heard of every upstream. ``replicas`` are
    the addresses that vote. What follows tells changes, and all there is if ``is_whole``:
    ``live`` upstreams announced themselves of late, ``silent`` ones did no more; ``instances``
    began to follow the hub or changed, ``departed_instances`` follow it no more.
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


class AnnounceReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether an announcement is known widely enough to be acknowledged."""

    is_known: bool
    message: str


class LeaveRequest(msgspec.Struct, frozen=True, array_like=True):
    """An upstream leaves; ``incarnation`` is ``None`` when it did not tell it."""

    upstream_id: str
    incarnation: int | None


class ManifestRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a peer for a manifest newer than ``known_version``."""

    known_version: int


class ManifestReply(msgspec.Struct, frozen=True, array_like=True):
    """A manifest as it was submitted; empty when there is none that is newer."""

    version: int
    raw: bytes
