from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from coltsfootrill.balancer.declines import DeclineTimes
from coltsfootrill.balancer.load_report_cache import LoadReportCache
from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.metrics import Metrics
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy.load_poller import PAUSE_AFTER_FAILURE_MS
from coltsfootrill.proxy.load_poller import AssignedUpstreams
from coltsfootrill.proxy.load_poller import LoadPoller
from coltsfootrill.proxy.load_poller import assign_upstreams
from coltsfootrill.registry.announcement import COLD_MAX_MS
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import UpstreamRecord
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.instance import make_manifest

ANSWER_MAX_MS = 5_000
FLEET = [InstanceRecord(f"n{n}", 1, f"10.0.0.{n}:1", f"z{n % 3}", False, 0) for n in range(9)]


def _upstream(upstream_id: str, address: str, zone: str) -> UpstreamRecord:
    announcement = Announcement(
        id=upstream_id,
        incarnation=1,
        sequence=1,
        address=address,
        zone=zone,
        services=["work"],
        slots=3,
        state="serving",
    )
    return UpstreamRecord(announcement, origin="", last_confirmed_ms=0)


class TestAssignUpstreams:
    def test_each_upstream_is_polled_by_one_instance_of_its_zone(self) -> None:
        upstreams = [_upstream(f"u{n}", f"10.1.0.{n}:1", f"z{n % 3}") for n in range(30)]
        for upstream in upstreams:
            pollers = [own for own in FLEET if assign_upstreams(own, FLEET, [upstream])]
            assert len(pollers) == 1
            assert pollers[0].zone == upstream.announcement.zone

    def test_upstream_in_zone_without_instances_is_polled_by_one_instance(self) -> None:
        upstream = _upstream("u", "10.1.0.1:1", "far")
        assert sum(bool(assign_upstreams(own, FLEET, [upstream])) for own in FLEET) == 1


class TestAssignedUpstreams:
    """Guards against recomputing the assignment in each round, which is costly in a large fleet.

    The fleet here has 140 instances and 124 upstreams.
    """

    def test_assignment_is_not_recomputed_without_a_change(self) -> None:
        instances = [InstanceRecord(f"n{n}", 1, "", f"z{n % 3}", False, 0) for n in range(140)]
        upstreams = [_upstream(f"u{n}", f"10.1.0.{n}:1", f"z{n % 3}") for n in range(124)]
        assigned = AssignedUpstreams(instances[0])
        first = assigned.get(instances, upstreams)
        assert first == assign_upstreams(instances[0], instances, upstreams) != []
        adopted = [msgspec.structs.replace(one, manifest_version=9) for one in instances]
        assert assigned.get(adopted, upstreams) is first

    def test_change_of_fleet_or_upstreams_recomputes_the_assignment(self) -> None:
        own = FLEET[0]
        upstreams = [_upstream(f"u{n}", f"10.1.0.{n}:1", "z0") for n in range(30)]
        assigned = AssignedUpstreams(own)
        assert 0 < len(assigned.get(FLEET, upstreams)) < 30
        assert len(assigned.get([own], upstreams)) == 30
        assert len(assigned.get([own], upstreams[:4])) == 4
        moved = [own, msgspec.structs.replace(FLEET[1], zone="z0")]
        assert assigned.get(moved, upstreams) == assign_upstreams(own, moved, upstreams)


def wait_for_answer(fileno: int) -> None:
    poll = select.poll()
    poll.register(fileno, select.POLLIN)
    poll.poll(ANSWER_MAX_MS)


class PollerFixture:
    """A running poller of scripted upstreams, and the reports that it received."""

    def __init__(self, schemes: Any, clock: Clock) -> None:
        self.warm_up: dict[str, Any] | None = None
        self.upstreams: list[UpstreamRecord] = []
        self._open: list[ScriptedUpstream] = []
        self._rounds = threading.Semaphore(0)
        self.report_cache = LoadReportCache(clock)
        self.declines = DeclineTimes()
        self.poller = LoadPoller(
            FLEET[0],
            interval_ms=20,
            dialect=coltsfootrill_dialect(),
            get_table=lambda: RoutingTable.from_bytes(
                make_manifest(1, warm_up=self.warm_up), schemes
            ),
            list_instances=lambda: FLEET[:1],
            list_upstreams=lambda: self.upstreams,
            report_cache=self.report_cache,
            declines=self.declines,
            on_round=self._rounds.release,
            clock=clock,
            metrics=Metrics(),
        )
        self.receive_answers = self.poller._receive_answers
        vars(self.poller)["_receive_answers"] = self._receive_once_answered
        threading.Thread(target=self.poller.run, daemon=True).start()

    def serve(self, upstream_id: str, script: Script) -> ScriptedUpstream:
        fake = ScriptedUpstream(script)
        self._open.append(fake)
        self.upstreams = [*self.upstreams, _upstream(upstream_id, fake.address, "z0")]
        return fake

    def wait_rounds(self, count: int) -> None:
        while self._rounds.acquire(blocking=False):
            pass
        for _ in range(count):
            assert self._rounds.acquire(timeout=5)

    def _receive_once_answered(self, waiting: dict[int, UpstreamRecord]) -> None:
        """Let the poller look for answers once all upstreams polled have sent one.

        So a round judges the poller, however late the threads of the upstreams run.
        """
        for fileno in waiting:
            wait_for_answer(fileno)
        self.receive_answers(waiting)

    def close(self) -> None:
        self.poller.stop()
        for fake in self._open:
            fake.close()


@pytest.fixture
def clock() -> Clock:
    """Return the poller's clock; a test can set another one with ``parametrize``."""
    return Clock()


@pytest.fixture
def polling(schemes: Any, clock: Clock) -> Iterator[PollerFixture]:
    made = PollerFixture(schemes, clock)
    yield made
    made.close()


def _load(figures: str, upstream_id: str) -> Callable[..., bool]:
    extra = f"x-server-load: {figures}\r\nx-instance-identifier: {upstream_id}\r\n"
    return answer(b"", extra=extra)


def _wait_for_end(sock: socket.socket, head: bytes, number: int) -> bool:
    """Stay silent until the poller closes the connection."""
    sock.recv(1)
    return False


class TestRestartedUpstream:
    # Guards against a live upstream being taken out for what its former start states.
    def test_the_former_start_of_an_upstream_is_not_polled_in_place_of_the_new_one(
        self, polling: PollerFixture
    ) -> None:
        former = polling.serve("u1", answer(b"", extra="server-leaving: 1\r\n"))
        polling.wait_rounds(3)
        new = polling.serve("u9", _load("0,0,3", "u1"))
        restarted = msgspec.structs.replace(
            polling.upstreams[0].announcement, address=new.address, incarnation=2
        )
        polling.upstreams = [UpstreamRecord(restarted, origin="", last_confirmed_ms=0)]
        polling.wait_rounds(3)
        polling.report_cache.take()
        polled_count = len(former.heads)
        polling.wait_rounds(5)
        assert [entry.leaving_incarnation for entry in polling.report_cache.take()] == [None]
        assert len(former.heads) == polled_count


class TestPolling:
    def test_reports_are_received_over_one_reused_connection(self, polling: PollerFixture) -> None:
        fake = polling.serve("u1", _load("2,1,3,700", "u1"))
        polling.wait_rounds(5)
        (entry,) = polling.report_cache.take()
        assert (entry.upstream_id, entry.report.in_flight, entry.report.pace) == ("u1", 3, 7.0)
        assert fake.connections == 1
        assert len(fake.heads) > 2

    def test_an_upstream_that_is_leaving_is_reported(self, polling: PollerFixture) -> None:
        polling.serve("u1", answer(b"", extra="server-leaving: 1\r\n"))
        polling.wait_rounds(5)
        (entry,) = polling.report_cache.take()
        assert (entry.upstream_id, entry.leaving_incarnation) == ("u1", 1)

    @pytest.mark.parametrize(
        ("text", "cold_ms"), [("2500", 2_500), ("0", 0), ("1e9", COLD_MAX_MS), ("-1", None)]
    )
    def test_a_cold_upstream_is_reported(
        self, polling: PollerFixture, text: str, cold_ms: float | None
    ) -> None:
        polling.warm_up = {"duration_ms": 3_000, "requests_per_second": 8.9}
        extra = f"x-cold-milliseconds: {text}\r\nx-server-load: 0,0,3\r\n"
        polling.serve("u1", answer(b"", extra=extra))
        polling.wait_rounds(5)
        (entry,) = polling.report_cache.take()
        assert entry.cold_ms == cold_ms

    def test_without_a_warm_up_of_the_service_nothing_is_said_of_it(
        self, polling: PollerFixture
    ) -> None:
        polling.serve("u1", answer(b"", extra="x-cold-milliseconds: 2500\r\n"))
        polling.wait_rounds(5)
        assert polling.report_cache.take() == []

    def test_an_upstream_that_wants_no_request_is_not_polled(self, polling: PollerFixture) -> None:
        declining = answer(b"", status="503 Service Unavailable", extra="retry-after: 60\r\n")
        fake = polling.serve("u1", declining)
        polling.wait_rounds(5)
        assert len(fake.heads) == 1

    # Guards against polls of an upstream that has turned a request of this instance away.
    def test_an_upstream_that_declined_a_request_is_not_polled(
        self, polling: PollerFixture
    ) -> None:
        polling.declines.record("u1", 1, for_ms=60_000, now_ms=Clock().now_ms())
        fake = polling.serve("u1", _load("0,0,3,100", "u1"))
        polling.wait_rounds(5)
        assert not fake.heads

    def test_an_upstream_that_declined_a_poll_gets_no_requests(
        self, polling: PollerFixture
    ) -> None:
        extra = "retry-after: 60\r\nx-instance-identifier: u1\r\n"
        polling.serve("u1", answer(b"", status="503 Service Unavailable", extra=extra))
        polling.wait_rounds(5)
        assert polling.declines.is_declining("u1", 1, Clock().now_ms())

    def test_a_poll_that_another_upstream_declined_has_no_effect(
        self, polling: PollerFixture
    ) -> None:
        extra = "retry-after: 60\r\nx-instance-identifier: u9\r\n"
        polling.serve("u1", answer(b"", status="503 Service Unavailable", extra=extra))
        polling.wait_rounds(5)
        assert not polling.declines.is_declining("u1", 1, Clock().now_ms())

    @pytest.mark.parametrize("clock", [ManualClock()], ids=["manual"])
    def test_silent_upstream_does_not_delay_the_others(
        self, clock: ManualClock, polling: PollerFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        receive_answers = polling.receive_answers
        # Of each round, whom the poller waited for together, and who was heard meanwhile.
        rounds: list[tuple[list[str], list[str]]] = []

        def receive_once_answered(waiting: dict[int, UpstreamRecord]) -> None:
            fileno_by_id = {record.announcement.id: fileno for fileno, record in waiting.items()}
            if "u2" in fileno_by_id:
                wait_for_answer(fileno_by_id["u2"])
            receive_answers(waiting)
            if fileno_by_id:
                heard = [entry.upstream_id for entry in polling.report_cache.take()]
                rounds.append((list(fileno_by_id), heard))
                # So that the silent one is polled in every other round.
                clock.advance(PAUSE_AFTER_FAILURE_MS / 2)

        monkeypatch.setattr(polling.poller, "_receive_answers", receive_once_answered)
        polling.serve("u1", _wait_for_end)
        polling.serve("u2", _load("0,0,3,100", "u2"))
        # The round in progress may have begun before both were known.
        polling.wait_rounds(1)
        rounds.clear()
        polling.wait_rounds(6)
        beside_u1, alone = (["u1", "u2"], ["u2"]), (["u2"], ["u2"])
        assert rounds[:6] in ([beside_u1, alone] * 3, [alone, beside_u1] * 3)

    def test_load_of_another_upstream_at_the_address_is_ignored(
        self, polling: PollerFixture
    ) -> None:
        polling.serve("u1", _load("0,0,3,100", "u9"))
        polling.wait_rounds(3)
        assert polling.report_cache.take() == []
