"""Requests that crash each upstream that begins to run them, and return again and again."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.crash_guard import SuspectNews
from coltsfootrill.balancer.crash_suspects import CRASHES_MAX_COUNT
from coltsfootrill.balancer.crash_suspects import Crash
from coltsfootrill.events.catalog import CrashingRequest
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy.admission_controller import AdmissionController
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.instance import Instance
from testing.proxy.instance import Reply
from testing.proxy.test_dialect import reply_with

UPSTREAMS_COUNT = 8
RETURNS_COUNT = 12
DEADLY = "/x/deadly"
# Not idempotent, so each call is one attempt.
ONCE = "/once/deadly"
HARMLESS = "/x/harmless"
# A header that a deadly request of ``Service`` lacks.
HARMLESS_HEADER = {"X_Customer": "harmless"}


class Service:
    """Upstreams that crash when they begin to run a deadly request, and are back at the next call.

    They only end the connection while ``ends_process`` is false, and follow ``script`` if there is
    one.
    """

    def __init__(self) -> None:
        self.instance = Instance(dialect=coltsfootrill_dialect())
        self.is_deadly = True
        self.ends_process = True
        self.deadly_count = 0
        self.script: Script | None = None
        self.upstreams: list[ScriptedUpstream] = []
        for number in range(UPSTREAMS_COUNT):
            upstream = ScriptedUpstream(partial(self._answer, number))
            self.upstreams.append(upstream)
            self.instance.announce(f"u{number}", upstream.address)

    def _answer(self, upstream: int, sock: socket.socket, head: bytes, number: int) -> bool:
        if self.script is not None:
            return self.script(sock, head, number)
        if b"/deadly" in head.split(b"\r\n")[0] and b"x-customer: harmless" not in head.lower():
            self.deadly_count += 1
            if self.is_deadly:
                if self.ends_process:
                    self.upstreams[upstream].stop_listening()
                return False
        return reply_with()(sock, head, number)

    def call(self, path: str, *, method: str = "GET", body: bytes = b"", **headers: str) -> Reply:
        for upstream in self.upstreams:
            upstream.listen_again()
        return self.instance.call(path, method=method, body=body, X_Attempt_Id="q1", **headers)

    def close(self) -> None:
        self.instance.close()
        for upstream in self.upstreams:
            upstream.close()


@pytest.fixture
def service() -> Iterator[Service]:
    made = Service()
    yield made
    made.close()


class TestDeadlyRequest:
    # Guards against one request that crashes upstream after upstream, each time it returns.
    def test_it_reaches_no_upstream_after_three_crashes(self, service: Service) -> None:
        replies = [service.call(DEADLY) for _ in range(RETURNS_COUNT)]
        assert service.deadly_count == CRASHES_MAX_COUNT
        last = replies[-1]
        assert (last.status, last.outcome, last.reason) == (503, "not-run", "crashes-upstreams")
        assert float(last.headers["Retry-After"]) > 0

    # Guards against refused requests that keep upstreams and queues from others.
    def test_a_refused_one_waits_for_no_upstream(
        self, service: Service, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        for _ in range(CRASHES_MAX_COUNT):
            service.call(ONCE)

        def fail(*args: Any, **options: Any) -> Claim:
            raise AssertionError("it waits for an upstream")

        monkeypatch.setattr(AdmissionController, "acquire", fail)
        assert service.call(ONCE).reason == "crashes-upstreams"

    # Guards against a request sent after its third crash, since it had been checked before a wait.
    def test_one_that_crashes_upstreams_elsewhere_while_it_waits_is_not_sent(
        self, service: Service, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        guard = service.instance.app.crash_guard
        for _ in range(CRASHES_MAX_COUNT - 1):
            service.call(ONCE)
        seen = guard.take_news()
        acquire = AdmissionController.acquire

        def acquire_after_another_crash(
            controller: AdmissionController, *args: Any, **options: Any
        ) -> Claim:
            claim = acquire(controller, *args, **options)
            for news in seen:
                crash = Crash("elsewhere", 1, news.crashes[0].variant)
                guard.merge(SuspectNews(news.digest, [crash]))
            return claim

        monkeypatch.setattr(AdmissionController, "acquire", acquire_after_another_crash)
        reply = service.call(ONCE)
        assert (reply.outcome, reply.reason) == ("not-run", "crashes-upstreams")
        assert service.deadly_count == CRASHES_MAX_COUNT - 1
        assert not any(service.instance.app.count_in_flight().values())

    def test_a_request_that_may_have_run_is_not_called_not_run(self, service: Service) -> None:
        replies = [service.call(DEADLY) for _ in range(RETURNS_COUNT)]
        outcomes = [reply.outcome for reply in replies]
        refused_from = outcomes.index("not-run")
        assert set(outcomes[:refused_from]) == {"unknown"}
        assert set(outcomes[refused_from:]) == {"not-run"}

    def test_other_requests_are_answered(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.call(DEADLY)
            assert service.call(HARMLESS).status == 200

    def test_the_same_path_of_another_caller_is_another_request(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.call(DEADLY, Authorization="Bearer one")
        service.is_deadly = False
        assert service.call(DEADLY, Authorization="Bearer one").status == 503
        assert service.call(DEADLY, Authorization="Bearer two").status == 200

    def test_the_same_path_with_another_body_is_another_request(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.call(DEADLY, method="POST", body=b"one")
        service.is_deadly = False
        assert service.call(DEADLY, method="POST", body=b"one").status == 503
        assert service.call(DEADLY, method="POST", body=b"two").status == 200

    def test_it_is_logged_once(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.call(DEADLY)
        events = [one for one in service.instance.events if isinstance(one, CrashingRequest)]
        assert len(events) == 1
        assert len(events[0].upstreams) == CRASHES_MAX_COUNT

    def test_one_that_another_instance_saw_is_refused(self, service: Service) -> None:
        other = Service()
        for _ in range(RETURNS_COUNT):
            other.call(DEADLY)
        # The host, which is part of the request, names the port of the instance.
        host = f"127.0.0.1:{other.instance.server.port}"
        for news in other.instance.app.crash_guard.take_news():
            service.instance.app.crash_guard.merge(news)
        other.close()
        assert service.call(DEADLY, Host=host).status == 503
        assert service.call(DEADLY).status == 502


class TestCallersWithoutCredentials:
    """The pattern: callers send the same request, and a header of one of them makes it deadly."""

    # Guards against a deadly request that was sent on and on: answers to other callers cleared it.
    def test_answers_to_another_caller_do_not_clear_it(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.call(ONCE, X_Customer="deadly")
            service.call(ONCE, **HARMLESS_HEADER)
        assert service.deadly_count == CRASHES_MAX_COUNT

    # Guards against harmless requests refused for minutes: another caller's had crashed upstreams.
    def test_it_is_refused_for_its_own_caller_only(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.call(DEADLY, X_Customer="deadly")
        assert service.call(DEADLY, **HARMLESS_HEADER).status == 200
        assert service.call(DEADLY, X_Customer="deadly").status == 503

    def test_it_is_recognised_although_headers_change_each_time(self, service: Service) -> None:
        for number in range(RETURNS_COUNT):
            service.call(ONCE, X_Trace=str(number))
        assert service.deadly_count == CRASHES_MAX_COUNT

    def test_it_is_sent_once_more_where_headers_change_with_each_call_only(
        self, service: Service
    ) -> None:
        for number in range(RETURNS_COUNT):
            service.call(DEADLY, X_Trace=str(number))
        assert service.deadly_count <= CRASHES_MAX_COUNT + 1


class TestTrial:
    """The pattern: other requests crash the upstreams that run a harmless one."""

    @pytest.fixture(autouse=True)
    def _make_trials_due_at_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr("coltsfootrill.balancer.crash_suspects.TRIAL_AFTER_MS", 0.0)

    # Guards against a harmless request refused for ten minutes, since another crashed upstreams.
    def test_a_harmless_request_is_allowed_after_its_trial(self, service: Service) -> None:
        for _ in range(CRASHES_MAX_COUNT):
            service.call(ONCE)
        service.is_deadly = False
        assert [service.call(ONCE).status for _ in range(3)] == [200] * 3

    def test_a_deadly_request_is_tried_only_once(self, service: Service) -> None:
        replies = [service.call(DEADLY) for _ in range(RETURNS_COUNT)]
        assert service.deadly_count == CRASHES_MAX_COUNT + 1
        assert replies[-1].reason == "crashes-upstreams"


class TestAnswerWithoutARun:
    """The pattern: upstreams also answer a deadly request without running it."""

    # Guards against a deadly request that was sent on and on: refusals for lack of room cleared it.
    @pytest.mark.parametrize("status", [429, 503])
    def test_a_refusal_does_not_clear_a_deadly_request(self, service: Service, status: int) -> None:
        for _ in range(RETURNS_COUNT):
            service.script = None
            service.call(ONCE)
            service.script = reply_with(status=f"{status} Busy")
            service.call(ONCE)
        assert service.deadly_count == CRASHES_MAX_COUNT

    # Guards against the same after an answer that no upstream signed.
    def test_an_unsigned_answer_does_not_clear_it(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.script = None
            service.call(ONCE)
            service.script = reply_with(extra="")
            service.call(ONCE)
        assert service.deadly_count == CRASHES_MAX_COUNT


class TestUpstreamThatCrashesByItself:
    def test_requests_that_are_answered_elsewhere_stay_allowed(self, service: Service) -> None:
        for _ in range(RETURNS_COUNT):
            service.is_deadly = True
            service.call(ONCE)
            service.is_deadly = False
            assert service.call(ONCE).status == 200

    # Guards against harmless requests refused for minutes: upstreams had only reset connections.
    def test_a_connection_ended_by_one_that_still_listens_is_no_crash(
        self, service: Service
    ) -> None:
        service.ends_process = False
        replies = [service.call(DEADLY) for _ in range(RETURNS_COUNT)]
        assert service.deadly_count >= RETURNS_COUNT
        assert {reply.outcome for reply in replies} == {"unknown"}
        service.is_deadly = False
        assert service.call(DEADLY).status == 200

    def test_an_answer_cut_off_midway_is_no_crash(self, service: Service) -> None:
        def cut_off(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
            return False

        for upstream in service.upstreams:
            upstream._script = cut_off
        for _ in range(RETURNS_COUNT):
            service.call(HARMLESS)
        assert not service.instance.app.crash_guard.has_suspects
