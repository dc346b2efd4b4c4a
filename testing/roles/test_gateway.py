from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.metrics import Metrics
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import find_policy
from coltsfootrill.plugins import load_plugins
from coltsfootrill.proxy.caller import WRITE_TIMEOUT_MS
from coltsfootrill.proxy.turns import Turn
from coltsfootrill.proxy.turns import TurnOrder
from coltsfootrill.roles.gateway import Gateway
from coltsfootrill.roles.gateway import get_stop_limit_ms
from coltsfootrill.roles.node import NodeRole
from coltsfootrill.settings import Settings
from coltsfootrill.settings_catalog import NODE_SETTINGS
from testing.platform.test_desired_state import encode_state
from testing.platform.test_desired_state import route
from testing.proxy.instance import make_manifest

DEADLINE_MS = 1_500
PLACES = 4

REQUIRED = """
[instance]
id = n1
zone = z1
first_start = true
[metrics]
listen = 127.0.0.1:1
[ready]
listen = 127.0.0.1:2
[interface]
listen = 127.0.0.1:3
name = platform
dialect = platform
manifest = platform
[fleet]
listen = 127.0.0.1:4
seeds = 127.0.0.1:4
[callers]
listen = 127.0.0.1:5
notice_ms = 2600
"""


class TestStopLimit:
    # Guards against requests that are cut though the process may run on.
    @pytest.mark.parametrize(
        ("lines", "limit_ms"),
        [("", 2_800), ("grace_s = 6", 2_800), ("grace_s = 10", 6_800), ("grace_s = 1", 0)],
    )
    def test_requests_have_the_whole_grace_period(
        self, tmp_path: Path, lines: str, limit_ms: float
    ) -> None:
        path = tmp_path / "n.ini"
        path.write_text(REQUIRED + lines)
        assert get_stop_limit_ms(Settings.from_file(path, NODE_SETTINGS)) == limit_ms


class FullGateway:
    """A gateway whose places are all taken by requests that do not end."""

    def __init__(self, path: Path, clock: ManualClock) -> None:
        path.write_text(REQUIRED + f"requests = {PLACES}")
        plugins = load_plugins()
        manifests = ManifestHolder(collect_schemes(plugins))
        manifests.adopt(make_manifest(1, DEADLINE_MS))
        self.metrics = Metrics()
        self.gateway = Gateway(
            Settings.from_file(path, NODE_SETTINGS),
            manifests=manifests,
            source=Fleet(InstanceRecord("n1", 1, "127.0.0.1:4", "z1", False, 1), clock=clock),
            policy=find_policy(plugins, "least-expected-wait"),
            random=Random(1),
            clock=clock,
            metrics=self.metrics,
        )
        self.turns: list[Turn] = []
        for _ in range(PLACES):
            turn = TurnOrder().take()
            assert turn is not None
            self.gateway._caller_server.in_progress.add(turn)
            self.turns.append(turn)

    def get_value(self, name: str) -> float:
        value = self.metrics.registry.get_sample_value(f"coltsfootrill_{name}")
        assert value is not None
        return value


@pytest.fixture
def full(tmp_path: Path, clock: ManualClock) -> FullGateway:
    return FullGateway(tmp_path / "n.ini", clock)


class TestRequestsThatDoNotEnd:
    # Guards against a leak of requests in progress that is seen only once callers are refused.
    def test_gauges_show_them(self, full: FullGateway, clock: ManualClock) -> None:
        clock.advance(2_500)
        full.turns[1].is_waiting = True
        assert full.get_value("requests_in_progress") == PLACES
        assert full.get_value("turns_waiting") == 1
        assert full.get_value("oldest_request_seconds") == 2.5
        for turn in full.turns:
            turn.end()
        assert full.get_value("requests_in_progress") == 0
        assert full.get_value("turns_waiting") == 0
        assert full.get_value("oldest_request_seconds") == 0

    # Guards against a node that refuses everything and says that it is ready.
    def test_all_is_refused_once_every_request_should_have_ended(
        self, full: FullGateway, clock: ManualClock
    ) -> None:
        clock.advance(DEADLINE_MS + WRITE_TIMEOUT_MS)
        assert not full.gateway.refuses_all()
        clock.advance(1)
        assert full.gateway.refuses_all()
        full.turns[0].end()
        assert not full.gateway.refuses_all()


class TestReadiness:
    # Guards against a node that refuses everything and says that it is ready.
    def test_node_that_refuses_everything_is_not_ready(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        path = tmp_path / "n.ini"
        path.write_text(REQUIRED + "[tls]\nplain = true\n")
        role = NodeRole.from_file(path)
        role.manifests.adopt(encode_state(route()))
        monkeypatch.setattr(type(role.view), "list_usable", lambda view: [object()])
        assert role.is_ready()
        monkeypatch.setattr(role.gateway, "refuses_all", lambda: True)
        assert not role.is_ready()
