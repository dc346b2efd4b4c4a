"""Upstreams in need state on their answers how many requests a second they take in all."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.events.catalog import UpstreamRateLimited
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy.headers import parse_rate_limit
from testing.balancer.test_rate_limit import WINDOW_MS
from testing.balancer.test_rate_limit import count_allowed
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.instance import Instance
from testing.proxy.instance import Reply
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import reply_with

PER_S = 2.0
CALLS_COUNT = 40
WAIT_MS = 200
STEP_MS = 5.0
# An answer with a load renews the upstream's lease.
LOAD = "x-server-load: 1,0,3\r\n"


class NeedyUpstream:
    """An upstream that states a rate while ``is_in_need``, and records when requests arrive."""

    def __init__(self, instance: Instance, clock: ManualClock) -> None:
        self.is_in_need = True
        self.arrived_ms: list[float] = []
        self._clock = clock
        self._instance = instance
        self._upstream = ScriptedUpstream(self._answer)
        instance.announce("u1", self._upstream.address)

    def _answer(self, sock: socket.socket, head: bytes, number: int) -> bool:
        self.arrived_ms.append(self._clock.now_ms())
        stated = f"server-limit: {PER_S}\r\n" if self.is_in_need else ""
        return reply_with(extra=SIGNATURE + LOAD + stated)(sock, head, number)

    def call(self) -> Reply:
        return self._instance.call(X_Attempt_Id="q1", X_Deadline_Milliseconds=str(WAIT_MS))

    def count_most(self) -> int:
        """Return the largest number of arrivals within the window."""
        return max(
            sum(0 <= at_ms - start_ms < WINDOW_MS for at_ms in self.arrived_ms)
            for start_ms in self.arrived_ms
        )

    def close(self) -> None:
        self._upstream.close()


@contextmanager
def passing_time(clock: ManualClock, instance: Instance) -> Iterator[None]:
    """Let the time of an instance pass, except while an upstream has a request of it.

    So no request ends at its deadline for an upstream whose thread runs late.
    """
    is_over = threading.Event()

    def advance() -> None:
        while not is_over.wait(STEP_MS / 1_000):
            if not any(instance.app.count_in_flight().values()):
                clock.advance(STEP_MS)

    thread = threading.Thread(target=advance)
    thread.start()
    try:
        yield
    finally:
        is_over.set()
        thread.join()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def instance(clock: ManualClock) -> Iterator[Instance]:
    made = Instance(dialect=coltsfootrill_dialect(), clock=clock)
    yield made
    made.close()


@pytest.fixture
def upstream(instance: Instance, clock: ManualClock) -> Iterator[NeedyUpstream]:
    started = NeedyUpstream(instance, clock)
    yield started
    started.close()


class TestStatedRate:
    # Guards against an upstream that gets more requests than one and a half times what it states.
    def test_an_upstream_gets_no_more_than_it_allows(
        self, clock: ManualClock, instance: Instance, upstream: NeedyUpstream
    ) -> None:
        with passing_time(clock, instance):
            replies = [upstream.call() for _ in range(CALLS_COUNT)]
        assert upstream.count_most() <= count_allowed(PER_S)
        refused = [reply for reply in replies if reply.status != 200]
        assert {(reply.status, reply.outcome) for reply in refused} == {(503, "not-run")}
        assert all(reply.headers["Retry-After"] for reply in refused)

    def test_an_answer_without_a_rate_lifts_the_limit(
        self, clock: ManualClock, instance: Instance, upstream: NeedyUpstream
    ) -> None:
        assert instance.call(X_Attempt_Id="q1").status == 200
        wait_until(lambda: instance.server.count_in_progress() == 0)
        # The refresh logs a change, and between two of them the limit may come and go.
        instance.app.refresh()
        upstream.is_in_need = False
        # Until the stated rate allows the next request.
        clock.advance(1_000 / PER_S)
        assert instance.call(X_Attempt_Id="q1").status == 200
        for _ in range(CALLS_COUNT):
            wait_until(lambda: instance.server.count_in_progress() == 0)
            assert instance.call(X_Attempt_Id="q1").status == 200
        instance.app.refresh()
        events = [event for event in instance.events if isinstance(event, UpstreamRateLimited)]
        assert [event.per_s for event in events] == [PER_S, None]

    @pytest.mark.parametrize(
        ("text", "per_s"),
        [
            ("2", 2.0),
            ("2.7", 2.7),
            ("0", 0.0),
            ("", None),
            ("-1", None),
            ("inf", None),
            ("x", None),
        ],
    )
    def test_a_rate_that_is_no_number_is_ignored(self, text: str, per_s: float | None) -> None:
        assert parse_rate_limit(text) == per_s
