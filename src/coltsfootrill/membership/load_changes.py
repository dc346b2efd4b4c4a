"""Selects the loads that differ enough from those already sent to be sent again."""

from __future__ import annotations

from collections.abc import Sequence

from coltsfootrill.clock import Clock
from coltsfootrill.membership.messages import LoadEntry

# A receiver gives a load half of its weight after this time.
UNCHANGED_INTERVAL_MS = 400.0
# A smaller difference in pace rarely changes the choice of an upstream.
PACE_RATIO = 1.25
REMOVED_AFTER_MS = 10_000.0


class _SentLoad:
    """The load of an upstream that was sent last, and when."""

    __slots__ = ("entry", "sent_ms")

    def __init__(self, entry: LoadEntry, sent_ms: float) -> None:
        self.entry = entry
        self.sent_ms = sent_ms


class ChangedLoads:
    """Remembers the load last sent for each upstream. Not thread-safe."""

    __slots__ = ("_clock", "_sent_by_id")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent_by_id: dict[str, _SentLoad] = {}

    def select(self, entries: Sequence[LoadEntry]) -> list[LoadEntry]:
        """Return the entries to send now, and remember them as sent.

        An entry is sent if its load has changed, and otherwise every ``UNCHANGED_INTERVAL_MS``.
        """
        now_ms = self._clock.now_ms()
        selected = [entry for entry in entries if self._is_due(entry, now_ms)]
        for entry in selected:
            self._sent_by_id[entry.upstream_id] = _SentLoad(entry, now_ms)
        self._remove_old(now_ms)
        return selected

    def _is_due(self, entry: LoadEntry, now_ms: float) -> bool:
        sent = self._sent_by_id.get(entry.upstream_id)
        if sent is None or now_ms - sent.sent_ms >= UNCHANGED_INTERVAL_MS:
            return True
        return _differs(sent.entry, entry)

    def _remove_old(self, now_ms: float) -> None:
        old = [
            upstream_id
            for upstream_id, sent in self._sent_by_id.items()
            if now_ms - sent.sent_ms > REMOVED_AFTER_MS
        ]
        for upstream_id in old:
            del self._sent_by_id[upstream_id]


def _differs(before: LoadEntry, after: LoadEntry) -> bool:
    if (before.in_flight, before.slots) != (after.in_flight, after.slots):
        return True
    if before.per_s != after.per_s or before.leaving_incarnation != after.leaving_incarnation:
        return True
    if _has_become_cold_or_warm(before, after):
        return True
    if before.pace is None or after.pace is None:
        return before.pace is not after.pace
    slower, faster = max(before.pace, after.pace), min(before.pace, after.pace)
    return slower > PACE_RATIO * faster


def _has_become_cold_or_warm(before: LoadEntry, after: LoadEntry) -> bool:
    """Return whether the time for which the upstream is cold was set anew, or has ended."""
    before_ms = before.cold_ms or 0
    after_ms = after.cold_ms or 0
    return after_ms > before_ms or (before_ms > 0) != (after_ms > 0)
