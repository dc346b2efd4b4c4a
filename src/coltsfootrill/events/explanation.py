"""Explains the outcome of a request from the logged events that relate to it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from collections.abc import Sequence

from coltsfootrill.events.catalog import AnyEvent
from coltsfootrill.events.catalog import Attempt
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import DependencyRegained
from coltsfootrill.events.catalog import ManifestAdopted
from coltsfootrill.events.catalog import Reloaded
from coltsfootrill.events.catalog import ReplicasChanged
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.events.catalog import RetriesAvailable
from coltsfootrill.events.catalog import RetriesExhausted
from coltsfootrill.events.catalog import Started
from coltsfootrill.events.catalog import Stopping
from coltsfootrill.events.catalog import UpstreamChanged
from coltsfootrill.events.catalog import UpstreamEjected
from coltsfootrill.events.catalog import UpstreamReadmitted
from coltsfootrill.events.evidence import describe_doubts
from coltsfootrill.events.evidence import describe_evidence
from coltsfootrill.events.evidence import describe_source
from coltsfootrill.events.evidence import has_evidence
from coltsfootrill.events.reader import LoggedEvent

# Requests that ended within this time before or after a request are compared with it; the
# explain command prints this window as 2 s.
NEARBY_WINDOW_MS = 2_000
# An attempt that lasted this share of the deadline or longer is why the deadline was missed.
TIME_USED_UP_SHARE = 0.8

_LACK_BY_REASON = {
    "no-key": "It carried no key, and manifest {manifest} asks for one.",
    "malformed-key": "It did not carry exactly one key, and manifest {manifest} asks for one.",
    "unknown-key": "Manifest {manifest} has no organisation that holds its key.",
}

_INSTANCE_EVENTS = (Started, Stopping, Reloaded, ManifestAdopted, ReplicasChanged)
_UPSTREAM_EVENTS = (UpstreamChanged, UpstreamEjected, UpstreamReadmitted)
_RETRY_BUDGET_EVENTS = (RetriesExhausted, RetriesAvailable)


class AttemptCounts:
    """Results of the attempts at one upstream, by all instances, around the time of a request."""

    __slots__ = ("count_by_result", "upstream_id")

    def __init__(self, upstream_id: str, count_by_result: Counter[str]) -> None:
        self.upstream_id = upstream_id
        self.count_by_result = count_by_result


class Explanation:
    """The logged end of a request, its context, and the conclusion.

    ``state_events`` describe the state of its instance: the last event about each subject before
    the request arrived, and all events until it ended. ``upstreams`` counts the results of other
    attempts at the same upstreams, ``service_outcomes`` other logged requests of the same service
    by reason, or by outcome if they have none.
    """

    __slots__ = ("conclusion", "request", "service_outcomes", "state_events", "upstreams")

    def __init__(
        self,
        *,
        request: LoggedEvent,
        state_events: list[LoggedEvent],
        upstreams: list[AttemptCounts],
        service_outcomes: Counter[str],
        conclusion: str,
    ) -> None:
        self.request = request
        self.state_events = state_events
        self.upstreams = upstreams
        self.service_outcomes = service_outcomes
        self.conclusion = conclusion


def explain(events: Sequence[LoggedEvent], request_id: str) -> list[Explanation]:
    """Return an explanation for each logged end of the request with this id, oldest first."""
    ended: list[tuple[LoggedEvent, RequestEnded]] = [
        (logged, logged.event) for logged in events if isinstance(logged.event, RequestEnded)
    ]
    matching = [(logged, event) for logged, event in ended if event.id == request_id]
    return [_explain_request(events, ended, logged, event) for logged, event in matching]


def _explain_request(
    events: Sequence[LoggedEvent],
    ended: Sequence[tuple[LoggedEvent, RequestEnded]],
    logged: LoggedEvent,
    request: RequestEnded,
) -> Explanation:
    state_events = list(_list_state_events(events, logged, request))
    nearby = [
        other
        for other_logged, other in ended
        if other is not request and abs(other_logged.at_ms - logged.at_ms) <= NEARBY_WINDOW_MS
    ]
    upstreams = [
        AttemptCounts(upstream_id, _count_results(nearby, upstream_id))
        for upstream_id in dict.fromkeys(attempt.upstream for attempt in request.attempts)
    ]
    service_outcomes = Counter(
        other.reason or other.outcome for other in nearby if other.service == request.service
    )
    return Explanation(
        request=logged,
        state_events=state_events,
        upstreams=upstreams,
        service_outcomes=service_outcomes,
        conclusion=_describe_conclusion(request, state_events),
    )


def _list_state_events(
    events: Sequence[LoggedEvent], logged: LoggedEvent, request: RequestEnded
) -> Iterator[LoggedEvent]:
    """Yield the last event about each subject before the request arrived, then all until it ended.

    Only events of the instance that logged the request count.
    """
    upstream_ids = {attempt.upstream for attempt in request.attempts}
    arrived_ms = logged.at_ms - request.took_ms
    last_by_subject: dict[str, LoggedEvent] = {}
    during: list[LoggedEvent] = []
    for other in events:
        if other.instance != logged.instance or other.at_ms > logged.at_ms:
            continue
        if isinstance(other.event, Started):
            # A restarted process does not keep the state of the previous one.
            last_by_subject.clear()
        subject = _find_subject(other.event, upstream_ids, request.service)
        if subject is None:
            continue
        if other.at_ms >= arrived_ms:
            during.append(other)
        else:
            last_by_subject[subject] = other
    yield from sorted(last_by_subject.values(), key=lambda logged: logged.at_ms)
    yield from during


def _find_subject(event: AnyEvent, upstream_ids: set[str], service: str) -> str | None:
    """Return what an event is about, or ``None`` if it does not relate to the request."""
    if isinstance(event, _INSTANCE_EVENTS):
        return type(event).__name__
    if isinstance(event, DependencyLost | DependencyRegained):
        return f"dependency {event.dependency}"
    if isinstance(event, _UPSTREAM_EVENTS):
        kind = "state" if isinstance(event, UpstreamChanged) else "ejection"
        return f"{kind} {event.upstream}" if event.upstream in upstream_ids else None
    if isinstance(event, _RETRY_BUDGET_EVENTS):
        return "budget" if event.service == service else None
    return None


def _count_results(requests: Sequence[RequestEnded], upstream_id: str) -> Counter[str]:
    return Counter(
        attempt.result
        for request in requests
        for attempt in request.attempts
        if attempt.upstream == upstream_id
    )


def _describe_conclusion(request: RequestEnded, state_events: Sequence[LoggedEvent]) -> str:
    cause = _describe_cause(request, state_events)
    doubts = describe_doubts(request.attempts)
    return f"{cause} {doubts}" if doubts else cause


def _describe_cause(request: RequestEnded, state_events: Sequence[LoggedEvent]) -> str:
    if request.outcome == "answered":
        return _describe_answered(request)
    if request.reason == "caller-gone":
        return "The caller closed its connection before there was an answer."
    if not request.attempts:
        return _describe_unsent(request, state_events)
    return _describe_sent(request, request.attempts[-1])


def _describe_answered(request: RequestEnded) -> str:
    if len(request.attempts) > 1:
        first = request.attempts[0]
        return (
            f"Answered after {len(request.attempts)} attempts; "
            f"the first, at {first.upstream}, ended with {first.result}."
        )
    if request.attempts and request.attempts[0].after_ms > request.took_ms / 2:
        return "Answered; most of the time was spent waiting for a free upstream slot."
    return "Answered by the first upstream; most of the time was spent there."


def _describe_unsent(request: RequestEnded, state_events: Sequence[LoggedEvent]) -> str:
    lost = [logged.event for logged in state_events if isinstance(logged.event, DependencyLost)]
    if request.reason == "no-manifest":
        cause = f": {lost[-1].dependency} was lost ({lost[-1].reason})" if lost else ""
        return f"The instance had no manifest{cause}. Nothing was sent."
    admission = request.admission
    source = request.manifest_source
    if request.reason == "quota":
        return f"Refused by the quota of its organisation: {request.message}. Nothing was sent."
    if source is not None:
        return f"{_describe_lack(request)} {describe_source(source)}"
    if request.organisation and request.reason in _LACK_BY_REASON:
        return (
            f"It waited with a key of {request.organisation}, which was taken away meanwhile. "
            "Nothing was sent."
        )
    if admission is None:
        return f"Refused before any upstream was chosen: {request.message or request.reason}."
    if admission.upstreams == 0:
        return "The instance had no usable upstream of the service. Nothing was sent."
    return (
        f"No upstream slot in time: of {admission.upstreams} upstreams {admission.ejected} were "
        f"ejected and {admission.with_room} had a free slot in their last load reports "
        f"(newest {admission.report_age_ms:g} ms old); {admission.waiting} other requests were "
        f"waiting, and the typical latency is {admission.usual_ms:g} ms. Nothing was sent."
    )


def _describe_lack(request: RequestEnded) -> str:
    """Return what the request or the manifest lacks."""
    lack = _LACK_BY_REASON.get(request.reason, "Manifest {manifest} has no route for it.")
    return lack.format(manifest=request.manifest)


def _describe_sent(request: RequestEnded, last: Attempt) -> str:
    where = f"{last.upstream} (attempt {len(request.attempts)})"
    if request.outcome == "not-run":
        return _describe_refused(request, where)
    if request.reason == "deadline":
        if last.took_ms >= TIME_USED_UP_SHARE * request.deadline_ms:
            return f"{where} did not answer within the deadline; the request may have run there."
        return (
            f"The deadline passed before {where} answered; the attempt started late. "
            "The request may have run there."
        )
    if last.result == "lost":
        return (
            f"The connection to {where} ended after {last.took_ms:g} ms without a complete answer. "
            "The request may have run, so it was not sent again."
        )
    return f"{where} ended with {last.result}: {request.message or request.reason}."


def _describe_refused(request: RequestEnded, where: str) -> str:
    evidence = describe_evidence(request.attempts)
    if not has_evidence(request.attempts):
        return (
            f"Refused as not run, but not every attempt shows that ({evidence}); it may have run."
        )
    return (
        f"Every upstream that was tried refused the request, {where} last; it was not run "
        f"({evidence})."
    )
