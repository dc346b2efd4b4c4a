"""Asks the dispatcher of a service for an upstream, and tells it how each attempt ended."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from random import SystemRandom

import msgspec

from coltsfootrill.balancer.claim import Grant
from coltsfootrill.balancer.claim import Result
from coltsfootrill.balancer.load import LoadReport
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
from coltsfootrill.membership.ways import list_dispatchers

# Datagrams get lost: a question without a reply is sent again, twice at most.
SENDS_MAX_COUNT = 2
RENEWAL_INTERVAL_MS = 120.0
WAIT_POLL_INTERVAL_MS = 20.0
# After that time the next request tries a dispatcher again that did not reply.
DISPATCHER_BACKOFF_MS = 1_500.0
INSTANCE_LIST_TTL_MS = 200.0
_TOKEN_BITS = 48


class _PendingRequest:
    """A question without a final answer. ``event`` is set with each reply."""

    __slots__ = ("event", "reply")

    def __init__(self) -> None:
        self.event = threading.Event()
        self.reply: DispatchReply | None = None


class DispatchClient:
    """Thread-safe; each call of ``ask`` holds the thread of one request.

    A dispatcher that does not reply within ``timeout_ms`` twice is left out for
    ``DISPATCHER_BACKOFF_MS``, and the next in rank is asked. Work that usually takes less than
    ``work_min_ms`` is not worth a question: between two attempts that a dispatcher chooses for, a
    slot stays empty for about a round trip.
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
        self._listed_ms = float("-inf")
        port.handle(REPLY_TOPIC, self.take)

    def ask(self, ask: AcquireRequest, *, is_gone: Callable[[], bool]) -> Grant | Denied | None:
        """Return the upstream for one attempt, or why there is none.

        ``None`` says that this instance has to choose itself.
        """
        dispatcher = self._find_dispatcher(ask.service)
        if dispatcher is None:
            return None
        token = next(self._tokens)
        pending = _PendingRequest()
        with self._lock:
            self._pending_by_token[token] = pending
        try:
            ask = msgspec.structs.replace(ask, token=token)
            reply = self._await(dispatcher, pending, ask, is_gone)
        finally:
            with self._lock:
                del self._pending_by_token[token]
        if reply is None:
            # A grant may have come at the last moment; it must not be lost.
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
        reason = "it is stopping" if isinstance(reply, Denied) else "no reply in time"
        self._record_loss(dispatcher, reason)
        return None

    def release(self, grant: Grant, result: Result, report: LoadReport | None = None) -> None:
        """Tell that an attempt has ended."""
        release = Release(grant.token, result)
        if report is not None:
            release = Release(grant.token, result, report.in_flight, report.slots, report.pace)
        self._port.send(REQUEST_TOPIC, encode(release), grant.address)

    def take(self, payload: bytes, sender: str) -> None:
        """Take a reply; raise ``msgspec.MsgspecError`` if it cannot be read."""
        reply = decode_reply(payload)
        with self._lock:
            pending = self._pending_by_token.get(reply.token)
            if pending is not None:
                if not isinstance(pending.reply, Granted):
                    pending.reply = reply
                pending.event.set()
        if pending is None and isinstance(reply, Granted):
            # The request has ended, or was sent elsewhere meanwhile.
            self._port.send(REQUEST_TOPIC, encode(Release(reply.token, "abandoned")), sender)

    def _await(
        self,
        dispatcher: InstanceRecord,
        pending: _PendingRequest,
        ask: AcquireRequest,
        is_gone: Callable[[], bool],
    ) -> DispatchReply | None:
        """Return the final reply, ``None`` if the dispatcher does not reply any more."""
        start_ms = self._clock.now_ms()
        end_ms = start_ms + ask.left_ms
        sends = 0
        while sends < SENDS_MAX_COUNT:
            waited_ms = self._clock.now_ms() - start_ms
            self._send(ask, dispatcher, int(waited_ms))
            sends += 1
            until_ms = start_ms + waited_ms + self._timeout_ms
            while (now_ms := self._clock.now_ms()) < until_ms:
                if now_ms >= end_ms or is_gone():
                    return self._leave(dispatcher, ask.token)
                reply = self._take_reply(pending, min(until_ms - now_ms, WAIT_POLL_INTERVAL_MS))
                if isinstance(reply, Granted | Denied):
                    return reply
                if reply is not None:
                    sends = 0
                    until_ms = self._clock.now_ms() + RENEWAL_INTERVAL_MS
        return None

    def _take_reply(self, pending: _PendingRequest, timeout_ms: float) -> DispatchReply | None:
        """Return the next reply, ``None`` if none arrives in time."""
        pending.event.wait(timeout_ms / 1000)
        with self._lock:
            reply = pending.reply
            pending.event.clear()
            if isinstance(reply, Waiting):
                pending.reply = None
            return reply

    def _send(self, ask: AcquireRequest, dispatcher: InstanceRecord, waited_ms: int) -> None:
        message = msgspec.structs.replace(
            ask, waited_ms=ask.waited_ms + waited_ms, left_ms=ask.left_ms - waited_ms
        )
        self._port.send(REQUEST_TOPIC, encode(message), dispatcher.address)

    def _leave(self, dispatcher: InstanceRecord, token: int) -> DispatchReply:
        """Withdraw a question whose request can wait no longer, whatever was granted meanwhile."""
        self._port.send(REQUEST_TOPIC, encode(Release(token, "abandoned")), dispatcher.address)
        return Denied(token, "deadline")

    def _find_dispatcher(self, service_id: str) -> InstanceRecord | None:
        """Return the first dispatcher that is not known to be down, ``None`` for this instance."""
        now_ms = self._clock.now_ms()
        for record in self._list_dispatchers(service_id, now_ms):
            if record.id == self._own.id:
                return None
            down_since_ms = self._down_since_ms_by_id.get(record.id, float("-inf"))
            if now_ms - down_since_ms >= DISPATCHER_BACKOFF_MS:
                return record
        return None

    def _list_dispatchers(self, service_id: str, now_ms: float) -> list[InstanceRecord]:
        if now_ms - self._listed_ms >= INSTANCE_LIST_TTL_MS:
            self._listed_ms = now_ms
            self._dispatchers_by_service = {}
        found = self._dispatchers_by_service.get(service_id)
        if found is None:
            found = list_dispatchers(service_id, self._list_instances())
            self._dispatchers_by_service[service_id] = found
        return found

    def _record_loss(self, dispatcher: InstanceRecord, reason: str) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            is_news = dispatcher.id not in self._down_since_ms_by_id
            self._down_since_ms_by_id[dispatcher.id] = now_ms
        if is_news:
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
