"""Upstreams that turn a request away and state for how long they want none of this instance."""

from __future__ import annotations

import socket

import msgspec
import pytest

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.clock import ManualClock
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.proxy.headers import RETRY_AFTER_MAX_MS
from coltsfootrill.proxy.headers import parse_retry_after_ms
from coltsfootrill.proxy.request import RequestTimes
from coltsfootrill.registry.directory import UpstreamRecord
from testing.dispatch.memory import Upstreams
from testing.dispatch.memory import make_controller
from testing.dispatch.memory import make_service
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.instance import Instance
from testing.proxy.instance import Reply
from testing.proxy.test_dialect import NOT_RUN
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import reply_with

CALLS_COUNT = 12
# Longer than any test, and than the deadline of a request.
LONG_S = 60
SHORT_S = 0.2
# An answer with a load renews the upstream's lease.
LOAD = "x-server-load: 1,0,3\r\n"


class Decliner:
    """An upstream that declines its first request for ``seconds``, and answers later ones."""

    def __init__(self, instance: Instance, upstream_id: str, seconds: float) -> None:
        self._seconds = seconds
        self.upstream = ScriptedUpstream(self._answer)
        instance.announce(upstream_id, self.upstream.address)

    def _answer(self, sock: socket.socket, head: bytes, number: int) -> bool:
        if number > 1:
            return reply_with(extra=SIGNATURE + LOAD)(sock, head, number)
        extra = NOT_RUN + LOAD + f"retry-after: {self._seconds}\r\n"
        return reply_with(status="503 Service Unavailable", extra=extra)(sock, head, number)

    @property
    def count(self) -> int:
        return len(self.upstream.heads)


def call(instance: Instance) -> Reply:
    return instance.call(X_Attempt_Id="q1")


class TestDecliningUpstream:
    # Guards against requests to an upstream that has just asked for a pause.
    def test_it_gets_no_request_in_the_stated_time(self, instance: Instance) -> None:
        decliner = Decliner(instance, "u1", LONG_S)
        call(instance)
        other = ScriptedUpstream(reply_with(extra=SIGNATURE + LOAD))
        instance.announce("u2", other.address)
        replies = [call(instance) for _ in range(CALLS_COUNT)]
        assert {reply.status for reply in replies} == {200}
        assert decliner.count == 1
        other.close()

    def test_requests_wait_for_a_time_within_their_deadline(self, instance: Instance) -> None:
        decliner = Decliner(instance, "u1", SHORT_S)
        call(instance)
        assert call(instance).status == 200
        assert decliner.count > 1

    def test_requests_are_refused_at_once_if_all_decline_for_longer(
        self, instance: Instance
    ) -> None:
        decliners = [Decliner(instance, f"u{number}", LONG_S) for number in range(2)]
        while not all(decliner.count for decliner in decliners):
            call(instance)
        reply = call(instance)
        assert (reply.status, reply.outcome, reply.reason) == (503, "not-run", "declined")
        assert float(reply.headers["Retry-After"]) > LONG_S / 2
        assert [decliner.count for decliner in decliners] == [1, 1]
        ended = [event for event in instance.events if isinstance(event, RequestEnded)]
        assert ended[-1].admission is not None
        assert ended[-1].admission.declined == len(decliners)


class TestSeveralRefusals:
    # Guards against requests in a stated time that a later, shorter one has cut off.
    def test_a_shorter_time_does_not_end_a_longer_one(self) -> None:
        clock = ManualClock(1_000)
        controller = make_controller(Upstreams(1), clock=clock)
        kind = make_service().kinds[0]
        claims = [controller.try_acquire(make_service(), kind, exclude=frozenset())]
        claims.append(
            controller.acquire(
                make_service(),
                kind,
                RequestTimes(arrived_ms=1_000, deadline_ms=4_000),
                exclude=frozenset(),
                should_stop_waiting=lambda: True,
            )
        )
        for claim, declined_for_ms in zip(claims, (5_000, 1_000), strict=True):
            assert claim is not None
            claim.declined_for_ms = declined_for_ms
            controller.end(claim, "shed")
        ends_ms: list[float] = []
        controller.read_pool(lambda pool, now_ms: ends_ms.append(pool.get_declined_until_ms()))
        assert ends_ms == [6_000]


class TestReturningUpstream:
    """An upstream that is not listed for a while, as when its heartbeats are late."""

    def _return(self, incarnation: int) -> Claim | None:
        upstreams = Upstreams(1)
        controller = make_controller(upstreams, clock=ManualClock(1_000))
        kind = make_service().kinds[0]
        claim = controller.try_acquire(make_service(), kind, exclude=frozenset())
        assert claim is not None
        claim.declined_for_ms = 5_000
        controller.end(claim, "shed")
        (record,) = upstreams.records
        announcement = msgspec.structs.replace(record.announcement, incarnation=incarnation)
        returned = UpstreamRecord(announcement, origin="", last_confirmed_ms=1_000)
        for records in ([], [returned]):
            upstreams.records = records
            upstreams.generation += 1
            controller.refresh(make_service())
        return controller.try_acquire(make_service(), kind, exclude=frozenset())

    # Guards against requests in a stated time that was forgotten when a lease ended.
    def test_it_still_declines_requests(self) -> None:
        incarnation = Upstreams(1).records[0].announcement.incarnation
        assert self._return(incarnation) is None

    def test_its_next_start_does_not(self) -> None:
        incarnation = Upstreams(1).records[0].announcement.incarnation
        assert self._return(incarnation + 1) is not None


class TestEarlyDeadlines:
    # Guards against refusals on a host that has just started, whose clock is near 0.
    def test_nothing_is_declined_before_an_upstream_did(self) -> None:
        clock = ManualClock(1)
        controller = make_controller(Upstreams(2), clock=clock, typical_ms=5_000)
        claim = controller.acquire(
            make_service(),
            make_service().kinds[0],
            RequestTimes(arrived_ms=1, deadline_ms=3_001),
            exclude=frozenset(),
            should_stop_waiting=lambda: True,
        )
        ends_ms: list[float] = []
        controller.read_pool(lambda pool, now_ms: ends_ms.append(pool.get_declined_until_ms()))
        assert claim is not None
        assert ends_ms == [float("-inf")]


class TestHeader:
    @pytest.mark.parametrize(
        ("value", "after_ms"),
        [
            (None, 0),
            ("", 0),
            ("soon", 0),
            ("-1", 0),
            ("nan", 0),
            ("Fri, 31 Dec 1999 23:59:59 GMT", 0),
            ("0.25", 250),
            ("3", 3_000),
            ("inf", RETRY_AFTER_MAX_MS),
            ("1e300", RETRY_AFTER_MAX_MS),
        ],
    )
    def test_only_a_positive_number_of_seconds_counts(
        self, value: str | None, after_ms: float
    ) -> None:
        assert parse_retry_after_ms(value) == after_ms
