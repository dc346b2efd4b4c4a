"""Overload seen by many instances at once.

All instances read the same report of a free slot. If each of them assigned that slot to a request
of its own, twenty requests would reach an upstream with three slots, and all of them would be
late. The dispatcher counts the attempts of all instances and assigns each slot once.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load_report_cache import ReportEntry
from coltsfootrill.balancer.rate_limit import COLD_MARGIN_MS
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
from coltsfootrill.manifest.model import WarmUp
from testing.balancer.cold_fleet import count_allowed as count_cold_allowed
from testing.balancer.cold_fleet import count_in_worst_second
from testing.balancer.test_rate_limit import count_allowed
from testing.balancer.test_rate_limit import count_most
from testing.dispatch.memory import MemoryNetwork
from testing.dispatch.memory import MemoryPort
from testing.dispatch.memory import Upstreams
from testing.dispatch.memory import make_controller
from testing.dispatch.memory import make_server
from testing.dispatch.memory import make_service

DISPATCHER = "10.1.0.1:1"
TYPICAL_MS = 100.0


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
        "remaining_ms": 3_000,
        "is_second_attempt": False,
        "within_ms": None,
        "typical_ms": TYPICAL_MS,
        "exclude": [],
    }
    return AcquireRequest(**(fields | changes))


class Fleet:
    """A dispatcher with its upstreams, and instances that record the replies they receive."""

    def __init__(
        self,
        *,
        upstreams: int,
        instances: int,
        queue_limit: int = 64,
        warm_up: WarmUp | None = None,
    ) -> None:
        service = make_service(warm_up=warm_up)
        self.clock = ManualClock(10_000.0)
        self.network = MemoryNetwork()
        self.controller = make_controller(
            Upstreams(upstreams), clock=self.clock, queue_limit=queue_limit, service=service
        )
        port = MemoryPort(self.network, DISPATCHER)
        self.server = make_server(port, self.controller, clock=self.clock, service=service)
        self.controller.refresh(service)
        self.clock.advance(1)
        self.replies_by_token: dict[int, list[DispatchReply]] = {}
        self.ports = [MemoryPort(self.network, f"10.1.1.{n}:1") for n in range(instances)]
        for port in self.ports:
            port.handle(REPLY_TOPIC, self._record_reply)

    def acquire(self, token: int, **changes: Any) -> None:
        port = self.ports[token % len(self.ports)]
        port.send(REQUEST_TOPIC, encode(make_acquire_request(token, **changes)), DISPATCHER)

    def release(self, token: int, result: Any = "answered", *, per_s: float | None = None) -> None:
        port = self.ports[token % len(self.ports)]
        port.send(REQUEST_TOPIC, encode(Release(token, result, per_s=per_s)), DISPATCHER)

    def report(self, upstream_id: str, in_flight: int, *, pace: float = 1.0) -> None:
        report = LoadReport(in_flight=in_flight, slots=3, state="serving", pace=pace)
        entry = ReportEntry(upstream_id, report, age_ms=0)
        self.controller.apply_reports([entry], self.clock.now_ms())

    def get_last_reply(self, token: int) -> DispatchReply:
        return self.replies_by_token[token][-1]

    def list_granted(self) -> dict[int, str]:
        return {
            token: replies[-1].upstream
            for token, replies in self.replies_by_token.items()
            if isinstance(replies[-1], Granted)
        }

    def _record_reply(self, payload: bytes, sender: str) -> None:
        reply = decode_reply(payload)
        self.replies_by_token.setdefault(reply.token, []).append(reply)


class TestSharedQueue:
    def test_each_slot_is_granted_once_however_many_instances_request_it(self) -> None:
        fleet = Fleet(upstreams=4, instances=20)
        for token in range(60):
            fleet.acquire(token)
        granted = fleet.list_granted()
        assert Counter(granted.values()) == {"u0": 3, "u1": 3, "u2": 3, "u3": 3}
        waiting = [token for token in range(60) if isinstance(fleet.get_last_reply(token), Waiting)]
        assert len(waiting) + len(granted) == 60

    def test_repeated_reports_of_an_idle_upstream_grant_each_slot_once(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        fleet.report("u0", 9)
        for token in range(20):
            fleet.acquire(token)
        assert fleet.list_granted() == {}
        fleet.clock.advance(100)
        for _ in range(3):
            fleet.report("u0", 0)
            fleet.clock.advance(20)
        assert len(fleet.list_granted()) == 3

    def test_the_end_of_an_attempt_grants_the_next_at_once(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        for token in range(10):
            fleet.acquire(token)
        first = sorted(fleet.list_granted())
        fleet.clock.advance(80)
        fleet.release(first[0])
        assert len(fleet.list_granted()) == len(first) + 1

    def test_the_more_urgent_kind_of_another_instance_is_granted_first(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        for token in range(3):
            fleet.acquire(token)
        fleet.acquire(10, rank=2)
        fleet.acquire(11, rank=1)
        fleet.release(0)
        assert sorted(fleet.list_granted()) == [0, 1, 2, 11]

    def test_a_full_queue_refuses_the_least_urgent_at_once(self) -> None:
        fleet = Fleet(upstreams=1, instances=20, queue_limit=4)
        for token in range(9):
            fleet.acquire(token)
        last_replies = [replies[-1] for replies in fleet.replies_by_token.values()]
        assert [type(reply) for reply in last_replies].count(Denied) == 2


class TestReportsAndGrants:
    def test_a_report_older_than_a_release_does_not_count_the_released_attempt(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.acquire(token)
        fleet.clock.advance(50)
        fleet.release(0)
        fleet.release(1)
        assert sorted(fleet.list_granted()) == [0, 1, 2, 3]
        fleet.acquire(4)
        report = LoadReport(in_flight=3, slots=3, state="serving", pace=1.0)
        fleet.clock.advance(20)
        fleet.controller.apply_reports([ReportEntry("u0", report, age_ms=30)], fleet.clock.now_ms())
        assert 4 in fleet.list_granted()

    def test_load_reports_reveal_attempts_that_were_never_released(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.acquire(token)
        fleet.clock.advance(300)
        fleet.report("u0", 0)
        assert 3 in fleet.list_granted()

    def test_attempts_in_transit_are_not_counted_as_ended(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.acquire(token)
        fleet.clock.advance(30)
        fleet.report("u0", 0)
        assert 3 not in fleet.list_granted()


class TestConnections:
    def test_upstreams_with_an_idle_connection_are_preferred(self) -> None:
        fleet = Fleet(upstreams=6, instances=2)
        fleet.acquire(0)
        first = fleet.list_granted()[0]
        fleet.clock.advance(TYPICAL_MS)
        fleet.release(0)
        for number in range(6):
            fleet.report(f"u{number}", 0)
        chosen: Counter[str] = Counter()
        for token in range(2, 402, 2):
            fleet.acquire(token)
            chosen[fleet.list_granted()[token]] += 1
            fleet.release(token, "abandoned")
        # Without the preference the share would be one sixth.
        assert chosen[first] > 200 / 3


class TestRenewals:
    def test_a_repeated_request_gets_the_same_upstream_and_takes_no_second_slot(self) -> None:
        fleet = Fleet(upstreams=2, instances=1)
        fleet.acquire(1)
        fleet.acquire(1)
        first, second = fleet.replies_by_token[1]
        assert first == second
        for token in range(2, 7):
            fleet.acquire(token)
        assert len(fleet.list_granted()) == 6

    def test_a_request_that_is_not_renewed_leaves_the_queue(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.acquire(token)
        fleet.clock.advance(500)
        fleet.server.remove_expired()
        fleet.release(0)
        assert 3 not in fleet.list_granted()

    def test_an_attempt_that_is_never_released_ends_after_its_deadline(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(3):
            fleet.acquire(token, remaining_ms=500)
        fleet.clock.advance(2_000)
        fleet.server.remove_expired()
        fleet.acquire(9)
        assert 9 in fleet.list_granted()


class TestRefusals:
    def test_a_request_is_refused_when_its_deadline_is_too_close(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        for token in range(4):
            fleet.acquire(token, remaining_ms=600)
        fleet.clock.advance(550)
        fleet.controller.refresh(make_service())
        assert fleet.get_last_reply(3) == Denied(3, "deadline")

    def test_a_request_for_an_unknown_service_is_denied_as_unavailable(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        fleet.acquire(1, service="other")
        assert fleet.get_last_reply(1) == Denied(1, "unavailable")

    def test_a_dispatcher_without_upstreams_denies_as_unavailable(self) -> None:
        fleet = Fleet(upstreams=0, instances=2)
        fleet.acquire(1)
        assert fleet.get_last_reply(1) == Denied(1, "unavailable")

    def test_a_stopping_dispatcher_denies_as_unavailable(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        port = MemoryPort(fleet.network, DISPATCHER)
        make_server(port, fleet.controller, clock=fleet.clock, is_stopping=True)
        fleet.acquire(1)
        assert fleet.get_last_reply(1) == Denied(1, "unavailable")

    def test_a_second_attempt_is_denied_at_once_without_an_idle_upstream(self) -> None:
        fleet = Fleet(upstreams=1, instances=2)
        fleet.acquire(1)
        fleet.acquire(2, is_second_attempt=True)
        assert fleet.get_last_reply(2) == Denied(2, "no-room")

    def test_a_second_attempt_goes_to_another_upstream(self) -> None:
        fleet = Fleet(upstreams=2, instances=2)
        fleet.acquire(1)
        first = fleet.list_granted()[1]
        fleet.acquire(2, is_second_attempt=True, exclude=[first])
        assert fleet.list_granted()[2] != first

    @pytest.mark.parametrize(
        "payload", [b"", b"\xc1", encode(Granted(1, "u")), b"\x93\x01\x02\x03"]
    )
    def test_a_malformed_request_raises_a_decoding_error(self, payload: bytes) -> None:
        fleet = Fleet(upstreams=1, instances=1)
        with pytest.raises(msgspec.MsgspecError):
            fleet.server.handle_request(payload, "10.1.1.0:1")


class TestStatedRate:
    """The pattern: many instances send to one upstream that states a rate for all together."""

    # Guards against a rate that each instance keeps to, but not all of them together.
    def test_the_fleet_together_keeps_to_the_rate(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        fleet.acquire(0)
        fleet.release(0, per_s=2.0)
        granted_ms: list[float] = []
        for token in range(1, 1_001):
            fleet.clock.advance(20)
            fleet.acquire(token, is_second_attempt=True)
            if isinstance(fleet.get_last_reply(token), Granted):
                granted_ms.append(fleet.clock.now_ms())
                fleet.release(token, per_s=2.0)
        assert count_most(granted_ms) <= count_allowed(2.0)
        assert len(granted_ms) >= 0.9 * 2.0 * 20

    def test_a_dispatcher_that_has_just_started_learns_the_rate_from_others(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        entry = ReportEntry("u0", None, age_ms=0, per_s=2.0)
        fleet.controller.apply_reports([entry], fleet.clock.now_ms())
        fleet.acquire(1, is_second_attempt=True)
        assert isinstance(fleet.get_last_reply(1), Denied)

    def test_requests_that_the_rate_leaves_no_time_for_are_refused_at_once(self) -> None:
        fleet = Fleet(upstreams=1, instances=20)
        fleet.acquire(0)
        fleet.release(0, per_s=2.0)
        for token in range(1, 21):
            fleet.acquire(token, target_ms=None)
        refused = [
            token for token in range(1, 21) if isinstance(fleet.get_last_reply(token), Denied)
        ]
        # Their deadline is 3 s ahead, in which the upstream takes some six requests.
        assert len(refused) >= 12


class TestColdUpstreams:
    """The pattern: a zone returns cold, and many instances ask for its idle upstreams."""

    def _state_cold(self, fleet: Fleet, cold_ms: float, *, age_ms: float = 0.0) -> None:
        entries = [
            ReportEntry(f"u{number}", None, age_ms=age_ms, cold_ms=cold_ms) for number in range(4)
        ]
        fleet.controller.apply_reports(entries, fleet.clock.now_ms())

    def test_the_fleet_together_keeps_to_the_bound_until_they_are_warm(self) -> None:
        warm_up = WarmUp(duration_ms=3_000, requests_per_second=8.9)
        fleet = Fleet(upstreams=4, instances=20, warm_up=warm_up)
        self._state_cold(fleet, 3_000, age_ms=200)
        granted_ms_by_id: dict[str, list[float]] = {f"u{number}": [] for number in range(4)}
        cold_until_ms = fleet.clock.now_ms() + 2_800
        token = 0
        while fleet.clock.now_ms() < cold_until_ms:
            fleet.clock.advance(10)
            for _ in range(4):
                token += 1
                fleet.acquire(token, is_second_attempt=True)
                reply = fleet.get_last_reply(token)
                if isinstance(reply, Granted):
                    granted_ms_by_id[reply.upstream].append(fleet.clock.now_ms())
                    fleet.release(token)
        for granted_ms in granted_ms_by_id.values():
            assert count_in_worst_second(granted_ms) <= count_cold_allowed()
            assert len(granted_ms) >= 8
        fleet.clock.advance(COLD_MARGIN_MS)
        for _ in range(12):
            token += 1
            fleet.acquire(token)
        assert len(fleet.list_granted()) - sum(map(len, granted_ms_by_id.values())) == 12

    def test_requests_that_cold_upstreams_leave_no_time_for_are_refused_at_once(self) -> None:
        warm_up = WarmUp(duration_ms=3_000, requests_per_second=1.0)
        fleet = Fleet(upstreams=4, instances=20, warm_up=warm_up)
        self._state_cold(fleet, 3_000)
        for token in range(1, 41):
            fleet.acquire(token, target_ms=None)
        refused = [
            token for token in range(1, 41) if isinstance(fleet.get_last_reply(token), Denied)
        ]
        # Their deadline is 3 s ahead, in which the four upstreams take a dozen requests.
        assert len(refused) >= 25
