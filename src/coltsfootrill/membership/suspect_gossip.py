"""Gossip of requests during which upstreams crashed, over UDP datagrams.

Each instance sends what it saw to all others at once. A datagram may be lost, and an instance that
starts knows nothing, so the requests that are refused are sent again periodically by a few
instances. These take turns, since any of them may be cut off, or may have lost its memory. So is
an answer, as long as any instance that has not heard of it reports crashes before it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.balancer.crash_guard import SuspectNews
from coltsfootrill.balancer.crash_suspects import Crash
from coltsfootrill.clock import Clock
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.messages import CrashEntry
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import SuspectEntry
from coltsfootrill.membership.messages import SuspectGossip

TOPIC = b"S"
ENTRIES_MAX_COUNT = 50
REPEAT_INTERVAL_MS = 1_000.0
REPEATERS_COUNT = 3

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SuspectGossip)


class SuspectGossipExchange:
    """Sends the news of ``guard`` to the other instances, and applies theirs."""

    __slots__ = ("_clock", "_guard", "_list_instances", "_own", "_port", "_repeated_ms", "_turn")

    def __init__(
        self,
        own: InstanceRecord,
        *,
        port: DatagramPort,
        list_instances: Callable[[], list[InstanceRecord]],
        guard: CrashGuard,
        clock: Clock,
    ) -> None:
        self._own = own
        self._list_instances = list_instances
        self._guard = guard
        self._clock = clock
        self._port = port
        self._repeated_ms = clock.now_ms()
        # Instances that start together begin at different turns.
        self._turn = own.boot
        port.handle(TOPIC, self.receive)

    def send(self) -> None:
        """Send what this instance saw; to be called often."""
        news = self._guard.take_news()
        now_ms = self._clock.now_ms()
        if now_ms - self._repeated_ms >= REPEAT_INTERVAL_MS:
            self._repeated_ms = now_ms
            self._turn += 1
            if self._is_repeater():
                news += self._guard.list_refused()
                news += self._guard.take_contested()
        if news:
            self._send_to_all(news)

    def receive(self, payload: bytes, sender: str) -> None:
        """Handle one datagram; raise ``msgspec.MsgspecError`` if it cannot be decoded."""
        for entry in _decoder.decode(payload).entries:
            self._guard.merge(unpack_news(entry))

    def _is_repeater(self) -> bool:
        """Return whether it is the turn of this instance, as in a few of as many as there are."""
        ids = sorted(record.id for record in self._list_instances())
        if self._own.id not in ids:
            return False
        return (ids.index(self._own.id) + self._turn) % len(ids) < REPEATERS_COUNT

    def _send_to_all(self, news: Sequence[SuspectNews]) -> None:
        entries = [pack_news(one) for one in news]
        others = [record for record in self._list_instances() if record.id != self._own.id]
        for start in range(0, len(entries), ENTRIES_MAX_COUNT):
            data = _encoder.encode(SuspectGossip(entries[start : start + ENTRIES_MAX_COUNT]))
            for record in others:
                self._port.send(TOPIC, data, record.address)


def unpack_news(entry: SuspectEntry) -> SuspectNews:
    """Return the news in an entry of a message."""
    return SuspectNews(
        entry.digest,
        [Crash(crash.upstream_id, crash.incarnation, crash.variant) for crash in entry.crashes],
        age_ms=max(0, entry.age_ms),
        is_answered=entry.is_answered,
        variant=entry.variant,
        is_tried=entry.is_tried,
    )


def pack_news(news: SuspectNews) -> SuspectEntry:
    """Return the entry of a message for news."""
    crashes = [
        CrashEntry(crash.upstream_id, crash.incarnation, crash.variant) for crash in news.crashes
    ]
    return SuspectEntry(
        news.digest, crashes, int(news.age_ms), news.is_answered, news.variant, news.is_tried
    )
