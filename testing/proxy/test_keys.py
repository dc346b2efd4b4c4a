"""Requests with keys through a whole instance: who is refused, and what upstreams get."""

from __future__ import annotations

import http.client
import json
import re
import socket
import threading
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy import forward
from coltsfootrill.proxy import newer_manifest
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.second_attempt import get_second_attempt_at_ms
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import encode
from testing.proxy.instance import Instance
from testing.proxy.instance import make_request_id
from testing.proxy.keyed import BAD_KEY
from testing.proxy.keyed import KEY
from testing.proxy.keyed import OTHER_KEY
from testing.proxy.keyed import encode_request
from testing.proxy.keyed import make_keyed_manifest

BEARER = f"Bearer {KEY}"
SIGNED = "X-Server-Signature: s\r\n"
NEW_PATH = "/new"
LONG_WAIT_MS = 10_000.0
DEADLINE_MS = 1_500.0
HEDGE_AFTER_MS = 50.0
WITHOUT_ACME = {"acme": [], "other": [OTHER_KEY]}


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def instance(clock: Clock) -> Iterator[Instance]:
    made = Instance(dialect=coltsfootrill_dialect(), clock=clock)
    made.manifests.adopt(make_keyed_manifest(2))
    yield made
    made.close()


@pytest.fixture
def upstream(instance: Instance) -> Iterator[ScriptedUpstream]:
    made = ScriptedUpstream(answer(extra=SIGNED))
    instance.announce("u1", made.address)
    yield made
    made.close()


def _list_organisations(upstream: ScriptedUpstream) -> list[str]:
    lines = [line for head in upstream.heads for line in head.decode("latin-1").split("\r\n")]
    return [line for line in lines if line.lower().startswith("x-tenant")]


def _add_route(raw: bytes) -> bytes:
    manifest = json.loads(raw)
    kinds = manifest["services"][0]["kinds"]
    kinds.append(kinds[0] | {"id": "new", "names": [f"path:{NEW_PATH}"]})
    return json.dumps(manifest).encode()


class TestKeys:
    def test_upstreams_get_the_organisation_and_no_key(
        self, instance: Instance, upstream: ScriptedUpstream
    ) -> None:
        reply = instance.call(Authorization=BEARER, X_Tenant="other")
        assert reply.status == 200
        assert _list_organisations(upstream) == ["X-Tenant: acme"]
        assert KEY.encode() not in upstream.heads[0]

    @pytest.mark.parametrize(
        ("headers", "reason"),
        [
            ({}, "no-key"),
            ({"Authorization": KEY}, "malformed-key"),
            ({"Authorization": f"Bearer {BAD_KEY}"}, "unknown-key"),
        ],
    )
    def test_others_are_refused_without_an_upstream(
        self,
        instance: Instance,
        upstream: ScriptedUpstream,
        headers: dict[str, str],
        reason: str,
    ) -> None:
        reply = instance.call(**headers)
        assert (reply.status, reply.outcome, reply.reason) == (401, "not-run", reason)
        assert reply.headers["WWW-Authenticate"] == "Bearer"
        assert upstream.heads == []

    def test_the_connection_stays_usable_after_a_refusal(
        self, instance: Instance, upstream: ScriptedUpstream
    ) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", instance.server.port, timeout=10)
        statuses = []
        for key in (BAD_KEY, KEY, BAD_KEY, KEY):
            connection.request("POST", "/once", b"body", {"Authorization": f"Bearer {key}"})
            response = connection.getresponse()
            response.read()
            statuses.append(response.status)
        connection.close()
        assert statuses == [401, 200, 401, 200]
        assert _list_organisations(upstream) == ["X-Tenant: acme"] * 2

    def test_a_route_that_does_not_exist_needs_no_key(self, instance: Instance) -> None:
        assert instance.call("/nowhere").status == 404

    def test_a_public_kind_needs_no_key(
        self, instance: Instance, upstream: ScriptedUpstream
    ) -> None:
        reply = instance.call("/later", Authorization=f"Bearer {BAD_KEY}", X_Tenant="acme")
        assert reply.status == 200
        assert _list_organisations(upstream) == []
        assert BAD_KEY.encode() not in upstream.heads[0]

    def test_a_retry_names_the_organisation(self, instance: Instance) -> None:
        def fail_first(sock: socket.socket, head: bytes, number: int) -> bool:
            sock.sendall(encode(status="500 Failed" if number == 1 else "200 OK", extra=SIGNED))
            return True

        upstreams = [ScriptedUpstream(fail_first), ScriptedUpstream(fail_first)]
        for number, made in enumerate(upstreams):
            instance.announce(f"u{number}", made.address)
        for _ in range(4):
            instance.call(Authorization=BEARER)
        heads = [head for made in upstreams for head in made.heads]
        assert len(heads) > 4
        assert all(b"X-Tenant: acme" in head and KEY.encode() not in head for head in heads)
        for made in upstreams:
            made.close()


class TestChangeOfKeys:
    def test_a_key_taken_away_ends_on_an_open_connection(
        self, instance: Instance, upstream: ScriptedUpstream
    ) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", instance.server.port, timeout=10)
        statuses = []
        for version, keys in ((3, {"acme": [KEY]}), (4, WITHOUT_ACME), (5, {"acme": [KEY]})):
            instance.manifests.adopt(make_keyed_manifest(version, keys))
            connection.request("GET", "/x", headers={"Authorization": BEARER})
            response = connection.getresponse()
            response.read()
            statuses.append(response.status)
        connection.close()
        assert statuses == [200, 401, 200]
        assert len(upstream.heads) == 2

    def test_a_key_taken_away_ends_for_what_waits_in_a_queue(self, instance: Instance) -> None:
        may_answer = threading.Event()

        def answer_later(sock: socket.socket, head: bytes, number: int) -> bool:
            may_answer.wait(5)
            sock.sendall(encode(extra=SIGNED))
            return True

        upstream = ScriptedUpstream(answer_later)
        instance.announce("u1", upstream.address, slots=1)
        replies: list[int] = []

        def call() -> None:
            replies.append(instance.call(Authorization=BEARER).status)

        first = threading.Thread(target=call)
        first.start()
        wait_until(lambda: len(upstream.heads) == 1)
        second = threading.Thread(target=call)
        second.start()
        wait_until(lambda: len(instance.server.in_progress) == 2)
        instance.manifests.adopt(make_keyed_manifest(3, WITHOUT_ACME))
        may_answer.set()
        first.join()
        second.join()
        assert sorted(replies) == [200, 401]
        assert len(upstream.heads) == 1
        upstream.close()

    @pytest.mark.parametrize("clock", [ManualClock()], ids=["manual"])
    @pytest.mark.parametrize(("is_taken_away", "attempts_count"), [(True, 1), (False, 2)])
    def test_no_hedge_follows_once_the_key_is_taken_away(
        self,
        clock: ManualClock,
        instance: Instance,
        is_taken_away: bool,
        attempts_count: int,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        stalled: list[bytes] = []
        is_waiting = threading.Event()
        is_second_tried = threading.Event()

        def record_wait(*args: Any, **names: Any) -> float:
            at_ms = get_second_attempt_at_ms(*args, **names)
            is_waiting.set()
            return at_ms

        def record_second(forwarder: forward.RequestForwarder) -> None:
            start_second(forwarder)
            is_second_tried.set()

        def stall(sock: socket.socket, head: bytes, number: int) -> bool:
            stalled.append(head)
            sock.recv(1)
            return False

        start_second = forward.RequestForwarder._start_second
        monkeypatch.setattr(forward, "get_second_attempt_at_ms", record_wait)
        monkeypatch.setattr(forward.RequestForwarder, "_start_second", record_second)
        monkeypatch.setattr(AdmissionController, "get_quantile_ms", lambda *args: HEDGE_AFTER_MS)
        upstreams = [ScriptedUpstream(stall) for _ in range(2)]
        for number, made in enumerate(upstreams):
            instance.announce(f"u{number}", made.address)
        caller = threading.Thread(
            target=lambda: instance.call("/hedged", Authorization=BEARER), daemon=True
        )
        caller.start()
        wait_until(lambda: len(stalled) == 1 and is_waiting.is_set())
        if is_taken_away:
            instance.manifests.adopt(make_keyed_manifest(3, WITHOUT_ACME))
        clock.advance(HEDGE_AFTER_MS)
        wait_until(is_second_tried.is_set)
        # What the instance has sent by now arrives, however late.
        wait_until(lambda: len(stalled) >= attempts_count)
        clock.advance(DEADLINE_MS)
        caller.join()
        wait_until(lambda: bool(instance.events))
        (event,) = [event for event in instance.events if isinstance(event, RequestEnded)]
        assert len(stalled) == len(event.attempts) == attempts_count
        assert all(b"X-Tenant: acme" in head for head in stalled)
        for made in upstreams:
            made.close()

    def test_pipelined_requests_are_checked_one_by_one(
        self, instance: Instance, upstream: ScriptedUpstream
    ) -> None:
        keys = (KEY, BAD_KEY, OTHER_KEY)
        requests = [encode_request(f"Authorization: Bearer {key}") for key in keys]
        last = encode_request(f"Authorization: Bearer {KEY}", "Connection: close")
        data = instance.send_raw(b"".join([*requests, last]))
        assert re.findall(rb"HTTP/1.1 (\d+)", data) == [b"200", b"401", b"200", b"200"]
        assert sorted(_list_organisations(upstream)) == [
            "X-Tenant: acme",
            "X-Tenant: acme",
            "X-Tenant: other",
        ]

    def test_without_organisations_nothing_changes(self, upstream: ScriptedUpstream) -> None:
        instance = Instance(dialect=coltsfootrill_dialect())
        instance.announce("u1", upstream.address)
        assert instance.call(Authorization=BEARER, X_Tenant="mine").status == 200
        assert f"authorization: {BEARER}".encode() in upstream.heads[-1]
        assert b"x-tenant: mine" in upstream.heads[-1]
        assert instance.call().status == 200
        instance.close()


class TestLateInstance:
    """A hub has reported manifest 3, which is not in force here yet."""

    @pytest.fixture
    def instance(self) -> Iterator[Instance]:
        made = Instance(dialect=coltsfootrill_dialect(), reported_version=3)
        made.manifests.adopt(make_keyed_manifest(2, WITHOUT_ACME))
        yield made
        made.close()

    @pytest.mark.parametrize("path", ["/x", NEW_PATH])
    def test_a_new_key_or_route_waits_for_the_manifest_that_adds_it(
        self,
        path: str,
        instance: Instance,
        upstream: ScriptedUpstream,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(newer_manifest, "WAIT_MAX_MS", LONG_WAIT_MS)
        statuses: list[int] = []

        def call() -> None:
            statuses.append(instance.call(path, Authorization=BEARER).status)

        caller = threading.Thread(target=call)
        caller.start()
        wait_until(lambda: len(instance.server.in_progress) == 1)
        instance.manifests.adopt(_add_route(make_keyed_manifest(3)))
        caller.join()
        assert statuses == [200]
        assert _list_organisations(upstream) == ["X-Tenant: acme"]

    def test_a_key_that_stays_unknown_is_refused(self, instance: Instance) -> None:
        reply = instance.call(Authorization=BEARER)
        assert (reply.status, reply.reason) == (401, "unknown-key")


class TestReports:
    def test_the_log_names_the_organisation(
        self, instance: Instance, upstream: ScriptedUpstream
    ) -> None:
        request_id = make_request_id()
        instance.call(Authorization=BEARER, X_Attempt_Id=request_id)
        wait_until(lambda: bool(instance.events))
        (event,) = [event for event in instance.events if isinstance(event, RequestEnded)]
        assert (event.id, event.organisation) == (request_id, "acme")

    def test_no_key_is_logged_counted_or_answered(
        self, instance: Instance, upstream: ScriptedUpstream
    ) -> None:
        answers = []
        for value in (f"Bearer {KEY}", f"Bearer {BAD_KEY}", KEY, f"Bearer {KEY}, Bearer {KEY}"):
            reply = instance.call(Authorization=value)
            answers.append(reply.body + str(reply.headers).encode())
        bad_line = f"GET /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}\rX: y\r\n\r\n"
        answers.append(instance.send_raw(bad_line.encode()))
        wait_until(lambda: len(instance.events) >= 4)
        texts = [*answers, *map(msgspec.json.encode, instance.events), instance.metrics.render()]
        texts.append(repr(instance.manifests.current).encode())
        assert instance.manifests.current is not None
        texts.append(repr(instance.manifests.current.manifest).encode())
        assert not [text for text in texts if b"s3cret" in text]
