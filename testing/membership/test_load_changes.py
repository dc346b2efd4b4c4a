"""The pattern: a fleet at rest, whose load reports should cost next to nothing between zones."""

from __future__ import annotations

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.membership.load_changes import PACE_RATIO
from coltsfootrill.membership.load_changes import REMOVED_AFTER_MS
from coltsfootrill.membership.load_changes import UNCHANGED_INTERVAL_MS
from coltsfootrill.membership.load_changes import ChangedLoads
from coltsfootrill.membership.messages import PACE_SCALE
from coltsfootrill.membership.messages import LoadEntry

ROUND_MS = 80.0
UPSTREAM_COUNT = 5


def _entry(number: int = 0, *, in_flight: int = 0, pace: float | None = 1.0) -> LoadEntry:
    hundredths = None if pace is None else round(pace * PACE_SCALE)
    return LoadEntry(f"u{number}", in_flight, 3, hundredths, 0)


class TestChangedLoads:
    def test_unchanged_loads_are_sent_once_in_an_interval(self) -> None:
        clock = ManualClock()
        changed = ChangedLoads(clock)
        entries = [_entry(number) for number in range(UPSTREAM_COUNT)]
        sent = 0
        round_count = 100
        for _ in range(round_count):
            sent += len(changed.select(entries))
            clock.advance(ROUND_MS)
        intervals = round_count * ROUND_MS / UNCHANGED_INTERVAL_MS
        assert sent == UPSTREAM_COUNT * intervals

    @pytest.mark.parametrize(
        ("before", "after", "is_sent"),
        [
            (_entry(), _entry(in_flight=1), True),
            (_entry(in_flight=3), _entry(in_flight=2), True),
            (_entry(pace=1.0), _entry(pace=1.01 * PACE_RATIO), True),
            (_entry(pace=1.01 * PACE_RATIO), _entry(pace=1.0), True),
            (_entry(pace=1.0), _entry(pace=1.1), False),
            (_entry(pace=None), _entry(pace=1.0), True),
            (_entry(pace=None), _entry(pace=None), False),
        ],
    )
    def test_a_change_that_alters_a_choice_is_sent_at_once(
        self, before: LoadEntry, after: LoadEntry, is_sent: bool
    ) -> None:
        changed = ChangedLoads(ManualClock())
        assert changed.select([before]) == [before]
        assert changed.select([after]) == ([after] if is_sent else [])

    @pytest.mark.parametrize(
        ("before_ms", "after_ms", "is_sent"),
        [
            (None, 3_000, True),
            (0, 3_000, True),
            (1_000, 3_000, True),
            (3_000, 2_900, False),
            (100, 0, True),
            (0, 0, False),
            (None, 0, False),
        ],
    )
    def test_an_upstream_that_becomes_cold_or_warm_is_sent_at_once(
        self, before_ms: int | None, after_ms: int | None, is_sent: bool
    ) -> None:
        changed = ChangedLoads(ManualClock())
        changed.select([LoadEntry("u1", 0, 3, None, 0, cold_ms=before_ms)])
        assert bool(changed.select([LoadEntry("u1", 0, 3, None, 0, cold_ms=after_ms)])) == is_sent

    def test_small_changes_that_add_up_are_sent(self) -> None:
        changed = ChangedLoads(ManualClock())
        sent = [changed.select([_entry(pace=1.0 + 0.1 * step)]) for step in range(4)]
        assert [bool(entries) for entries in sent] == [True, False, False, True]

    def test_upstreams_without_reports_are_removed(self) -> None:
        clock = ManualClock()
        changed = ChangedLoads(clock)
        changed.select([_entry(1)])
        clock.advance(REMOVED_AFTER_MS + 1)
        changed.select([_entry(2)])
        assert set(changed._sent_by_id) == {"u2"}
