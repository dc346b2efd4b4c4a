"""Instances discover the voting replicas from any seeds, with real calls on loopback."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from random import Random

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.membership.following import FOLLOW
from coltsfootrill.membership.following import HubFollowing
from coltsfootrill.membership.following import Identity
from coltsfootrill.membership.following import order_hubs
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.view import HubView
from coltsfootrill.rpc import RpcServer
from testing.processes import wait_until


def _find_address(number: int) -> str:
    with socket.create_server((f"127.0.1.{number}", 0)) as listener:
        host, port = listener.getsockname()
        return f"{host}:{port}"


class Member:
    """One instance with its hub, its view and its long polls."""

    def __init__(self, address: str, seeds: list[str], *, voters: list[str]) -> None:
        clock = Clock()
        self.address = address
        self.replies: list[FollowReply] = []
        self.lost: list[str] = []
        self.regained: list[str] = []
        record = InstanceRecord(address, 1, address, "z1", False, 0)
        self.hub = Hub(
            record,
            boot=hash(address) % 1_000,
            clock=clock,
            share=lambda announcement: True,
            get_manifest_version=lambda: 0,
        )
        is_voter = address in voters
        if is_voter:
            self.hub.record_majority_read(voters)
        self.view = HubView(clock=clock)
        self._server = RpcServer(ThreadPoolExecutor(16))
        self._server.add(FOLLOW, self.hub.answer)
        self._server.start(address)
        self.following = HubFollowing(
            self.view,
            own_address=address,
            seeds=seeds,
            identify=lambda: Identity(record, is_candidate=False, is_hub=is_voter),
            answer_locally=self.hub.answer,
            on_reply=lambda hub, reply: self.replies.append(reply),
            on_lost=lambda hub, reason: self.lost.append(hub),
            on_regained=lambda hub, lost_for_ms: self.regained.append(hub),
            clock=clock,
            first_reply_ms=200,
        )

    def close(self) -> None:
        self.following.stop()
        self._server.stop(grace_ms=0)


@pytest.fixture
def members() -> Iterator[list[Member]]:
    addresses = [_find_address(number) for number in range(2, 6)]
    made = [Member(address, addresses[1:3], voters=addresses[:1]) for address in addresses]
    yield made
    for member in made:
        member.close()


class TestSeedsThatDoNotVote:
    def test_all_instances_discover_the_voter_when_all_start_at_once(
        self, members: list[Member]
    ) -> None:
        voter = members[0]
        for member in members:
            member.following.update_tasks()

        def have_all_discovered() -> bool:
            voter.hub.record_majority_read([voter.address])
            for member in members:
                member.following.update_tasks()
            return all(member.following.replicas == [voter.address] for member in members)

        wait_until(have_all_discovered, within_s=10)


class TestUnresponsiveHubs:
    def test_a_hub_that_never_replied_is_reported_as_lost_and_later_as_regained(self) -> None:
        address = _find_address(6)
        member = Member(_find_address(7), [address], voters=[])
        member.following.update_tasks()
        late: Member | None = None
        try:
            wait_until(lambda: member.lost == [address], within_s=10)
            late = Member(address, [], voters=[address])
            wait_until(lambda: member.regained == [address], within_s=10)
        finally:
            member.close()
            if late is not None:
                late.close()


class TestOrder:
    def test_the_own_hub_comes_first(self) -> None:
        order = order_hubs(["a", "b", "c"], own_address="b", random=Random(1))
        assert order[0] == "b"
        assert sorted(order) == ["a", "b", "c"]
        assert "d" not in order_hubs(["a"], own_address="d", random=Random(1))
