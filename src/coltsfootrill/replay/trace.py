"""Traces: JSON lines with the calls, the behaviour of upstreams, and the expected outcomes."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Annotated

import msgspec

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.replay.workloads import KindSpec
from coltsfootrill.replay.workloads import ServiceSpec

TRACE_FORMAT = 1
LINE_MAX_BYTES = 100_000


class TraceError(ColtsfootrillError):
    """A trace file cannot be read or is malformed."""


class Expectation(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits on the figures of a replay; shares are fractions of all requests."""

    runs_per_request_max: int = 1
    wrong_answers_max: int = 0
    not_run_but_run_max: int = 0
    answered_share_min: float = 0.99
    work_after_leaving_ms_max: float = 3_000.0


class TraceHead(msgspec.Struct, tag="head", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The first line of a trace: how it was generated, and what its replay must achieve."""

    format: int
    workload: str
    seed: int
    duration_ms: float
    expect: Expectation


class Arrival(msgspec.Struct, tag="call", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One call, made ``at_ms`` after the start of the replay."""

    at_ms: Annotated[float, msgspec.Meta(ge=0)]
    service: str
    kind: str
    name: str
    idempotent: bool
    deadline_ms: float


class UpstreamEvent(
    msgspec.Struct, tag="do", frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A change in the behaviour of a fake upstream, ``at_ms`` after the start of the replay."""

    at_ms: Annotated[float, msgspec.Meta(ge=0)]
    upstream: str
    behaviour: str
    factor: float = 1.0


class Trace:
    """A complete trace; arrivals and events are sorted by time."""

    __slots__ = ("arrivals", "events", "head")

    def __init__(
        self, head: TraceHead, arrivals: list[Arrival], events: list[UpstreamEvent]
    ) -> None:
        self.head = head
        self.arrivals = arrivals
        self.events = events

    @classmethod
    def from_file(cls, path: Path) -> Trace:
        """Return the trace in a file; raise ``TraceError``, which names an invalid line."""
        decoder = msgspec.json.Decoder(TraceHead | Arrival | UpstreamEvent)
        head: TraceHead | None = None
        arrivals: list[Arrival] = []
        events: list[UpstreamEvent] = []
        try:
            lines = path.read_bytes().splitlines()
        except OSError as error:
            raise TraceError(f"cannot read {path}: {error.strerror}") from error
        for number, line in enumerate(lines, start=1):
            if len(line) > LINE_MAX_BYTES:
                raise TraceError(f"{path}, line {number}: longer than {LINE_MAX_BYTES} bytes")
            try:
                item = decoder.decode(line)
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                raise TraceError(f"{path}, line {number}: {error}") from error
            if isinstance(item, TraceHead):
                head = item
            elif isinstance(item, Arrival):
                arrivals.append(item)
            else:
                events.append(item)
        if head is None or head.format != TRACE_FORMAT:
            raise TraceError(f"{path}: no trace head of format {TRACE_FORMAT}")
        arrivals.sort(key=lambda arrival: arrival.at_ms)
        events.sort(key=lambda event: event.at_ms)
        return cls(head, arrivals, events)

    def write(self, path: Path) -> None:
        """Write the trace to a file, one JSON object per line."""
        items = [self.head, *self.arrivals, *self.events]
        path.write_bytes(b"".join(msgspec.json.encode(item) + b"\n" for item in items))


def generate_trace(
    name: str,
    services: list[ServiceSpec],
    *,
    seed: int,
    duration_ms: float,
    rate_per_s: float,
    with_faults: bool,
) -> Trace:
    """Return a trace of one workload with Poisson arrivals and optional faults of its upstreams.

    The same arguments always give the same trace.
    """
    random = Random(seed)
    arrivals = _generate_arrivals(services, random, duration_ms, rate_per_s)
    events = _generate_faults(services, random, duration_ms) if with_faults else []
    # A service with faulty and leaving upstreams must still answer nearly all of its requests.
    expect = Expectation(answered_share_min=0.97 if with_faults else 0.99)
    head = TraceHead(
        format=TRACE_FORMAT, workload=name, seed=seed, duration_ms=duration_ms, expect=expect
    )
    return Trace(head, arrivals, events)


def _generate_arrivals(
    services: list[ServiceSpec], random: Random, duration_ms: float, rate_per_s: float
) -> list[Arrival]:
    choices: list[tuple[ServiceSpec, KindSpec]] = [
        (service, kind) for service in services for kind in service.kinds
    ]
    weights = [kind.weight for _, kind in choices]
    arrivals: list[Arrival] = []
    at_ms = random.expovariate(rate_per_s) * 1000
    while at_ms < duration_ms:
        service, kind = random.choices(choices, weights)[0]
        arrivals.append(
            Arrival(
                at_ms=round(at_ms, 3),
                service=service.id,
                kind=kind.id,
                name=kind.name,
                idempotent=kind.idempotent,
                deadline_ms=kind.deadline_ms,
            )
        )
        at_ms += random.expovariate(rate_per_s) * 1000
    return arrivals


# Behaviour and factor; the factor matters for stragglers only.
_FAULTS: tuple[tuple[str, float], ...] = (
    ("straggle", 20.0),
    ("fail-fast", 1.0),
    ("shed", 1.0),
    ("silent", 1.0),
    ("lie", 1.0),
    ("short", 1.0),
    ("surplus", 1.0),
)


def _generate_faults(
    services: list[ServiceSpec], random: Random, duration_ms: float
) -> list[UpstreamEvent]:
    events: list[UpstreamEvent] = []
    for service in services:
        upstream_ids = [f"{service.id}-{index}" for index in range(service.upstream_count)]
        random.shuffle(upstream_ids)
        leaving_id = upstream_ids.pop()
        events.append(
            UpstreamEvent(
                at_ms=duration_ms * 0.4, upstream=leaving_id, behaviour="leave", factor=1.0
            )
        )
        for upstream_id in upstream_ids[: max(1, len(upstream_ids) // 3)]:
            behaviour, factor = random.choice(_FAULTS)
            start_ms = random.uniform(0.1, 0.6) * duration_ms
            events.append(
                UpstreamEvent(
                    at_ms=start_ms, upstream=upstream_id, behaviour=behaviour, factor=factor
                )
            )
            events.append(
                UpstreamEvent(
                    at_ms=start_ms + 0.2 * duration_ms, upstream=upstream_id, behaviour="normal"
                )
            )
    return sorted(events, key=lambda event: event.at_ms)
