"""Requests upstreams from the dispatcher of a service and reports how each attempt ended."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from random import SystemRandom

import msgspec

from coltsfootrill.balancer.claim import Grant
from coltsfootrill.balancer.claim import Result
from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.rate_limit import FALLBACK_SHARE
from coltsfootrill.balancer.rate_limit import WARM_UP_DISPATCHERS_COUNT
from coltsfootrill.balancer.rate_limit import WHOLE_SHARE
from coltsfootrill.balancer.rate_limit import RateShares
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.messages import REPLY_TOPIC
from coltsfootrill.dispatch.messages import REQUEST_TOPIC
from coltsfootrill.dispatch.messages import AcquireRequest
from coltsfootrill.dispatch.messages import Denied
from coltsfootrill.dispatch.messages import DispatchReply
from coltsfootrill.dispatch.messages import Granted
from coltsfootrill.dispatch.messages import Release
from coltsfootrill.dispatch.messages import Waiting
from coltsfootrill.dispatch.messages import decode_reply
from coltsfootrill.dispatch.messages import encode
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import DependencyRegained
from coltsfootrill.events.catalog import Event
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.relay_topology import list_dispatchers

# Datagrams can be lost, so a request without a reply is sent once more.
SENDS_MAX_COUNT = 2
# A waiting request is renewed at this interval, so that the dispatcher retains it in the queue.
RENEWAL_INTERVAL_MS = 120.0
# While it waits, a request checks at this interval whether its caller has disconnected.
WAIT_POLL_INTERVAL_MS = 20.0
_UNAVAILABLE_REASON = "it is stopping, or has no such service or no usable upstream of it"
# A dispatcher that did not reply is tried again by the first request after this time.
DISPATCHER_BACKOFF_MS = 1_500.0
# Rankings of dispatchers are cached for this time.
RANKING_TTL_MS = 200.0
# An instance that is new among the first in rank has a share of warm-ups for this time: a hub that
# has just started lists few instances, and others may not have heard of this one.
WARM_UP_DELAY_MS = 2_000.0
# The first token is random, so tokens are not reused after a restart.
_TOKEN_BITS = 48


class _PendingRequest:
    """A request without a final reply. ``event`` is set with each reply."""

    __slots__ = ("event", "reply")

    def __init__(self) -> None:
        self.event = threading.Event()
        self.reply: DispatchReply | None = None


class DispatchClient:
    """Acquires and releases upstreams through dispatchers. Thread-safe.

    Each call of ``acquire`` blocks the thread of one request. A dispatcher that misses
    ``timeout_ms`` twice in a row, or is unavailable, is skipped for ``DISPATCHER_BACKOFF_MS``;
    later requests go to the next in rank. Work that typically takes less than ``work_min_ms``
    should not be dispatched: between two dispatched attempts a slot stays empty for about one
    round trip.
    """

    def __init__(
        self,
        own: InstanceRecord,
        *,
        port: DatagramPort,
        list_instances: Callable[[], list[InstanceRecord]],
        clock: Clock,
        timeout_ms: float,
        work_min_ms: float = 0.0,
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self._own = own
        self._port = port
        self._list_instances = list_instances
        self._clock = clock
        self._timeout_ms = timeout_ms
        self.work_min_ms = work_min_ms
        self._on_event = on_event
        self._tokens = itertools.count(SystemRandom().getrandbits(_TOKEN_BITS))
        self._lock = threading.Lock()
        self._pending_by_token: dict[int, _PendingRequest] = {}
        self._down_since_ms_by_id: dict[str, float] = {}
        self._dispatchers_by_service: dict[str, list[InstanceRecord]] = {}
        self._ranking_cached_ms = float("-inf")
        self._rate_shares_by_service: dict[str, RateShares] = {}
        # Since when this instance has been among those that have the whole rate of warm-ups.
        self._ranked_since_ms_by_service: dict[str, float] = {}
        port.handle(REPLY_TOPIC, self.handle_reply)

    def acquire(
        self, request: AcquireRequest, *, should_stop_waiting: Callable[[], bool]
    ) -> Grant | Denied | None:
        """Return the grant for one attempt, or the dispatcher's refusal.

        Returns ``None`` when this instance has to choose the upstream itself. The request is
        withdrawn once ``should_stop_waiting`` returns true.
        """
        dispatcher = self._find_dispatcher(request.service)
        if dispatcher is None:
            return None
        token = next(self._tokens)
        pending = _PendingRequest()
        with self._lock:
            self._pending_by_token[token] = pending
        try:
            request = msgspec.structs.replace(request, token=token)
            reply = self._await_reply(dispatcher, pending, request, should_stop_waiting)
        finally:
            with self._lock:
                del self._pending_by_token[token]
        if reply is None:
            # A grant that arrived after the last wait must not leak its slot.
            reply = pending.reply
        if isinstance(reply, Granted):
            self._record_recovery(dispatcher)
            return Grant(
                dispatcher=dispatcher.id,
                address=dispatcher.address,
                token=token,
                upstream_id=reply.upstream,
            )
        if isinstance(reply, Denied) and reply.reason != "unavailable":
            return reply
        reason = _UNAVAILABLE_REASON if isinstance(reply, Denied) else "no reply in time"
        self._record_loss(dispatcher, reason)
        return None

    def get_rate_shares(self, service_id: str) -> RateShares:
        """Return the parts of the rates of the upstreams of a service that are this instance's.

        The dispatcher that all others should use has the whole rate, and that which they use next
        has the whole rate of warm-ups too, both after ``WARM_UP_DELAY_MS``. An instance that no
        longer hears of the others keeps its shares: they are as many as before.
        """
        instances = self._list_instances()
        now_ms = self._clock.now_ms()
        dispatchers = self._list_dispatchers(service_id, now_ms)
        if instances and dispatchers:
            ranked_ids = [record.id for record in dispatchers]
            fallback = FALLBACK_SHARE / len(instances)
            is_first = ranked_ids[0] == self._own.id
            has_warm_up = self._has_long_been_in(
                ranked_ids[:WARM_UP_DISPATCHERS_COUNT], service_id, now_ms
            )
            self._rate_shares_by_service[service_id] = RateShares(
                stated=WHOLE_SHARE if is_first else fallback,
                warm_up=WHOLE_SHARE if has_warm_up else fallback,
            )
        return self._rate_shares_by_service.get(service_id, RateShares())

    def _has_long_been_in(self, ids: list[str], service_id: str, now_ms: float) -> bool:
        """Return whether this instance has been in ``ids`` for ``WARM_UP_DELAY_MS``."""
        if self._own.id not in ids:
            self._ranked_since_ms_by_service.pop(service_id, None)
            return False
        since_ms = self._ranked_since_ms_by_service.setdefault(service_id, now_ms)
        return now_ms - since_ms >= WARM_UP_DELAY_MS

    def release(
        self,
        grant: Grant,
        result: Result,
        report: LoadReport | None = None,
        per_s: float | None = None,
    ) -> None:
        """Report the end of an attempt to the dispatcher that granted it.

        ``per_s`` is the rate of requests that the upstream states.
        """
        release = Release(grant.token, result, per_s=per_s)
        if report is not None:
            release = Release(
                grant.token, result, report.in_flight, report.slots, report.pace, per_s
            )
        self._port.send(REQUEST_TOPIC, encode(release), grant.address)

    def handle_reply(self, payload: bytes, sender: str) -> None:
        """Record a reply and wake its request; raise ``msgspec.MsgspecError`` if malformed."""
        reply = decode_reply(payload)
        with self._lock:
            pending = self._pending_by_token.get(reply.token)
            if pending is not None:
                if not isinstance(pending.reply, Granted):
                    pending.reply = reply
                pending.event.set()
        if pending is None and isinstance(reply, Granted):
            # The request has already ended or was sent elsewhere: free the slot.
            self._port.send(REQUEST_TOPIC, encode(Release(reply.token, "abandoned")), sender)

    def _await_reply(
        self,
        dispatcher: InstanceRecord,
        pending: _PendingRequest,
        request: AcquireRequest,
        should_stop_waiting: Callable[[], bool],
    ) -> DispatchReply | None:
        """Return the final reply, ``None`` if the dispatcher stops replying."""
        start_ms = self._clock.now_ms()
        end_ms = start_ms + request.remaining_ms
        sends = 0
        while sends < SENDS_MAX_COUNT:
            waited_ms = self._clock.now_ms() - start_ms
            self._send(request, dispatcher, int(waited_ms))
            sends += 1
            until_ms = start_ms + waited_ms + self._timeout_ms
            while (now_ms := self._clock.now_ms()) < until_ms:
                if now_ms >= end_ms or should_stop_waiting():
                    return self._withdraw(dispatcher, request.token)
                reply = self._wait_for_reply(pending, min(until_ms - now_ms, WAIT_POLL_INTERVAL_MS))
                if isinstance(reply, Granted | Denied):
                    return reply
                if reply is not None:
                    sends = 0
                    until_ms = self._clock.now_ms() + RENEWAL_INTERVAL_MS
        return None

    def _wait_for_reply(self, pending: _PendingRequest, timeout_ms: float) -> DispatchReply | None:
        """Return the next reply, ``None`` if none arrives within ``timeout_ms``."""
        pending.event.wait(timeout_ms / 1000)
        with self._lock:
            reply = pending.reply
            pending.event.clear()
            if isinstance(reply, Waiting):
                pending.reply = None
            return reply

    def _send(self, request: AcquireRequest, dispatcher: InstanceRecord, waited_ms: int) -> None:
        message = msgspec.structs.replace(
            request,
            waited_ms=request.waited_ms + waited_ms,
            remaining_ms=request.remaining_ms - waited_ms,
        )
        self._port.send(REQUEST_TOPIC, encode(message), dispatcher.address)

    def _withdraw(self, dispatcher: InstanceRecord, token: int) -> DispatchReply:
        """Withdraw a request that can no longer wait; release any grant sent meanwhile."""
        self._port.send(REQUEST_TOPIC, encode(Release(token, "abandoned")), dispatcher.address)
        return Denied(token, "deadline")

    def _find_dispatcher(self, service_id: str) -> InstanceRecord | None:
        """Return the first dispatcher in rank that is not skipped.

        Returns ``None`` if that is this instance, or if all dispatchers are skipped.
        """
        now_ms = self._clock.now_ms()
        for record in self._list_dispatchers(service_id, now_ms):
            if record.id == self._own.id:
                return None
            down_since_ms = self._down_since_ms_by_id.get(record.id, float("-inf"))
            if now_ms - down_since_ms >= DISPATCHER_BACKOFF_MS:
                return record
        return None

    def _list_dispatchers(self, service_id: str, now_ms: float) -> list[InstanceRecord]:
        if now_ms - self._ranking_cached_ms >= RANKING_TTL_MS:
            self._ranking_cached_ms = now_ms
            self._dispatchers_by_service = {}
        dispatchers = self._dispatchers_by_service.get(service_id)
        if dispatchers is None:
            dispatchers = list_dispatchers(service_id, self._list_instances())
            self._dispatchers_by_service[service_id] = dispatchers
        return dispatchers

    def _record_loss(self, dispatcher: InstanceRecord, reason: str) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            was_up = dispatcher.id not in self._down_since_ms_by_id
            self._down_since_ms_by_id[dispatcher.id] = now_ms
        if was_up:
            name = f"dispatcher {dispatcher.id}"
            self._on_event(DependencyLost(dependency=name, reason=reason))

    def _record_recovery(self, dispatcher: InstanceRecord) -> None:
        if dispatcher.id not in self._down_since_ms_by_id:
            return
        with self._lock:
            down_since_ms = self._down_since_ms_by_id.pop(dispatcher.id, None)
        if down_since_ms is not None:
            self._on_event(
                DependencyRegained(
                    dependency=f"dispatcher {dispatcher.id}",
                    lost_for_ms=round(self._clock.now_ms() - down_since_ms, 1),
                )
            )
