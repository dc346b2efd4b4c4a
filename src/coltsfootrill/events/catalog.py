"""Every event that the program logs; the tag of a class is the ``event`` of its line."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, kw_only=True, tag_field="event", omit_defaults=True):
    """Base of all events. Times are in milliseconds, ages at the moment of the decision."""


class Started(Event, kw_only=True, tag="started"):
    """The process serves."""

    zone: str
    version: str


class Stopping(Event, kw_only=True, tag="stopping"):
    """The process was asked to stop; ``in_progress`` requests are not answered yet."""

    in_progress: int


class Stopped(Event, kw_only=True, tag="stopped"):
    """The process ends; ``cut`` requests had no answer."""

    cut: int


class Reloaded(Event, kw_only=True, tag="reloaded"):
    """The settings file was read again."""

    cause: str
    changed: list[str]
    error: str = ""


class DependencyLost(Event, kw_only=True, tag="dependency-lost"):
    """Another process, the majority or the disk cannot be used."""

    dependency: str
    reason: str


class DependencyRegained(Event, kw_only=True, tag="dependency-regained"):
    """What was lost can be used again."""

    dependency: str
    lost_for_ms: float


class UpstreamChanged(Event, kw_only=True, tag="upstream-changed"):
    """Another state of an upstream is believed."""

    upstream: str
    incarnation: int
    before: str
    after: str


class UpstreamEjected(Event, kw_only=True, tag="upstream-ejected"):
    """New work is kept from an upstream for a while, for its errors or its slowness."""

    upstream: str
    service: str
    for_ms: float


class UpstreamReadmitted(Event, kw_only=True, tag="upstream-readmitted"):
    """An ejection has ended: the upstream gets new work again, little at first."""

    upstream: str
    service: str


class InstancesChanged(Event, kw_only=True, tag="instances-changed"):
    """Other instances of the fleet are known."""

    count: int
    joined: list[str] = []
    left: list[str] = []


class RetriesExhausted(Event, kw_only=True, tag="retries-exhausted"):
    """A further attempt was not made, as the budget of its service is spent.

    ``spent`` further attempts count now, of ``allowed`` ones.
    """

    service: str
    spent: int
    allowed: float


class RetriesAvailable(Event, kw_only=True, tag="retries-available"):
    """The budget of a service allows further attempts again."""

    service: str
    after_ms: float


class ManifestAdopted(Event, kw_only=True, tag="manifest-adopted"):
    """Another manifest is in force here."""

    version: int
    before: int
    digest: str


class ManifestSubmitted(Event, kw_only=True, tag="manifest-submitted"):
    """An operator's manifest was accepted or refused."""

    version: int
    base_version: int | None
    operator: str
    digest: str
    result: str
    message: str = ""
    took_ms: float = 0


class ReplicasChanged(Event, kw_only=True, tag="replicas-changed"):
    """Another set of voting replicas is known."""

    replicas: list[str]


class Attempt(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One attempt at an upstream: when it started after the arrival, and how it ended.

    ``occupancy`` and ``pace`` are what was known of the upstream when it was chosen, the request
    included, from a report of ``report_age_ms`` before. ``chosen_by`` is the instance that chose
    the upstream, where that was another one.
    """

    upstream: str
    after_ms: float
    took_ms: float
    result: str
    occupancy: float = 0
    pace: float = 1.0
    report_age_ms: float = 0
    chosen_by: str = ""


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """What was known of a service when a request found no upstream.

    Of its ``upstreams``, ``ejected`` ones are kept from new work, ``with_room`` had a free slot by
    their last report; the newest of these reports was ``report_age_ms`` old. ``waiting`` requests
    had no upstream yet, and the work usually takes ``usual_ms``.
    """

    upstreams: int
    ejected: int
    with_room: int
    waiting: int
    usual_ms: float
    report_age_ms: float


class RequestEnded(Event, kw_only=True, tag="request-ended"):
    """A request got its answer, or lost its caller.

    ``manifest`` is the version that it ran under; ``admission`` is there when it was refused for
    want of an upstream.
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
    attempts: list[Attempt] = []
    message: str = ""
    admission: Admission | None = None


class RequestsSummed(Event, kw_only=True, tag="requests-summed"):
    """Ordinary answers since the last such line, not logged one by one."""

    answered: int
    took_ms: float


class LinesDropped(Event, kw_only=True, tag="lines-dropped"):
    """Lines that did not fit into the queue or the allowance of a second."""

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
    | InstancesChanged
    | RetriesExhausted
    | RetriesAvailable
    | ManifestAdopted
    | ManifestSubmitted
    | ReplicasChanged
    | RequestEnded
    | RequestsSummed
    | LinesDropped
)
