"""Typed form of the manifest. Durations are in milliseconds, shares are fractions of one."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import msgspec

SCHEMA_VERSION = 1

Identifier = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
UpstreamPattern = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9*?._-]{1,64}$")]
NameText = Annotated[str, msgspec.Meta(min_length=3, max_length=300)]
DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
LatestMs = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
AttemptCount = Annotated[int, msgspec.Meta(ge=0, le=5)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Quantile = Annotated[float, msgspec.Meta(ge=0.5, lt=1)]
Version = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=1_000)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
Priority = Literal["interactive", "normal", "deferrable"]


class SplitPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One service that shares the requests of a kind, in proportion to ``weight``."""

    service: Identifier
    weight: Weight


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One kind of request: its names and the rules for it.

    ``latest_ms`` bounds how long a deferrable request may wait before it is treated as urgent.
    ``hedge_quantile`` is the quantile of the kind's own latency after which a second attempt
    starts; without it there is no hedging. ``rank`` orders kinds of one priority, 0 first.
    ``target_ms`` is the latency within which an answer has its full worth: an idempotent request
    that may miss it is hedged. ``attempts_max`` bounds the upstreams that one request is sent to,
    hedges included. With ``split`` the
    requests are shared between services instead of going to the one the kind stands in.
    """

    id: Identifier
    names: Annotated[list[NameText], msgspec.Meta(min_length=1, max_length=64)]
    idempotent: bool
    deadline_ms: DeadlineMs
    priority: Priority = "normal"
    latest_ms: LatestMs | None = None
    retries: AttemptCount = 0
    hedge_quantile: Quantile | None = None
    rank: Rank = 0
    target_ms: DeadlineMs | None = None
    attempts_max: Annotated[int, msgspec.Meta(ge=1, le=100)] | None = None
    split: Annotated[list[SplitPart], msgspec.Meta(max_length=64)] = msgspec.field(
        default_factory=list
    )


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One service: the upstreams that may serve it, by identifier pattern, and its kinds.

    ``retry_share`` bounds retries and hedges together as a share of first attempts.
    ``health_path`` is where the service's upstreams tell their health; the path of ``ProbeLimits``
    is used without it.
    """

    id: Identifier
    upstreams: Annotated[list[UpstreamPattern], msgspec.Meta(min_length=1, max_length=64)]
    kinds: Annotated[list[Kind], msgspec.Meta(min_length=1, max_length=10_000)]
    retry_share: Share = 0.1
    health_path: str | None = None


class ProbeLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The budget for probes, per upstream and for the whole fleet of entry instances.

    ``requests_per_second`` counts probes; ``time_share`` is the share of an upstream's time that
    probes may take, where one probe takes ``probe_cost_ms``.
    """

    requests_per_second: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0.2
    time_share: Share = 0.001
    probe_cost_ms: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 5.0
    path: Annotated[str, msgspec.Meta(pattern=r"^/[!-~]{0,200}$")] = "/load"


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a caller may send, and how long it may take or leave a connection idle."""

    head_max_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=2**24)] = 64 * 1024
    body_max_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**30)] = 8 * 1024 * 1024
    receive_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 30_000
    idle_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 120_000


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole manifest. ``version`` only ever grows; ``schema`` is the version of this format."""

    schema: int
    version: Version
    services: Annotated[list[Service], msgspec.Meta(min_length=1, max_length=1000)]
    measuring: ProbeLimits = msgspec.field(default_factory=ProbeLimits)
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
