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


class ManifestAdopted(Event, kw_only=True, tag="manifest-adopted"):
    """Another manifest is in force here."""

    version: int
    before: int
    digest: str


class ManifestSubmitted(Event, kw_only=True, tag="manifest-submitted"):
    """An operator's manifest was accepted or refused."""

    version: int
    base_version: int | None
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
    included, from a report of ``report_age_ms`` before.
    """

    upstream: str
    after_ms: float
    took_ms: float
    result: str
    occupancy: float = 0
    pace: float = 1.0
    report_age_ms: float = 0


class RequestEnded(Event, kw_only=True, tag="request-ended"):
    """A request got its answer, or lost its caller.

    ``waited_ms`` is the time without an upstream, ``left_ms`` what was left of its deadline.
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


class RequestsSummed(Event, kw_only=True, tag="requests-summed"):
    """Ordinary answers since the last such line, not logged one by one."""

    answered: int
    took_ms: float


class LinesDropped(Event, kw_only=True, tag="lines-dropped"):
    """Lines that did not fit into the queue or the allowance of a second."""

    count: int
