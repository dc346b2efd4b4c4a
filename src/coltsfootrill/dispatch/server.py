"""Chooses upstreams for the attempts of other instances, with the pool and queue of this one.

The attempts of all instances are counted in one place, so a free slot is assigned only once, and
all requests wait in one queue, so the most urgent one of the fleet goes first.
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
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.pending import PendingAttempt
from coltsfootrill.proxy.request import AttemptDemand
from coltsfootrill.proxy.request import RequestTimes

# An instance that still waits renews its request more often than this.
RENEWAL_TIMEOUT_MS = 400.0
# An attempt whose end has not been reported this long after its deadline is treated as ended, since
# no report is expected later.
RELEASE_GRACE_MS = 1_000.0
# A refusal is retained for this time, so that a repeated request gets the same reply.
DENIAL_RETENTION_MS = 1_000.0

FindController = Callable[[str], tuple[AdmissionController, Service] | None]
_REASON_BY_REFUSAL: dict[str, DenialReason] = {
    "overloaded": "overloaded",
    "queue-full": "queue-full",
    "deadline": "deadline",
    "no-room": "no-room",
}


class _AnswerTimes:
    """When each upstream last answered each instance.

    An instance has idle connections to upstreams that answered it recently.
    """

    __slots__ = ("_answered_ms_by_sender",)

    def __init__(self) -> None:
        self._answered_ms_by_sender: dict[str, dict[str, float]] = {}

    def record(self, sender: str, upstream_id: str, now_ms: float) -> None:
        """Record an answer of an upstream to the instance at address ``sender``."""
        self._answered_ms_by_sender.setdefault(sender, {})[upstream_id] = now_ms

    def list_recent(self, sender: str, now_ms: float) -> frozenset[str]:
        """Return the upstreams that answered an instance within ``WARM_MS``; drop the others."""
        answered_ms_by_id = self._answered_ms_by_sender.get(sender, {})
        recent = {
            upstream_id: at_ms
            for upstream_id, at_ms in answered_ms_by_id.items()
            if now_ms - at_ms <= WARM_MS
        }
        if answered_ms_by_id:
            self._answered_ms_by_sender[sender] = recent
        return frozenset(recent)


class _RemoteAttempt:
    """One attempt of another instance; ``pending`` is ``None`` until it has been admitted."""

    __slots__ = ("controller", "deadline_ms", "pending", "renewed_ms", "sender", "token")

    def __init__(
        self,
        *,
        sender: str,
        token: int,
        controller: AdmissionController,
        now_ms: float,
        remaining_ms: float,
    ) -> None:
        self.sender = sender
        self.token = token
        self.controller = controller
        self.renewed_ms = now_ms
        self.deadline_ms = now_ms + remaining_ms
        self.pending: PendingAttempt | None = None


class DispatchServer:
    """Handles requests for upstreams and reports of ended attempts; thread-safe."""

    def __init__(
        self,
        *,
        port: DatagramPort,
        find_controller: FindController,
        is_stopping: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._port = port
        self._find_controller = find_controller
        self._is_stopping = is_stopping
        self._clock = clock
        self._lock = threading.Lock()
        self._attempts_by_key: dict[tuple[str, int], _RemoteAttempt] = {}
        self._answer_times = _AnswerTimes()
        port.handle(REQUEST_TOPIC, self.handle_request)

    def handle_request(self, payload: bytes, sender: str) -> None:
        """Handle a request or a release; raise ``msgspec.MsgspecError`` if it is malformed."""
        request = decode_request(payload)
        if isinstance(request, AcquireRequest):
            self._handle_acquire(request, sender)
        else:
            self._handle_release(request, sender)

    def remove_expired(self) -> None:
        """End attempts that were not renewed in time, or not released after their deadline."""
        now_ms = self._clock.now_ms()
        with self._lock:
            attempts = list(self._attempts_by_key.values())
        for attempt in attempts:
            if _is_expired(attempt, now_ms):
                self._end(attempt, Release(attempt.token, "abandoned"))

    def _handle_acquire(self, request: AcquireRequest, sender: str) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            attempt = self._attempts_by_key.get((sender, request.token))
        if attempt is not None:
            attempt.renewed_ms = now_ms
            self._send(sender, _make_reply(attempt.token, attempt.pending))
            return
        found = None if self._is_stopping() else self._find_controller(request.service)
        if found is None:
            self._send(sender, Denied(request.token, "unavailable"))
            return
        controller, service = found
        attempt = _RemoteAttempt(
            sender=sender,
            token=request.token,
            controller=controller,
            now_ms=now_ms,
            remaining_ms=request.remaining_ms,
        )
        with self._lock:
            self._attempts_by_key[(sender, request.token)] = attempt
        times = RequestTimes(
            arrived_ms=now_ms - request.waited_ms,
            deadline_ms=attempt.deadline_ms,
            age_ms=request.age_ms,
        )
        attempt.pending = controller.admit_remote(
            AttemptDemand(
                service,
                _make_kind(request),
                times,
                exclude=frozenset(request.exclude),
                second_within_ms=_get_second_within_ms(request),
                organisation=_make_organisation(request),
            ),
            origin=Origin(request.zone, self._answer_times.list_recent(sender, now_ms)),
            typical_ms=request.typical_ms,
            on_settled=lambda pending: self._send(sender, _make_reply(request.token, pending)),
        )
        if not attempt.pending.is_settled:
            self._send(sender, Waiting(request.token))

    def _handle_release(self, release: Release, sender: str) -> None:
        with self._lock:
            attempt = self._attempts_by_key.get((sender, release.token))
        if attempt is not None:
            self._end(attempt, release)

    def _end(self, attempt: _RemoteAttempt, release: Release) -> None:
        with self._lock:
            self._attempts_by_key.pop((attempt.sender, attempt.token), None)
        if attempt.pending is None:
            return
        claim = attempt.pending.claim
        if claim is not None:
            claim.stated_per_s = release.per_s
            if release.result == "answered":
                self._answer_times.record(attempt.sender, claim.load.id, self._clock.now_ms())
        attempt.controller.end_remote(attempt.pending, release.result, release.get_report())

    def _send(self, address: str, reply: DispatchReply) -> None:
        self._port.send(REPLY_TOPIC, encode(reply), address)


def _is_expired(attempt: _RemoteAttempt, now_ms: float) -> bool:
    pending = attempt.pending
    if pending is None:
        return False
    if pending.claim is not None:
        return now_ms > attempt.deadline_ms + RELEASE_GRACE_MS
    return now_ms - attempt.renewed_ms > (
        DENIAL_RETENTION_MS if pending.refusal else RENEWAL_TIMEOUT_MS
    )


def _make_reply(token: int, pending: PendingAttempt | None) -> DispatchReply:
    if pending is not None and pending.claim is not None:
        return Granted(token, pending.claim.load.id)
    if pending is not None and pending.refusal:
        return Denied(token, _REASON_BY_REFUSAL.get(pending.refusal, "unavailable"))
    return Waiting(token)


def _make_kind(request: AcquireRequest) -> Kind:
    """Return the kind of a request as the requesting instance described it.

    The manifest in force here may be a different version, so its kinds are not used.
    """
    return Kind(
        id=request.kind,
        names=[],
        idempotent=True,
        deadline_ms=max(1, int(request.remaining_ms)),
        priority=request.priority,
        latest_ms=request.latest_ms,
        rank=request.rank,
        target_ms=request.target_ms,
    )


def _make_organisation(request: AcquireRequest) -> Organisation | None:
    """Return the caller's organisation as the requesting instance described it, without keys."""
    if not request.organisation:
        return None
    return Organisation(name=request.organisation, keys=[], rank=request.organisation_rank)


def _get_second_within_ms(request: AcquireRequest) -> float | None:
    if not request.is_second_attempt:
        return None
    return float("inf") if request.within_ms is None else request.within_ms
