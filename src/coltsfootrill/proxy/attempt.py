"""Attempts of a request at upstreams: in progress, or failed."""

from __future__ import annotations

import select
from collections.abc import Iterable

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.retry import AttemptHistory
from coltsfootrill.balancer.retry import FailureKind
from coltsfootrill.events.catalog import Attempt as AttemptEvent
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.disconnect_monitor import DisconnectMonitor
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.outcome import ProxyError
from coltsfootrill.proxy.outcome import UnknownOutcomeError
from coltsfootrill.proxy.unsolicited import count_skipped


class AttemptInProgress:
    """One attempt that was sent at ``sent_ms`` and is not answered yet."""

    __slots__ = ("claim", "connection", "sent_ms", "was_idle")

    def __init__(self, claim: Claim, connection: UpstreamConnection, sent_ms: float) -> None:
        self.claim = claim
        self.connection = connection
        self.was_idle = not connection.is_fresh
        self.sent_ms = sent_ms


class AttemptFailure:
    """A failed attempt, with the answer to forward if no retry follows."""

    __slots__ = ("answer", "kind", "message")

    def __init__(self, kind: FailureKind, message: str, answer: Answer | None = None) -> None:
        self.kind = kind
        self.message = message
        self.answer = answer


def poll_attempts(
    attempts: Iterable[AttemptInProgress], monitor: DisconnectMonitor, timeout_ms: float
) -> list[AttemptInProgress]:
    """Return the attempts that have data to read within ``timeout_ms``.

    Raises ``UnknownOutcomeError`` as soon as the caller has disconnected.
    """
    poller = select.poll()
    poller.register(monitor.fileno(), monitor.events)
    by_fileno: dict[int, AttemptInProgress] = {}
    for attempt in attempts:
        by_fileno[attempt.connection.fileno()] = attempt
        poller.register(attempt.connection.fileno(), select.POLLIN)
    # poll takes whole milliseconds; rounding up avoids a busy loop just before the end.
    events = poller.poll(int(max(0.0, timeout_ms)) + 1)
    for fileno, event in events:
        if fileno not in by_fileno and monitor.handle_event(event):
            raise UnknownOutcomeError(
                "499 Client Closed Request",
                "caller-gone",
                "the caller disconnected before an answer",
            )
    return [by_fileno[fileno] for fileno, _ in events if fileno in by_fileno]


def make_attempt_event(
    claim: Claim,
    result: str,
    connection: UpstreamConnection | None,
    *,
    arrived_ms: float,
    now_ms: float,
) -> AttemptEvent:
    """Return the event for an attempt that has ended, of a request that arrived at ``arrived_ms``.

    ``connection`` is the one that the attempt was sent on, ``None`` if it was not sent.
    """
    number = earlier_count = skipped_count = 0
    has_surplus = False
    if connection is not None:
        number = connection.number
        earlier_count = connection.sent_count - 1
        skipped_count = count_skipped(connection.unsolicited_by_cause)
        has_surplus = "surplus" in connection.unsolicited_by_cause
    return AttemptEvent(
        upstream=claim.load.id,
        after_ms=round(claim.started_ms - arrived_ms, 1),
        took_ms=round(now_ms - claim.started_ms, 1),
        result=result,
        occupancy=round(claim.occupancy, 1),
        pace=round(claim.pace, 2),
        report_age_ms=round(claim.report_age_ms, 1),
        chosen_by="" if claim.grant is None else claim.grant.dispatcher,
        connection=number,
        earlier_requests=earlier_count,
        skipped=skipped_count,
        surplus=has_surplus,
    )


def make_unknown_error(failure: AttemptFailure) -> UnknownOutcomeError:
    """Return the error of a request that an upstream may have run."""
    return UnknownOutcomeError("502 Bad Gateway", failure.kind, failure.message)


def make_final_error(
    failure: AttemptFailure, history: AttemptHistory, retry_after_s: float
) -> ProxyError:
    """Return the error of a request whose last attempt failed."""
    if history.may_have_run:
        return make_unknown_error(failure)
    return NotRunError(
        "503 Service Unavailable", failure.kind, failure.message, retry_after_s=retry_after_s
    )
