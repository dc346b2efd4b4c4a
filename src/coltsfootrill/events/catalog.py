"""Event types of the structured log; the tag of a class is the ``event`` field of its lines."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, kw_only=True, tag_field="event", omit_defaults=True):
    """Base class of all events.

    Durations are in milliseconds; ages are measured at the moment of the decision.
    """


class Started(Event, kw_only=True, tag="started"):
    """The process has started to serve requests."""

    zone: str
    version: str


class Stopping(Event, kw_only=True, tag="stopping"):
    """The process was asked to stop while ``in_progress`` requests were unanswered."""

    in_progress: int


class Stopped(Event, kw_only=True, tag="stopped"):
    """The process exits; ``cut`` requests were aborted without an answer."""

    cut: int


class Reloaded(Event, kw_only=True, tag="reloaded"):
    """The settings file was read again: the ``changed`` settings, or the ``error`` in the file."""

    cause: str
    changed: list[str]
    error: str = ""


class DependencyLost(Event, kw_only=True, tag="dependency-lost"):
    """Another process, the majority of the replicas or the disk became unavailable."""

    dependency: str
    reason: str


class DependencyRegained(Event, kw_only=True, tag="dependency-regained"):
    """A lost dependency is available again, after ``lost_for_ms``."""

    dependency: str
    lost_for_ms: float


class UpstreamChanged(Event, kw_only=True, tag="upstream-changed"):
    """The state of an upstream, as this instance sees it, changed."""

    upstream: str
    incarnation: int
    before: str
    after: str


class UpstreamEjected(Event, kw_only=True, tag="upstream-ejected"):
    """An upstream was ejected for its errors or latency: no new requests for ``for_ms``.

    ``reason`` is ``errors`` or ``latency``. ``limit_ratio`` is the multiple of the limit that was
    reached; the limit depends on how the other upstreams of the service do.
    """

    upstream: str
    service: str
    for_ms: float
    reason: str = ""
    limit_ratio: float = 0.0


class UpstreamReadmitted(Event, kw_only=True, tag="upstream-readmitted"):
    """An ejection has ended: the upstream receives requests again, with slow start."""

    upstream: str
    service: str


class UpstreamRateLimited(Event, kw_only=True, tag="upstream-rate-limited"):
    """An upstream states that it takes ``per_s`` requests a second from all instances together.

    Without ``per_s`` it states no rate any more, or has left.
    """

    upstream: str
    service: str
    per_s: float | None = None


class UpstreamsWarmingUp(Event, kw_only=True, tag="upstreams-warming-up"):
    """``count`` upstreams of a service are cold, and limited to ``per_s`` requests a second each.

    The rate is that of all instances together. ``upstreams`` names some of them. A ``count`` of 0
    means that all are warm again, or have left.
    """

    service: str
    count: int
    upstreams: list[str] = []
    per_s: float | None = None


class CrashingRequest(Event, kw_only=True, tag="crashing-request"):
    """A request is refused from now on: each of ``upstreams`` crashed during it, none answered it.

    ``digest`` identifies the request by its method, target, caller and body, and by its other
    headers if they are the same each time.
    """

    digest: str
    upstreams: list[str]


class InstancesChanged(Event, kw_only=True, tag="instances-changed"):
    """The set of known instances in the fleet changed; ``count`` is its new size."""

    count: int
    joined: list[str] = []
    left: list[str] = []


class RetriesExhausted(Event, kw_only=True, tag="retries-exhausted"):
    """An extra attempt was not sent because the retry budget of its service is used up.

    Extra attempts are retries and hedges. ``spent`` of them are counted against the budget, which
    allows ``allowed``.
    """

    service: str
    spent: int
    allowed: float


class RetriesAvailable(Event, kw_only=True, tag="retries-available"):
    """The retry budget of a service allows extra attempts again, after ``after_ms``."""

    service: str
    after_ms: float


class ManifestAdopted(Event, kw_only=True, tag="manifest-adopted"):
    """Manifest ``version`` is in force on this instance, in place of ``before`` (0 for none)."""

    version: int
    before: int
    digest: str


class ManifestFetched(Event, kw_only=True, tag="manifest-fetched"):
    """A fetch of manifest ``version`` from a hub that reported it has ended, after ``took_ms``.

    ``error`` is the reason if it failed; the next reply of a hub starts another fetch.
    """

    hub: str
    version: int
    took_ms: float
    error: str = ""


class ManifestSubmitted(Event, kw_only=True, tag="manifest-submitted"):
    """A manifest submitted by an operator was accepted or refused, as ``result`` states."""

    version: int
    base_version: int | None
    operator: str
    digest: str
    result: str
    message: str = ""
    took_ms: float = 0


class ManifestRead(Event, kw_only=True, tag="manifest-read"):
    """An operator read the manifest with ``digest``, or could not because of ``error``.

    It was newest at a moment of the last ``took_ms``. The reply of ``size_bytes`` is sent after
    this line, or from the control interface that the caller was redirected to.
    """

    took_ms: float
    digest: str = ""
    size_bytes: int = 0
    redirected_to: str | None = None
    error: str = ""


class ZoneOrdersAdopted(Event, kw_only=True, tag="zone-orders-adopted"):
    """The orders on availability zones up to ``number`` are in force on this instance.

    Nothing more is sent to the upstreams of the ``evacuated`` zones.
    """

    number: int
    evacuated: list[str]
    before: list[str]


class ZoneOrdered(Event, kw_only=True, tag="zone-ordered"):
    """An order of an operator on an availability zone was carried out or not, as ``result`` states.

    ``action`` is ``evacuate`` or ``restore``; ``number`` is that of the newest order in force.
    """

    action: str
    zone: str
    operator: str
    number: int
    result: str
    message: str = ""
    took_ms: float = 0


class ReplicasChanged(Event, kw_only=True, tag="replicas-changed"):
    """The set of voting control replicas changed to ``replicas``."""

    replicas: list[str]


class Attempt(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One attempt at an upstream, started ``after_ms`` after the arrival of the request.

    ``occupancy``, which includes this request, and ``pace`` are the state of the upstream when it
    was chosen, from a load report that was ``report_age_ms`` old. ``chosen_by`` is the instance
    that chose the upstream, empty if it was the logging one.

    ``connection`` numbers the connection that it was sent on, within one run of the process; 0 if
    it was not sent. ``earlier_requests`` were sent on it before, none on a fresh one. ``skipped``
    answers that do not name the request arrived instead of its answer, or before it; ``surplus``
    states that bytes arrived together with the answer, behind it.
    """

    upstream: str
    after_ms: float
    took_ms: float
    result: str
    occupancy: float = 0
    pace: float = 1.0
    report_age_ms: float = 0
    chosen_by: str = ""
    connection: int = 0
    earlier_requests: int = 0
    skipped: int = 0
    surplus: bool = False


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """State of a service when a request was refused for lack of an upstream.

    Of ``upstreams`` upstreams, ``ejected`` received no new requests, ``rate_limited`` had no
    request left at the rate that they state, ``declined`` wanted none of this instance, and
    ``with_room`` had a free slot according to their last load reports, the newest of which was
    ``report_age_ms`` old.
    ``waiting`` requests were queued, and the typical latency of the service was ``usual_ms``.
    """

    upstreams: int
    ejected: int
    with_room: int
    waiting: int
    usual_ms: float
    report_age_ms: float
    rate_limited: int = 0
    declined: int = 0


class HubReply(msgspec.Struct, frozen=True, kw_only=True):
    """The last reply of a hub, ``age_ms`` ago, and the manifest ``version`` that it reported.

    ``is_current`` is whether a majority had confirmed the state of the hub.
    """

    hub: str
    age_ms: float
    version: int
    is_current: bool


class ManifestSource(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance knows of its manifest: in force for ``age_ms``, and the replies of hubs.

    The hub that replied last is the first of ``replies``.
    """

    age_ms: float
    replies: list[HubReply]


class RequestEnded(Event, kw_only=True, tag="request-ended"):
    """A request was answered, or its caller disconnected.

    ``manifest`` is the manifest version that it was handled under, ``organisation`` the name of
    the one whose key it carried, if any. ``admission`` is set when it was refused for lack of an
    upstream, ``manifest_source`` when the manifest has no route for it or does not know its key.
    """

    id: str
    service: str
    kind: str
    manifest: int
    status: str
    outcome: str
    reason: str
    took_ms: float
    deadline_ms: float
    organisation: str = ""
    attempts: list[Attempt] = []
    message: str = ""
    admission: Admission | None = None
    manifest_source: ManifestSource | None = None


class RequestsSummed(Event, kw_only=True, tag="requests-summed"):
    """Summary of the ordinary answers since the last summary, which have no lines of their own.

    ``took_ms`` is their mean latency.
    """

    answered: int
    took_ms: float


class LinesDropped(Event, kw_only=True, tag="lines-dropped"):
    """``count`` lines were dropped: the queue was full or the lines per second were limited."""

    count: int


AnyEvent = (
    Started
    | Stopping
    | Stopped
    | Reloaded
    | DependencyLost
    | DependencyRegained
    | UpstreamChanged
    | UpstreamEjected
    | UpstreamReadmitted
    | UpstreamRateLimited
    | UpstreamsWarmingUp
    | CrashingRequest
    | InstancesChanged
    | RetriesExhausted
    | RetriesAvailable
    | ManifestAdopted
    | ManifestFetched
    | ManifestSubmitted
    | ManifestRead
    | ZoneOrdersAdopted
    | ZoneOrdered
    | ReplicasChanged
    | RequestEnded
    | RequestsSummed
    | LinesDropped
)
