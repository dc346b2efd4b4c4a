"""Requests of an organisation with a quota: one token for each attempt that may have run."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.request_tokens import RequestTokens
from coltsfootrill.proxy.request_tokens import make_request_tokens
from coltsfootrill.quotas.errors import QuotaExceededError
from coltsfootrill.quotas.holding import Token
from testing.processes import wait_until
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import send_raw
from testing.proxy.instance import Instance
from testing.proxy.keyed import KEY
from testing.proxy.keyed import OTHER_KEY
from testing.proxy.keyed import make_keyed_manifest

Serve = Callable[..., ScriptedUpstream]
ORGANISATION = Organisation(name="o1", keys=[], rate_per_s=10)
SHED = answer(b"", status="503 Service Unavailable", extra="upstream-shed: 1\r\n")
VALID_MS = 5_000.0
DEADLINE_MS = 1_500


class FakeClient:
    """Has a number of tokens, and no decider."""

    def __init__(self, count: int, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.left = count
        self.valid_ms = VALID_MS
        self.given_back: list[Token] = []

    def acquire(self, organisation: Organisation, *, wait_max_ms: float | None = None) -> Token:
        if not self.left:
            raise QuotaExceededError("organisation o1: used up", retry_after_ms=123.0)
        self.left -= 1
        return Token(self.clock.now_ms() + self.valid_ms)

    def give_back(self, organisation: Organisation, token: Token) -> None:
        self.given_back.append(token)


def _make_tokens(client: FakeClient) -> RequestTokens:
    return RequestTokens(client, ORGANISATION, clock=client.clock)  # type: ignore[arg-type]


@pytest.fixture
def client(monkeypatch: pytest.MonkeyPatch, clock: Clock) -> FakeClient:
    """Return the tokens of all requests of an instance."""
    made = FakeClient(10, clock)
    monkeypatch.setattr(
        "coltsfootrill.proxy.app.make_request_tokens", lambda *args, **names: _make_tokens(made)
    )
    return made


@pytest.fixture
def serve(instance: Instance) -> Iterator[Serve]:
    started: list[ScriptedUpstream] = []

    def start(script: Script, **changes: Any) -> ScriptedUpstream:
        started.append(ScriptedUpstream(script))
        instance.announce(f"u{len(started)}", started[-1].address, **changes)
        return started[-1]

    yield start
    for upstream in started:
        upstream.close()


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def instance(clock: Clock) -> Iterator[Instance]:
    made = Instance(clock=clock, deadline_ms=DEADLINE_MS)
    yield made
    made.close()


class TestTokensOfARequest:
    def test_one_is_reserved_once_and_spent_once(self) -> None:
        client = FakeClient(10)
        tokens = _make_tokens(client)
        tokens.reserve()
        tokens.reserve()
        tokens.spend()
        tokens.close()
        assert client.left == 9
        assert client.given_back == []

    def test_one_that_no_attempt_used_is_given_back_once(self) -> None:
        client = FakeClient(10)
        tokens = _make_tokens(client)
        tokens.reserve()
        tokens.close()
        tokens.close()
        assert len(client.given_back) == 1

    def test_an_attempt_that_was_not_run_leaves_its_token_to_the_next(self) -> None:
        client = FakeClient(1)
        tokens = _make_tokens(client)
        tokens.spend()
        tokens.take_back()
        tokens.spend()
        tokens.close()
        assert client.given_back == []

    def test_an_attempt_that_may_have_run_needs_another(self) -> None:
        tokens = _make_tokens(FakeClient(1))
        tokens.spend()
        with pytest.raises(NotRunError):
            tokens.reserve()

    def test_one_that_expired_while_the_request_waited_is_not_used(self) -> None:
        client = FakeClient(2)
        client.valid_ms = 5.0
        tokens = _make_tokens(client)
        tokens.reserve()
        time.sleep(0.01)
        tokens.spend()
        assert client.left == 0

    def test_a_parallel_attempt_without_one_is_not_sent(self) -> None:
        tokens = _make_tokens(FakeClient(1))
        tokens.spend()
        assert not tokens.spend_second()

    def test_the_time_to_return_is_rounded_up(self) -> None:
        with pytest.raises(NotRunError) as refused:
            _make_tokens(FakeClient(0)).reserve()
        assert refused.value.retry_after_s == 0.13

    @pytest.mark.parametrize("organisation", [None, Organisation(name="o2", keys=[])])
    def test_without_a_quota_nothing_is_counted(self, organisation: Organisation | None) -> None:
        client = FakeClient(0)
        tokens = make_request_tokens(client, organisation, clock=Clock())  # type: ignore[arg-type]
        tokens.reserve()
        tokens.spend()
        assert tokens.spend_second()
        tokens.close()


class TestForwarding:
    def test_an_answered_request_takes_one(
        self, instance: Instance, serve: Serve, client: FakeClient
    ) -> None:
        serve(answer())
        assert instance.call("/x").status == 200
        assert (client.left, client.given_back) == (9, [])

    def test_beyond_the_quota_it_is_refused_before_it_waits(
        self, instance: Instance, serve: Serve, client: FakeClient
    ) -> None:
        upstream = serve(answer())
        client.left = 0
        reply = instance.call("/x")
        assert (reply.status, reply.outcome, reply.reason) == (429, "not-run", "quota")
        assert reply.headers["Retry-After"] == "1"
        assert upstream.heads == []

    def test_a_request_without_an_upstream_gives_its_token_back(
        self, instance: Instance, client: FakeClient
    ) -> None:
        assert instance.call("/x").status == 503
        assert len(client.given_back) == 10 - client.left == 1

    # The clock stands still, so that both refusals arrive before the deadline, however late.
    @pytest.mark.parametrize("clock", [ManualClock()], ids=["manual"])
    def test_a_retry_after_a_refusal_takes_no_second(
        self, clock: ManualClock, instance: Instance, serve: Serve, client: FakeClient
    ) -> None:
        upstreams = [serve(SHED), serve(SHED)]
        caller = threading.Thread(target=instance.call, args=("/x",))
        caller.start()
        wait_until(lambda: all(upstream.heads for upstream in upstreams))
        wait_until(lambda: not any(instance.app.count_in_flight().values()))
        # It now waits for a third upstream, which does not come.
        clock.advance(DEADLINE_MS)
        caller.join()
        assert [len(upstream.heads) for upstream in upstreams] == [1, 1]
        assert client.left == 9
        assert len(client.given_back) == 1

    def test_a_retry_after_a_lost_attempt_takes_another(
        self, instance: Instance, serve: Serve, client: FakeClient
    ) -> None:
        upstreams = [serve(send_raw(b"")) for _ in range(2)]
        instance.call("/x")
        sent = sum(len(upstream.heads) for upstream in upstreams)
        assert sent == 10 - client.left
        assert client.given_back == []

    def test_a_retry_beyond_the_quota_leaves_the_outcome_unknown(
        self, instance: Instance, serve: Serve, client: FakeClient
    ) -> None:
        serve(send_raw(b""))
        serve(answer())
        client.left = 1
        statuses = set()
        for _ in range(5):
            client.left = 1
            statuses.add(instance.call("/x").status)
        assert statuses <= {200, 502}
        assert 429 not in statuses


def test_a_platform_caller_gets_a_fraction(client: FakeClient) -> None:
    instance = Instance(dialect=coltsfootrill_dialect())
    client.left = 0
    try:
        assert instance.call("/x").headers["Retry-After"] == "0.13"
    finally:
        instance.close()


def test_the_organisation_of_a_key_is_asked_for_its_quota() -> None:
    client = FakeClient(0)
    instance = Instance(quotas=client)  # type: ignore[arg-type]
    upstream = ScriptedUpstream(answer())
    try:
        manifest = json.loads(make_keyed_manifest(2))
        manifest["organisations"][0]["rate_per_s"] = 10
        instance.manifests.adopt(json.dumps(manifest).encode())
        instance.announce("u1", upstream.address)
        refused = instance.call(Authorization=f"Bearer {KEY}")
        assert refused.status == 429 and refused.reason == "quota"
        assert refused.headers["Retry-After"] == "1"
        assert instance.call(Authorization=f"Bearer {OTHER_KEY}").status == 200
        client.left = 1
        assert instance.call(Authorization=f"Bearer {KEY}").status == 200
        assert client.left == 0
    finally:
        instance.close()
        upstream.close()
