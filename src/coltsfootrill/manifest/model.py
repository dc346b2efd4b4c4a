"""Types of the manifest. Durations are in milliseconds, shares are between 0 and 1."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import msgspec

SCHEMA_VERSION = 1
# The longest deadline that a manifest may state.
DEADLINE_MAX_MS = 3_600_000

Identifier = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
UpstreamPattern = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9*?._-]{1,64}$")]
NameText = Annotated[str, msgspec.Meta(min_length=3, max_length=300)]
DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=DEADLINE_MAX_MS)]
LatestMs = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
AttemptCount = Annotated[int, msgspec.Meta(ge=0, le=5)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Quantile = Annotated[float, msgspec.Meta(ge=0.5, lt=1)]
Version = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=1_000)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
OrganisationName = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,64}$")]
KeyText = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,256}$")]
RatePerS = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
BurstCount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
Priority = Literal["interactive", "normal", "deferrable"]


class SplitPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One of the services among which a kind's requests are split, in proportion to ``weight``."""

    service: Identifier
    weight: Weight


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One kind of request: its names and the rules for it.

    ``latest_ms`` is how long a deferrable request may wait before it is treated as urgent.
    ``hedge_quantile`` is the quantile of the kind's own latency after which a request is hedged.
    ``rank`` orders kinds of the same priority, 0 first. ``target_ms`` is the latency within which
    an answer has its full value; without ``hedge_quantile``, an idempotent request that may miss
    its target is hedged. ``attempts_max`` limits the number of upstreams that one request is sent
    to, including hedges. With ``split``, requests are distributed among the services listed there
    instead of going to the service that contains the kind. ``is_public`` kinds need no key of an
    organisation.
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
    is_public: bool = False


class WarmUp(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an upstream of a service tolerates while it is cold.

    It is cold for ``duration_ms`` after its start, and takes ``requests_per_second`` of all
    instances together meanwhile.
    """

    duration_ms: Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
    requests_per_second: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One organisation whose callers use the fleet, with the keys by which it is known.

    ``rank`` goes before that of the kind, 0 first. ``rate_per_s`` and ``burst`` limit its requests
    on all instances together; a rate of 0 means no limit.
    """

    name: OrganisationName
    keys: Annotated[list[KeyText], msgspec.Meta(max_length=1_000)]
    rank: Rank | None = None
    rate_per_s: RatePerS = 0
    burst: BurstCount = 0

    @property
    def has_quota(self) -> bool:
        """Return whether its requests are limited."""
        return self.rate_per_s > 0

    def __repr__(self) -> str:
        """Return a text without the keys, which are secrets."""
        return f"Organisation({self.name!r})"


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One service: patterns for the identifiers of its upstreams, and its request kinds.

    ``retry_share`` limits retries and hedges together to a share of first attempts.
    ``health_path`` is the path of the health check on the service's upstreams; without it,
    ``ProbeLimits.path`` is used. ``warm_up`` is ``None`` if its upstreams need no warm-up.
    """

    id: Identifier
    upstreams: Annotated[list[UpstreamPattern], msgspec.Meta(min_length=1, max_length=64)]
    kinds: Annotated[list[Kind], msgspec.Meta(min_length=1, max_length=10_000)]
    retry_share: Share = 0.1
    health_path: str | None = None
    warm_up: WarmUp | None = None


class ProbeLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits on probes of one upstream by the whole fleet of entry instances together.

    ``requests_per_second`` limits the number of probes. ``time_share`` limits the share of an
    upstream's time that probes may take, at ``probe_cost_ms`` for each probe. ``path`` is the
    path probed unless a service has its own.
    """

    requests_per_second: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0.2
    time_share: Share = 0.001
    probe_cost_ms: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 5.0
    path: Annotated[str, msgspec.Meta(pattern=r"^/[!-~]{0,200}$")] = "/load"


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits on what a caller sends and on how long its connection may stay idle.

    ``receive_timeout_ms`` is the longest pause within a request that has begun to arrive,
    ``idle_timeout_ms`` the longest pause between requests.
    """

    head_max_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=2**24)] = 64 * 1024
    body_max_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**30)] = 8 * 1024 * 1024
    receive_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 30_000
    idle_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 120_000


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A complete manifest.

    ``version`` increases with each change; ``schema`` is the version of the manifest format.
    With ``organisations``, requests of kinds that are not public need a key of one of them;
    ``None`` means that callers need no key.
    """

    schema: int
    version: Version
    services: Annotated[list[Service], msgspec.Meta(min_length=1, max_length=1000)]
    measuring: ProbeLimits = msgspec.field(default_factory=ProbeLimits)
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
    organisations: Annotated[list[Organisation], msgspec.Meta(max_length=10_000)] | None = None
