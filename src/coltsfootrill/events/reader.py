"""Reads the events that any number of processes have logged."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from coltsfootrill.events.catalog import AnyEvent


class LoggedEvent:
    """An event, the instance that logged it, and the Unix time of its line in milliseconds."""

    __slots__ = ("at_ms", "event", "instance")

    def __init__(self, *, at_ms: int, instance: str, event: AnyEvent) -> None:
        self.at_ms = at_ms
        self.instance = instance
        self.event = event


class LogContent:
    """The events of one or several logs in order of time.

    ``unreadable_count`` lines were skipped. Lines without a JSON object, such as those that
    libraries log, are not counted as unreadable.
    """

    __slots__ = ("events", "unreadable_count")

    def __init__(self, events: list[LoggedEvent], *, unreadable_count: int) -> None:
        self.events = events
        self.unreadable_count = unreadable_count


class _LineHeader(msgspec.Struct, frozen=True):
    at_ms: int
    instance: str


_header_decoder = msgspec.json.Decoder(_LineHeader)
_event_decoder = msgspec.json.Decoder(AnyEvent)


def read_log(lines: Iterable[str]) -> LogContent:
    """Return the events in ``lines``; ignore text that a log collector put before the JSON."""
    events: list[LoggedEvent] = []
    unreadable_count = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        raw = line[start:]
        try:
            head = _header_decoder.decode(raw)
            event = _event_decoder.decode(raw)
        except msgspec.MsgspecError:
            # The collector truncated the line, or another version of the program wrote it.
            unreadable_count += 1
            continue
        events.append(LoggedEvent(at_ms=head.at_ms, instance=head.instance, event=event))
    events.sort(key=lambda logged: logged.at_ms)
    return LogContent(events, unreadable_count=unreadable_count)
