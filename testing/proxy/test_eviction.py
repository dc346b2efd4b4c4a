"""Which connection gives its place or its room, without sockets or a clock."""

from __future__ import annotations

import pytest

from coltsfootrill.proxy.eviction import LINGERING_MIN_MS
from coltsfootrill.proxy.eviction import STALLED_MIN_MS
from coltsfootrill.proxy.eviction import ConnectionState
from coltsfootrill.proxy.eviction import choose_for_place
from coltsfootrill.proxy.eviction import choose_for_room

NOW_MS = 10_000.0


class Connection:
    """A connection that has been without progress for ``age_ms``."""

    def __init__(self, state: ConnectionState, age_ms: float, *, reserved_bytes: int = 1) -> None:
        self.state = state
        self.active_ms = NOW_MS - age_ms
        self.reserved_bytes = reserved_bytes
        self.is_evicted = False


class TestPlace:
    # Pattern: a crowd that stops in the middle of its requests holds all connections.
    def test_longest_stalled_request_gives_its_place(self) -> None:
        stalled = [Connection("receiving", age_ms) for age_ms in (2_000, 3_000, 1_500)]
        assert choose_for_place(stalled, NOW_MS) is stalled[1]

    def test_answered_goes_before_stalled_and_stalled_before_idle(self) -> None:
        idle = Connection("idle", 9_000)
        stalled = Connection("receiving", 2_000)
        answered = Connection("lingering", LINGERING_MIN_MS)
        assert choose_for_place([idle, stalled, answered], NOW_MS) is answered
        assert choose_for_place([idle, stalled], NOW_MS) is stalled
        assert choose_for_place([idle], NOW_MS) is idle

    @pytest.mark.parametrize(
        "connection",
        [
            pytest.param(Connection("busy", 9_000), id="being-answered"),
            pytest.param(Connection("receiving", STALLED_MIN_MS - 1), id="in-progress"),
            pytest.param(Connection("idle", STALLED_MIN_MS - 1), id="just-used"),
            pytest.param(Connection("lingering", LINGERING_MIN_MS - 1), id="just-answered"),
        ],
    )
    def test_place_is_kept(self, connection: Connection) -> None:
        assert choose_for_place([connection], NOW_MS) is None

    def test_connection_is_not_chosen_twice(self) -> None:
        connection = Connection("receiving", 2_000)
        connection.is_evicted = True
        assert choose_for_place([connection], NOW_MS) is None


class TestRoom:
    # Pattern: a crowd that stops short holds the memory that another upload needs.
    def test_longest_stalled_body_gives_its_room(self) -> None:
        bodies = [Connection("receiving", age_ms) for age_ms in (2_000, 3_000)]
        without = Connection("receiving", 9_000, reserved_bytes=0)
        assert choose_for_room([*bodies, without], NOW_MS) is bodies[1]

    def test_body_in_progress_keeps_its_room(self) -> None:
        assert choose_for_room([Connection("receiving", STALLED_MIN_MS - 1)], NOW_MS) is None
        assert choose_for_room([Connection("busy", 9_000)], NOW_MS) is None
