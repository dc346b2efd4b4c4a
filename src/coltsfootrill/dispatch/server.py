"""Chooses upstreams for the attempts of other instances, with the queue of this one.

Attempts of all instances are counted in one place, so that a free slot is given away once, and
requests wait in one queue, so that the most urgent of the fleet goes first.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.load import WARM_MS
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.messages import ANSWERS
from coltsfootrill.dispatch.messages import QUESTIONS
from coltsfootrill.dispatch.messages import Ask
from coltsfootrill.dispatch.messages import Denied
from coltsfootrill.dispatch.messages import Granted
from coltsfootrill.dispatch.messages import Reason
from coltsfootrill.dispatch.messages import Release
from coltsfootrill.dispatch.messages import Reply
from coltsfootrill.dispatch.messages import Waiting
from coltsfootrill.dispatch.messages import decode_question
from coltsfootrill.dispatch.messages import encode
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.pending import PendingAttempt
from coltsfootrill.proxy.request import AttemptDemand
from coltsfootrill.proxy.request import RequestTimes

# An asking instance renews its question more often than this, if it still runs.
SILENT_AFTER_MS = 400.0
# The end of an attempt is told within this time after its deadline, if at all.
END_SLACK_MS = 1_000.0
DENIED_FOR_MS = 1_000.0

FindGate = Callable[[str], tuple[AdmissionController, Service] | None]
_REASON_BY_REFUSAL: dict[str, Reason] = {
    "overloaded": "overloaded",
    "queue-full": "queue-full",
    "deadline": "deadline",
    "no-room": "no-room",
}


class _Answers:
    """Which upstreams have answered which instances: those have idle connections there."""

    __slots__ = ("_answered_ms_by_sender",)

    def __init__(self) -> None:
        self._answered_ms_by_sender: dict[str, dict[str, float]] = {}

    def note(self, sender: str, upstream_id: str, now_ms: float) -> None:
        """Note an answer."""
        self._answered_ms_by_sender.setdefault(sender, {})[upstream_id] = now_ms

    def list_warm(self, sender: str, now_ms: float) -> frozenset[str]:
        """Return the upstreams that answered an instance of late, and forget the others."""
        answered_ms_by_id = self._answered_ms_by_sender.get(sender, {})
        warm = {
            upstream_id: at_ms
            for upstream_id, at_ms in answered_ms_by_id.items()
            if now_ms - at_ms <= WARM_MS
        }
        if answered_ms_by_id:
            self._answered_ms_by_sender[sender] = warm
        return frozenset(warm)


class _Entry:
    """One attempt of another instance; ``ticket`` is ``None`` until the gate has it."""

    __slots__ = ("deadline_ms", "gate", "renewed_ms", "sender", "ticket", "token")

    def __init__(
        self, *, sender: str, token: int, gate: AdmissionController, now_ms: float, left_ms: float
    ) -> None:
        self.sender = sender
        self.token = token
        self.gate = gate
        self.renewed_ms = now_ms
        self.deadline_ms = now_ms + left_ms
        self.ticket: PendingAttempt | None = None


class DispatchServer:
    """Takes questions and ends of attempts; thread-safe."""

    def __init__(
        self,
        *,
        port: DatagramPort,
        find_controller: FindGate,
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._port = port
        self._find_gate = find_controller
        self._is_stopping = is_stopping
        self._clock = clock
        self._lock = threading.Lock()
        self._entry_by_key: dict[tuple[str, int], _Entry] = {}
        self._answers = _Answers()
        port.handle(QUESTIONS, self.take)

    def take(self, payload: bytes, sender: str) -> None:
        """Take a question; raise ``msgspec.MsgspecError`` if it cannot be read."""
        question = decode_question(payload)
        if isinstance(question, Ask):
            self._take_ask(question, sender)
        else:
            self._take_release(question, sender)

    def clean(self) -> None:
        """End the attempts of instances that have fallen silent."""
        now_ms = self._clock.now_ms()
        with self._lock:
            entries = list(self._entry_by_key.values())
        for entry in entries:
            if _is_over(entry, now_ms):
                self._end(entry, Release(entry.token, "abandoned"))

    def _take_ask(self, ask: Ask, sender: str) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            entry = self._entry_by_key.get((sender, ask.token))
        if entry is not None:
            entry.renewed_ms = now_ms
            self._send(sender, _find_reply(entry.token, entry.ticket))
            return
        found = None if self._is_stopping() else self._find_gate(ask.service)
        if found is None:
            self._send(sender, Denied(ask.token, "unavailable"))
            return
        gate, service = found
        entry = _Entry(
            sender=sender, token=ask.token, gate=gate, now_ms=now_ms, left_ms=ask.left_ms
        )
        with self._lock:
            self._entry_by_key[(sender, ask.token)] = entry
        times = RequestTimes(
            arrived_ms=now_ms - ask.waited_ms, deadline_ms=entry.deadline_ms, age_ms=ask.age_ms
        )
        entry.ticket = gate.admit_remote(
            AttemptDemand(
                service,
                _read_kind(ask),
                times,
                exclude=frozenset(ask.exclude),
                extra_within_ms=_read_within_ms(ask),
            ),
            origin=Origin(ask.zone, self._answers.list_warm(sender, now_ms)),
            usual_ms=ask.usual_ms,
            on_settled=lambda ticket: self._send(sender, _find_reply(ask.token, ticket)),
        )
        if not entry.ticket.is_settled:
            self._send(sender, Waiting(ask.token))

    def _take_release(self, release: Release, sender: str) -> None:
        with self._lock:
            entry = self._entry_by_key.get((sender, release.token))
        if entry is not None:
            self._end(entry, release)

    def _end(self, entry: _Entry, release: Release) -> None:
        with self._lock:
            self._entry_by_key.pop((entry.sender, entry.token), None)
        if entry.ticket is None:
            return
        if release.result == "answered" and entry.ticket.claim is not None:
            upstream_id = entry.ticket.claim.load.id
            self._answers.note(entry.sender, upstream_id, self._clock.now_ms())
        entry.gate.end_remote(entry.ticket, release.result, release.get_report())

    def _send(self, address: str, reply: Reply) -> None:
        self._port.send(ANSWERS, encode(reply), address)


def _is_over(entry: _Entry, now_ms: float) -> bool:
    ticket = entry.ticket
    if ticket is None:
        return False
    if ticket.claim is not None:
        return now_ms > entry.deadline_ms + END_SLACK_MS
    return now_ms - entry.renewed_ms > (DENIED_FOR_MS if ticket.refusal else SILENT_AFTER_MS)


def _find_reply(token: int, ticket: PendingAttempt | None) -> Reply:
    if ticket is not None and ticket.claim is not None:
        return Granted(token, ticket.claim.load.id)
    if ticket is not None and ticket.refusal:
        return Denied(token, _REASON_BY_REFUSAL.get(ticket.refusal, "unavailable"))
    return Waiting(token)


def _read_kind(ask: Ask) -> Kind:
    """Return what is known of the kind of a request whose manifest may be another one here."""
    return Kind(
        id=ask.kind,
        names=[],
        idempotent=True,
        deadline_ms=max(1, int(ask.left_ms)),
        priority=ask.priority,
        latest_ms=ask.latest_ms,
        rank=ask.rank,
        target_ms=ask.target_ms,
    )


def _read_within_ms(ask: Ask) -> float | None:
    if not ask.is_extra:
        return None
    return float("inf") if ask.within_ms is None else ask.within_ms
