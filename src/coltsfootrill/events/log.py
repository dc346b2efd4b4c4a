"""Writes events as JSON lines to standard output without blocking the code that emits them."""

from __future__ import annotations

import sys

import msgspec

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import Event
from coltsfootrill.events.catalog import LinesDropped
from coltsfootrill.output import LineWriter

TimedEvent = tuple[int, Event]


class EventLog(LineWriter[TimedEvent]):
    """Events of one instance, with the wall-clock time at which they were emitted."""

    def __init__(self, instance: str, *, clock: Clock, descriptor: int | None = None) -> None:
        super().__init__(
            "events",
            sys.stdout.fileno() if descriptor is None else descriptor,
            encode=self._encode_event,
            describe_dropped=lambda count: (clock.wall_ms(), LinesDropped(count=count)),
        )
        self._instance = instance
        self._clock = clock
        self._encoder = msgspec.json.Encoder()

    def emit(self, event: Event) -> None:
        """Queue an event with the current time, or drop it if the queue is full."""
        self.put((self._clock.wall_ms(), event))

    def _encode_event(self, entry: TimedEvent) -> bytes:
        at_ms, event = entry
        body = self._encoder.encode(event)
        head = b'{"at_ms":%d,"instance":"%s",' % (at_ms, self._instance.encode())
        return head + body[1:] + b"\n"
