"""A voting node under more followers than the fleet has had so far."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from coltsfootrill.control.calls import CALL_TIMEOUT_MS
from coltsfootrill.control.messages import ZERO_BALLOT
from coltsfootrill.control.messages import Inspect
from coltsfootrill.control.replica import INSPECT
from coltsfootrill.membership.exchange import FETCH_MANIFEST
from coltsfootrill.membership.messages import ManifestRequest
from coltsfootrill.roles.manifest_sync import FETCH_TIMEOUT_MS
from coltsfootrill.rpc import RpcClient
from testing.light_followers import LightFollowers
from testing.light_followers import list_fleet_addresses
from testing.light_followers import start_voters
from testing.nodes import Node
from testing.processes import wait_until

FOLLOWERS_COUNT = 450


@pytest.fixture
def voter(tmp_path: Path) -> Iterator[Node]:
    """Yield a node that votes alone."""
    nodes = start_voters(tmp_path, 1, network="127.0.10")
    yield nodes[0]
    nodes[0].end()


@pytest.fixture
def followers(voter: Node) -> Iterator[LightFollowers]:
    followers = LightFollowers(list_fleet_addresses([voter]), FOLLOWERS_COUNT, reads_manifest=False)
    wait_until(lambda: len(followers.heard_s.get(2, [])) == FOLLOWERS_COUNT, within_s=60)
    yield followers
    followers.stop()


@pytest.fixture
def client(voter: Node, followers: LightFollowers) -> Iterator[RpcClient]:
    """Yield a client of the voter, while every follower has a poll there."""
    wait_until(lambda: followers.held == FOLLOWERS_COUNT, within_s=60)
    client = RpcClient(list_fleet_addresses([voter])[0])
    yield client
    client.close()


class TestHeldPolls:
    # Guards against CONFIG in a large fleet: votes waited behind polls, which held all threads.
    def test_a_vote_is_answered_in_time(self, client: RpcClient) -> None:
        reply = client.call(INSPECT, Inspect("other", ZERO_BALLOT), timeout_ms=CALL_TIMEOUT_MS)
        assert reply.state.version == 2

    # Guards against CONFIG in a large fleet: the fetch of a manifest waited behind polls.
    def test_a_manifest_is_fetched_in_time(self, client: RpcClient) -> None:
        reply = client.call(FETCH_MANIFEST, ManifestRequest(0), timeout_ms=FETCH_TIMEOUT_MS)
        assert reply.version == 2
