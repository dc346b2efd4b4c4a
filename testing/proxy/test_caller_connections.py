"""Places of callers' connections: bounded, and given to others by callers that have stalled."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.manifest.model import CallerLimits
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.caller import CallerConnection
from coltsfootrill.proxy.caller_connections import CallerConnections
from coltsfootrill.proxy.eviction import STALLED_MIN_MS
from coltsfootrill.proxy.eviction import ConnectionState

COUNT_MAX = 4


class Callers:
    """Makes connections that were last active some time ago."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []
        self.evicted: list[ConnectionState] = []
        self.connections = CallerConnections(
            COUNT_MAX, clock=Clock(), on_evicted=self.evicted.append
        )

    def close(self) -> None:
        for sock in self._sockets:
            sock.close()

    def make(self, *, age_ms: float = 0.0) -> CallerConnection:
        pair = socket.socketpair()
        self._sockets.extend(pair)
        connection = CallerConnection(pair[0], Clock())
        connection.active_ms -= age_ms
        return connection

    def add(self, *, age_ms: float = 0.0) -> bool:
        return self.connections.add(self.make(age_ms=age_ms))


@pytest.fixture
def callers() -> Iterator[Callers]:
    made = Callers()
    yield made
    made.close()


class TestPlaces:
    def test_connection_over_the_limit_is_refused(self, callers: Callers) -> None:
        assert [callers.add() for _ in range(COUNT_MAX + 1)] == [True] * COUNT_MAX + [False]
        assert callers.evicted == []

    def test_connection_gets_the_place_of_one_that_has_been_idle(self, callers: Callers) -> None:
        idle = callers.make(age_ms=2 * STALLED_MIN_MS)
        assert callers.connections.add(idle)
        assert all(callers.add() for _ in range(COUNT_MAX))
        assert idle.is_evicted and idle.sock.recv(1) == b""
        assert callers.evicted == ["idle"]

    def test_few_connections_close_for_others_at_a_time(self, callers: Callers) -> None:
        for _ in range(COUNT_MAX):
            assert callers.add(age_ms=2 * STALLED_MIN_MS)
        assert [callers.add(), callers.add()] == [True, False]

    def test_connection_keeps_its_place_until_it_is_closed(self, callers: Callers) -> None:
        answered = callers.make()
        assert callers.connections.add(answered)
        callers.connections.linger(answered)
        assert [callers.add() for _ in range(COUNT_MAX)] == [True] * (COUNT_MAX - 1) + [False]
        callers.connections.discard(answered)
        assert callers.add()

    # Guards against a listener that ends because the connection that it chose has just closed.
    def test_a_connection_that_has_closed_as_idle_is_not_chosen(self, callers: Callers) -> None:
        idle = callers.make(age_ms=2 * STALLED_MIN_MS)
        assert callers.connections.add(idle)
        assert [callers.add() for _ in range(COUNT_MAX - 1)] == [True] * (COUNT_MAX - 1)
        budget = BodyBudget(0)
        assert not idle.wait_for_request(lambda: CallerLimits(idle_timeout_ms=1))
        callers.connections.linger(idle)
        idle.linger(budget)
        idle.close(budget)
        assert not callers.add()
        callers.connections.discard(idle)
        assert callers.add()

    # Guards against a listener that ends because the connection that it chose closes meanwhile.
    def test_a_connection_that_has_closed_is_not_evicted(self, callers: Callers) -> None:
        connection = callers.make()
        connection.close(BodyBudget(0))
        assert not connection.evict()

    def test_connection_with_unread_bytes_stays_open(self, callers: Callers) -> None:
        ours, theirs = socket.socketpair()
        with ours, theirs:
            connection = CallerConnection(ours, Clock())
            connection._is_receiving = True
            theirs.sendall(b"more")
            assert not connection.evict()
            assert ours.recv(10) == b"more"
            assert connection.evict()
