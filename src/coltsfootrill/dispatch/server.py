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
from coltsfootrill.dispatch.messages import REPLY_TOPIC
from coltsfootrill.dispatch.messages import REQUEST_TOPIC
from coltsfootrill.dispatch.messages import AcquireRequest
from coltsfootrill.dispatch.messages import DenialReason
from coltsfootrill.dispatch.messages import Denied
from coltsfootrill.dispatch.messages import DispatchReply
from coltsfootrill.dispatch.messages import Granted
from coltsfootrill.dispatch.messages import Release
from coltsfootrill.dispatch.messages import Waiting
from coltsfootrill.dispatch.messages import decode_request
from coltsfootrill.dispatch.messages import encode
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.proxy.gate import ServiceGate
from coltsfootrill.proxy.request import AttemptDemand
from coltsfootrill.proxy.request import RequestTimes
from coltsfootrill.proxy.tickets import Ticket

# An asking instance renews its question more often than this, if it still runs.
RENEWAL_TIMEOUT_MS = 400.0
# The end of an attempt is told within this time after its deadline, if at all.
RELEASE_GRACE_MS = 1_000.0
DENIAL_RETENTION_MS = 1_000.0

FindController = Callable[[str], tuple[ServiceGate, Service] | None]
_REASON_BY_REFUSAL: dict[str, DenialReason] = {
    "overloaded": "overloaded",
    "queue-full": "queue-full",
    "deadline": "deadline",
    "no-room": "no-room",
}


class _AnswerTimes:
    """Which upstreams have answered which instances: those have idle connections there."""

    __slots__ = ("_answered_ms_by_sender",)

    def __init__(self) -> None:
        self._answered_ms_by_sender: dict[str, dict[str, float]] = {}

    def note(self, sender: str, upstream_id: str, now_ms: float) -> None:
        """Note an answer."""
        self._answered_ms_by_sender.setdefault(sender, {})[upstream_id] = now_ms

    def list_recent(self, sender: str, now_ms: float) -> frozenset[str]:
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


class _RemoteAttempt:
    """One attempt of another instance; ``ticket`` is ``None`` until the gate has it."""

    __slots__ = ("deadline_ms", "gate", "renewed_ms", "sender", "ticket", "token")

    def __init__(
        self, *, sender: str, token: int, gate: ServiceGate, now_ms: float, left_ms: float
    ) -> None:
        self.sender = sender
        self.token = token
        self.gate = gate
        self.renewed_ms = now_ms
        self.deadline_ms = now_ms + left_ms
        self.ticket: Ticket | None = None


class DispatchServer:
    """Takes questions and ends of attempts; thread-safe."""

    def __init__(
        self,
        *,
        port: DatagramPort,
        find_gate: FindController,
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._port = port
        self._find_gate = find_gate
        self._is_stopping = is_stopping
        self._clock = clock
        self._lock = threading.Lock()
        self._attempts_by_key: dict[tuple[str, int], _RemoteAttempt] = {}
        self._answer_times = _AnswerTimes()
        port.handle(REQUEST_TOPIC, self.take)

    def take(self, payload: bytes, sender: str) -> None:
        """Take a question; raise ``msgspec.MsgspecError`` if it cannot be read."""
        question = decode_request(payload)
        if isinstance(question, AcquireRequest):
            self._take_ask(question, sender)
        else:
            self._take_release(question, sender)

    def clean(self) -> None:
        """End the attempts of instances that have fallen silent."""
        now_ms = self._clock.now_ms()
        with self._lock:
            entries = list(self._attempts_by_key.values())
        for entry in entries:
            if _is_expired(entry, now_ms):
                self._end(entry, Release(entry.token, "abandoned"))

    def _take_ask(self, ask: AcquireRequest, sender: str) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            entry = self._attempts_by_key.get((sender, ask.token))
        if entry is not None:
            entry.renewed_ms = now_ms
            self._send(sender, _make_reply(entry.token, entry.ticket))
            return
        found = None if self._is_stopping() else self._find_gate(ask.service)
        if found is None:
            self._send(sender, Denied(ask.token, "unavailable"))
            return
        gate, service = found
        entry = _RemoteAttempt(
            sender=sender, token=ask.token, gate=gate, now_ms=now_ms, left_ms=ask.left_ms
        )
        with self._lock:
            self._attempts_by_key[(sender, ask.token)] = entry
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
            origin=Origin(ask.zone, self._answer_times.list_recent(sender, now_ms)),
            usual_ms=ask.usual_ms,
            on_settled=lambda ticket: self._send(sender, _make_reply(ask.token, ticket)),
        )
        if not entry.ticket.is_settled:
            self._send(sender, Waiting(ask.token))

    def _take_release(self, release: Release, sender: str) -> None:
        with self._lock:
            entry = self._attempts_by_key.get((sender, release.token))
        if entry is not None:
            self._end(entry, release)

    def _end(self, entry: _RemoteAttempt, release: Release) -> None:
        with self._lock:
            self._attempts_by_key.pop((entry.sender, entry.token), None)
        if entry.ticket is None:
            return
        if release.result == "answered" and entry.ticket.claim is not None:
            upstream_id = entry.ticket.claim.load.id
            self._answer_times.note(entry.sender, upstream_id, self._clock.now_ms())
        entry.gate.end_remote(entry.ticket, release.result, release.get_report())

    def _send(self, address: str, reply: DispatchReply) -> None:
        self._port.send(REPLY_TOPIC, encode(reply), address)


def _is_expired(entry: _RemoteAttempt, now_ms: float) -> bool:
    ticket = entry.ticket
    if ticket is None:
        return False
    if ticket.claim is not None:
        return now_ms > entry.deadline_ms + RELEASE_GRACE_MS
    return now_ms - entry.renewed_ms > (
        DENIAL_RETENTION_MS if ticket.refusal else RENEWAL_TIMEOUT_MS
    )


def _make_reply(token: int, ticket: Ticket | None) -> DispatchReply:
    if ticket is not None and ticket.claim is not None:
        return Granted(token, ticket.claim.load.id)
    if ticket is not None and ticket.refusal:
        return Denied(token, _REASON_BY_REFUSAL.get(ticket.refusal, "unavailable"))
    return Waiting(token)


def _read_kind(ask: AcquireRequest) -> Kind:
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


def _read_within_ms(ask: AcquireRequest) -> float | None:
    if not ask.is_extra:
        return None
    return float("inf") if ask.within_ms is None else ask.within_ms
