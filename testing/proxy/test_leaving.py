"""Upstreams that are leaving state so on their answers, maybe before their announcement arrives."""

from __future__ import annotations

import pytest

from coltsfootrill.proxy.headers import parse_leaving
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.instance import Instance
from testing.proxy.instance import Reply
from testing.proxy.test_dialect import NOT_RUN
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import reply_with

LEAVING = "server-leaving: 1\r\n"
# An answer with a load renews the upstream's lease.
LOAD = "x-server-load: 1,0,3\r\n"
CALLS_COUNT = 12


def call(instance: Instance) -> Reply:
    return instance.call(X_Attempt_Id="q1")


class TestStatedLeaving:
    # Guards against requests that reach an upstream long after it has stated that it is leaving.
    @pytest.mark.parametrize(
        ("status", "extra"), [("200 OK", SIGNATURE), ("503 Service Unavailable", NOT_RUN)]
    )
    def test_an_upstream_gets_no_request_after_it(
        self, instance: Instance, status: str, extra: str
    ) -> None:
        leaving = ScriptedUpstream(reply_with(status=status, extra=extra + LEAVING + LOAD))
        staying = ScriptedUpstream(reply_with(extra=SIGNATURE + LOAD))
        instance.announce("u1", leaving.address)
        while not leaving.heads:
            call(instance)
        instance.announce("u2", staying.address)
        # A heartbeat that was sent before does not bring it back.
        instance.announce("u1", leaving.address)
        replies = [call(instance) for _ in range(CALLS_COUNT)]
        assert {reply.status for reply in replies} == {200}
        assert len(leaving.heads) == 1
        leaving.close()
        staying.close()

    def test_requests_are_refused_at_once_if_all_are_leaving(self, instance: Instance) -> None:
        leaving = ScriptedUpstream(reply_with(extra=SIGNATURE + LEAVING + LOAD))
        instance.announce("u1", leaving.address)
        assert call(instance).status == 200
        reply = call(instance)
        assert (reply.status, reply.reason) == (503, "no-upstream")
        leaving.close()

    def test_its_next_start_gets_requests_again(self, instance: Instance) -> None:
        leaving = ScriptedUpstream(reply_with(extra=SIGNATURE + LEAVING + LOAD))
        instance.announce("u1", leaving.address)
        call(instance)
        started = ScriptedUpstream(reply_with(extra=SIGNATURE + LOAD))
        instance.announce("u1", started.address, incarnation=2)
        assert call(instance).status == 200
        assert len(started.heads) == 1
        leaving.close()
        started.close()

    def test_the_answer_of_another_upstream_at_the_address_says_nothing(
        self, instance: Instance
    ) -> None:
        other = ScriptedUpstream(reply_with(status="421 Misdirected Request", extra=LEAVING))
        instance.announce("u1", other.address)
        call(instance)
        assert not instance.fleet.directory.by_id["u1"].is_leaving
        other.close()


class TestHeader:
    @pytest.mark.parametrize(
        ("value", "is_leaving"),
        [(None, False), ("", False), ("0", False), ("yes", False), ("1", True), (" 1 ", True)],
    )
    def test_only_one_value_states_it(self, value: str | None, is_leaving: bool) -> None:
        assert parse_leaving(value) == is_leaving
