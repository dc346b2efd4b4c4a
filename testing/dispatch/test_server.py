"""Demand above capacity, seen by many instances at once.

Each instance reads the same report of a free slot. When each of them gives that slot to a request
of its own, twenty requests meet at an upstream that works on three, and all of them are late. The
dispatcher counts the attempts of all instances and gives each slot away once.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.report_book import ReportEntry
from coltsfootrill.clock import ManualClock
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
from testing.dispatch.memory import MemoryNetwork
from testing.dispatch.memory import MemoryPort
from testing.dispatch.memory import Upstreams
from testing.dispatch.memory import make_controller
from testing.dispatch.memory import make_server
from testing.dispatch.memory import make_service

DISPATCHER = "10.1.0.1:1"
USUAL_MS = 100.0


def make_acquire_request(token: int, **changes: Any) -> AcquireRequest:
    fields: dict[str, Any] = {
        "token": token,
        "service": "work",
        "kind": "k",
        "zone": "z1",
        "target_ms": 400,
        "rank": 2,
        "priority": "normal",
        "latest_ms": None,
        "waited_ms": 0,
        "age_ms": 0,
        "left_ms": 3_000,
        "is_extra": False,
        "within_ms": None,
        "usual_ms": USUAL_MS,
        "exclude": [],
    }
    return AcquireRequest(**(fields | changes))


class Fleet:
    """A dispatcher with its upstreams, and instances that note the replies they get."""

    def __init__(self, *, upstreams: int, instances: int, queue_limit: int = 64) -> None:
        self.clock = ManualClock(10_000.0)
        self.network = MemoryNetwork()
        self.gate = make_controller(Upstreams(upstreams), clock=self.clock, queue_limit=queue_limit)
        port = MemoryPort(self.network, DISPATCHER)
        self.server = make_server(port, self.gate, clock=self.clock)
        self.gate.refresh(make_service())
        self.clock.advance(1)
        self.replies_by_token: dict[int, list[DispatchReply]] = {}
        self.ports = [MemoryPort(self.network, f"10.1.1.{n}:1") for n in range(instances)]
        for member in self.ports:
            member.handle(REPLY_TOPIC, self._take)

    def ask(self, token: int, **changes: Any) -> None:
        port = self.ports[token % len(self.ports)]
        port.send(REQUEST_TOPIC, encode(make_acquire_request(token, **changes)), DISPATCHER)

    def release(self, token: int, result: Any = "answered") -> None:
        port = self.ports[token % len(self.ports)]
        port.send(REQUEST_TOPIC, encode(Release(token, result)), DISPATCHER)

    def report(self, upstream_id: str, in_flight: int, *, pace: float = 1.0) -> None:
        report = LoadReport(in_flight=in_flight, slots=3, state="serving", pace=pace)
        entry = ReportEntry(upstream_id, report, age_ms=0)
        self.gate.take_reports([entry], self.clock.now_ms())

    def get_last(self, token: int) -> DispatchReply:
        return self.replies_by_token[token][-1]

    def list_granted(self) -> dict[int, str]:
        return {
            token: replies[-1].upstream
            for token, replies in self.replies_by_token.items()
            if isinstance(replies[-1], Granted)
        }

    def _take(self, payload: bytes, sender: str) -> None:
        reply = decode_reply(payload)
        self.replies_by_token.setdefault(reply.token, []).append(reply)


class TestOneQueueForAll:
    def test_slots_are_given_away_once_however_many_instances_ask(self) -> None:
        fleet = Fleet(upstreams=4, instances=20)
        for token in range(60):
            fleet.ask(token)
        granted = fleet.list_granted()
        assert Counter(granted.values()) == {"u0": 3, "u1": 3, "u2": 3, "u3": 3}
        waiting = [token for token in range(60) if isinstance(fleet.get_last(token), Waiting)]
        assert len(waiting) + len(granted) == 60

    def test_a_report_of_a_free_upstream_lets_in_as_many_as_it_has_slots(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        fleet.report("u0", 9)
        for token in range(20):
            fleet.ask(token)
        assert fleet.list_granted() == {}
        fleet.clock.advance(100)
        for _ in range(3):
            fleet.report("u0", 0)
            fleet.clock.advance(20)
        assert len(fleet.list_granted()) == 3

    def test_the_end_of_an_attempt_lets_the_next_in_at_once(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        for token in range(10):
            fleet.ask(token)
        first = sorted(fleet.list_granted())
        fleet.clock.advance(80)
        fleet.release(first[0])
        assert len(fleet.list_granted()) == len(first) + 1

    def test_the_more_urgent_kind_of_another_instance_goes_first(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        for token in range(3):
            fleet.ask(token)
        fleet.ask(10, rank=2)
        fleet.ask(11, rank=1)
        fleet.release(0)
        assert sorted(fleet.list_granted()) == [0, 1, 2, 11]

    def test_a_queue_that_is_full_refuses_the_least_urgent_at_once(self) -> None:
        fleet = Fleet(upstreams=1, instances=20, queue_limit=4)
        for token in range(9):
            fleet.ask(token)
        denied = [reply[-1] for reply in fleet.replies_by_token.values()]
        assert [type(reply) for reply in denied].count(Denied) == 2


class TestReportsAndGrants:
    def test_a_report_from_before_an_end_does_not_count_the_ended_attempt(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.ask(token)
        fleet.clock.advance(50)
        fleet.release(0)
        fleet.release(1)
        assert sorted(fleet.list_granted()) == [0, 1, 2, 3]
        fleet.ask(4)
        report = LoadReport(in_flight=3, slots=3, state="serving", pace=1.0)
        fleet.clock.advance(20)
        fleet.gate.take_reports([ReportEntry("u0", report, age_ms=30)], fleet.clock.now_ms())
        assert 4 in fleet.list_granted()

    def test_ends_that_were_never_told_are_found_by_reports(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.ask(token)
        fleet.clock.advance(300)
        fleet.report("u0", 0)
        assert 3 in fleet.list_granted()

    def test_attempts_on_their_way_are_not_taken_for_ended(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.ask(token)
        fleet.clock.advance(30)
        fleet.report("u0", 0)
        assert 3 not in fleet.list_granted()


class TestConnections:
    def test_an_instance_is_sent_where_it_has_an_idle_connection(self) -> None:
        fleet = Fleet(upstreams=6, instances=2)
        fleet.ask(0)
        first = fleet.list_granted()[0]
        fleet.clock.advance(USUAL_MS)
        fleet.release(0)
        for number in range(6):
            fleet.report(f"u{number}", 0)
        chosen: Counter[str] = Counter()
        for token in range(2, 402, 2):
            fleet.ask(token)
            chosen[fleet.list_granted()[token]] += 1
            fleet.release(token, "abandoned")
        # Without a preference it would be one in six.
        assert chosen[first] > 200 / 3


class TestRenewals:
    def test_a_repeated_question_gets_the_same_upstream_and_takes_no_second_slot(self) -> None:
        fleet = Fleet(upstreams=2, instances=1)
        fleet.ask(1)
        fleet.ask(1)
        first, second = fleet.replies_by_token[1]
        assert first == second
        for token in range(2, 7):
            fleet.ask(token)
        assert len(fleet.list_granted()) == 6

    def test_a_question_that_is_not_renewed_waits_no_more(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.ask(token)
        fleet.clock.advance(500)
        fleet.server.clean()
        fleet.release(0)
        assert 3 not in fleet.list_granted()

    def test_an_attempt_whose_end_is_never_told_ends_after_its_deadline(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(3):
            fleet.ask(token, left_ms=500)
        fleet.clock.advance(2_000)
        fleet.server.clean()
        fleet.ask(9)
        assert 9 in fleet.list_granted()


class TestRefusals:
    def test_a_request_that_waits_in_vain_is_refused(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.ask(token, left_ms=600)
        fleet.clock.advance(550)
        fleet.gate.refresh(make_service())
        assert fleet.get_last(3) == Denied(3, "deadline")

    def test_a_service_that_is_not_known_here_is_left_to_the_others(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        fleet.ask(1, service="other")
        assert fleet.get_last(1) == Denied(1, "unavailable")

    def test_without_upstreams_the_others_choose_themselves(self) -> None:
        fleet = Fleet(upstreams=0, instances=2)
        fleet.ask(1)
        assert fleet.get_last(1) == Denied(1, "unavailable")

    def test_a_stopping_instance_chooses_no_more(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        port = MemoryPort(fleet.network, DISPATCHER)
        make_server(port, fleet.gate, clock=fleet.clock, is_stopping=True)
        fleet.ask(1)
        assert fleet.get_last(1) == Denied(1, "unavailable")

    def test_a_second_attempt_gets_idle_upstreams_only_and_does_not_wait(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        fleet.ask(1)
        fleet.ask(2, is_extra=True)
        assert fleet.get_last(2) == Denied(2, "no-room")

    def test_a_second_attempt_goes_to_another_upstream(self) -> None:
        fleet = Fleet(upstreams=2, instances=2)
        fleet.ask(1)
        first = fleet.list_granted()[1]
        fleet.ask(2, is_extra=True, exclude=[first])
        assert fleet.list_granted()[2] != first

    @pytest.mark.parametrize(
        "payload", [b"", b"\xc1", encode(Granted(1, "u")), b"\x93\x01\x02\x03"]
    )
    def test_bytes_that_are_no_question_are_refused(self, payload: bytes) -> None:
        fleet = Fleet(upstreams=1, instances=1)
        with pytest.raises(msgspec.MsgspecError):
            fleet.server.take(payload, "10.1.1.0:1")
