"""Two nodes that share a quota over real datagrams."""

from __future__ import annotations

import json
import socket

import msgspec
import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import Event
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.view import HubView
from coltsfootrill.metrics import Metrics
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.quotas.errors import QuotaExceededError
from coltsfootrill.quotas.limits import SETTLE_MS
from coltsfootrill.quotas.member import QuotaMember
from coltsfootrill.tasks import start_task
from testing.quotas.fleet import BOUNDS
from testing.quotas.shifted_clock import ShiftedClock

TIMEOUT_MS = 500.0


def _make_manifest(version: int, rate_per_s: float) -> bytes:
    kind = {"id": "k", "names": ["path:/x"], "idempotent": True, "deadline_ms": 1_000}
    service = {"id": "work", "upstreams": ["u*"], "kinds": [kind]}
    organisation = {"name": "o1", "keys": ["k1"], "rate_per_s": rate_per_s, "burst": rate_per_s}
    manifest = {
        "schema": 1,
        "version": version,
        "services": [service],
        "organisations": [organisation],
    }
    return json.dumps(manifest).encode()


def _make_reply(records: list[InstanceRecord]) -> FollowReply:
    return FollowReply(
        boot=1,
        position=1,
        is_current=True,
        is_settled=True,
        manifest_version=1,
        instance_count=len(records),
        upstreams=[],
        renewals=[],
        replicas=[],
        is_whole=True,
        live=[],
        silent=[],
        instances=records,
        departed_instances=[],
    )


def _find_free_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class _Node:
    """The part of a node that keeps quotas."""

    def __init__(self, record: InstanceRecord, clock: Clock) -> None:
        self.manifests = ManifestHolder(collect_schemes(load_plugins()))
        self.manifests.adopt(_make_manifest(1, 30))
        self.view = HubView(clock=clock)
        self.events: list[Event] = []
        port = DatagramPort(record.address)
        self.member = QuotaMember(
            record,
            bounds=BOUNDS,
            port=port,
            manifests=self.manifests,
            view=self.view,
            is_stopping=lambda: False,
            clock=clock,
            metrics=Metrics(),
            timeout_ms=TIMEOUT_MS,
            on_event=self.events.append,
        )
        port.open()
        start_task("datagrams", port.run)

    def get_organisation(self) -> Organisation:
        table = self.manifests.current
        assert table is not None and table.manifest.organisations is not None
        return table.manifest.organisations[0]

    def take_all(self) -> int:
        count = 0
        try:
            while True:
                self.member.client.acquire(self.get_organisation())
                count += 1
        except QuotaExceededError:
            return count


class _Pair:
    """Two nodes that list each other."""

    def __init__(self) -> None:
        self.clock = ShiftedClock()
        self.records = [
            InstanceRecord(f"n{number}", 1, _find_free_address(), "z1", False, 0)
            for number in range(2)
        ]
        self.nodes = [_Node(record, self.clock) for record in self.records]
        for _ in range(int(SETTLE_MS / 1_000) + 10):
            self.pass_second()

    def pass_second(self) -> None:
        self.clock.shift(1_000.0)
        for node in self.nodes:
            node.view.apply("hub", _make_reply(self.records))
            node.member.run_housekeeping()


@pytest.fixture
def pair() -> _Pair:
    return _Pair()


class TestTwoNodes:
    def test_they_share_one_quota(self, pair: _Pair) -> None:
        first, second = pair.nodes
        most = BOUNDS.get_quota(first.get_organisation()) + BOUNDS.get_margin(
            first.get_organisation()
        )
        count = first.take_all()
        assert count >= 30
        assert count + second.take_all() <= most
        assert first.events == second.events == []

    def test_operators_see_what_was_granted_and_refused_but_no_key(self, pair: _Pair) -> None:
        first = pair.nodes[0]
        count = first.take_all()
        (use,) = first.member.list_use()
        assert (use.name, use.rate_per_s, use.granted, use.refused) == ("o1", 30, count, 1)
        assert sorted(use.deciders) == ["n0", "n1"]
        assert use.per_s > 0
        assert b"k1" not in msgspec.json.encode(use)

    def test_a_lower_limit_applies_at_once(self, pair: _Pair) -> None:
        for node in pair.nodes:
            node.take_all()
            node.manifests.adopt(_make_manifest(2, 1))
        for _ in range(30):
            pair.pass_second()
        first, second = pair.nodes
        limit = BOUNDS.get_quota(first.get_organisation()) + BOUNDS.get_margin(
            first.get_organisation()
        )
        assert 1 <= first.take_all() + second.take_all() <= limit < 30

    def test_without_a_limit_all_is_granted(self, pair: _Pair) -> None:
        for node in pair.nodes:
            node.manifests.adopt(_make_manifest(2, 0))
        first = pair.nodes[0]
        limited = Organisation(name="o1", keys=[], rate_per_s=1)
        for _ in range(100):
            first.member.client.acquire(limited)
