"""In a large fleet, a hub sends only the instances that joined or left, not the whole list."""

from __future__ import annotations

import msgspec
import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.membership import roster as roster_module
from coltsfootrill.membership.hub import FOLLOWER_TIMEOUT_MS
from coltsfootrill.membership.hub import INSTANCE_CHANGE_DELAY_PER_FOLLOWER_MS
from coltsfootrill.membership.hub import SETTLED_AFTER_MS
from coltsfootrill.membership.hub import SILENT_AFTER_MS
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.view import HubView
from testing.membership.test_hub import announce
from testing.records import make_usable_record

FLEET_COUNT = 140


def _request(
    number: int, *, boot: int = 0, position: int = 0, is_hub: bool = False
) -> FollowRequest:
    sender = InstanceRecord(f"n{number}", 1, f"10.0.0.{number}:1", "z1", False, 0)
    return FollowRequest(sender, False, is_hub, boot, position, 0)


class Fleet:
    """A hub that many instances follow, and the view of the first of them."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000_000)
        self.hub = Hub(
            InstanceRecord("h1", 1, "10.9.0.1:1", "z1", False, 0),
            boot=7,
            clock=self.clock,
            share=lambda announcement: True,
            get_manifest_version=lambda: 3,
        )
        self.hub.record_majority_read(["a", "b", "c"])
        self.view = HubView(clock=self.clock)
        self.position = 0
        for number in range(FLEET_COUNT):
            self.hub.begin_poll(_request(number))
        self.clock.advance(SETTLED_AFTER_MS + 1)
        self.hub.record_majority_read(["a", "b", "c"])
        self.hub.remove_expired()
        self.follow()

    def follow(self) -> FollowReply:
        reply = self.hub.answer(_request(0, boot=7, position=self.position))
        self.position = reply.position
        self.view.apply("h1", reply)
        return reply

    def list_known(self) -> set[str]:
        return {record.id for record in self.view.list_instances()}

    def wakes_followers(self) -> bool:
        return self.hub._notified_position > self.position


class TestManyFollowers:
    def test_only_the_instance_that_joined_is_sent(self) -> None:
        fleet = Fleet()
        assert len(fleet.list_known()) == FLEET_COUNT
        fleet.hub.answer(_request(500))
        reply = fleet.follow()
        assert [record.id for record in reply.instances] == ["n500"]
        assert not reply.is_whole
        assert len(fleet.list_known()) == FLEET_COUNT + 1

    def test_only_the_instance_that_left_is_sent(self) -> None:
        fleet = Fleet()
        leaving = _request(9)
        record = msgspec.structs.replace(leaving.sender, is_leaving=True)
        fleet.hub.answer(msgspec.structs.replace(leaving, sender=record))
        reply = fleet.follow()
        assert (reply.departed_instances, reply.instances) == (["n9"], [])
        assert "n9" not in fleet.list_known()

    def test_instances_that_stop_following_are_sent(self) -> None:
        fleet = Fleet()
        fleet.clock.advance(FOLLOWER_TIMEOUT_MS + 1)
        fleet.hub.answer(_request(3))
        fleet.hub.remove_expired()
        fleet.follow()
        assert fleet.list_known() == {"n0", "n3"}

    def test_a_reply_without_changes_contains_neither_instances_nor_live_upstreams(self) -> None:
        fleet = Fleet()
        fleet.hub.announce(announce())
        assert fleet.follow().live == ["u1"]
        reply = fleet.follow()
        assert (reply.live, reply.silent) == ([], [])
        assert (reply.instances, reply.upstreams) == ([], [])
        assert [record.announcement.id for record in fleet.view.list_usable()] == ["u1"]

    def test_only_the_upstreams_that_became_live_or_silent_are_sent(self) -> None:
        fleet = Fleet()
        for number in range(1, 5):
            fleet.hub.announce(announce(f"u{number}"))
        assert fleet.follow().live == ["u1", "u2", "u3", "u4"]
        fleet.clock.advance(SILENT_AFTER_MS - 1)
        fleet.hub.record_majority_read(["a", "b", "c"])
        for number in range(2, 6):
            fleet.hub.announce(announce(f"u{number}", sequence=2))
        fleet.clock.advance(2)
        fleet.hub.remove_expired()
        reply = fleet.follow()
        assert (reply.live, reply.silent) == (["u5"], ["u1"])
        usable = {record.announcement.id for record in fleet.view.list_usable()}
        assert usable == {"u2", "u3", "u4", "u5"}

    def test_a_new_follower_gets_all_live_upstreams(self) -> None:
        fleet = Fleet()
        fleet.hub.announce(announce())
        fleet.follow()
        reply = fleet.hub.answer(_request(77))
        assert (reply.is_whole, reply.live) == (True, ["u1"])

    def test_a_joining_instance_wakes_followers_only_after_the_delay(self) -> None:
        fleet = Fleet()
        fleet.hub.begin_poll(_request(500))
        fleet.hub.remove_expired()
        assert not fleet.wakes_followers()
        delay_ms = INSTANCE_CHANGE_DELAY_PER_FOLLOWER_MS * (FLEET_COUNT + 1)
        fleet.clock.advance(delay_ms - 1)
        fleet.hub.remove_expired()
        assert not fleet.wakes_followers()
        fleet.clock.advance(1)
        fleet.hub.remove_expired()
        assert fleet.wakes_followers()

    def test_another_voting_replica_wakes_followers_at_once(self) -> None:
        fleet = Fleet()
        fleet.hub.answer(_request(500, is_hub=True))
        assert fleet.wakes_followers()

    def test_a_follower_that_missed_dropped_departures_gets_the_whole_list(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(roster_module, "DEPARTURES_MAX_COUNT", 3)
        fleet = Fleet()
        for number in range(1, 6):
            leaving = _request(number)
            record = msgspec.structs.replace(leaving.sender, is_leaving=True)
            fleet.hub.answer(msgspec.structs.replace(leaving, sender=record))
        reply = fleet.follow()
        assert reply.is_whole
        assert len(fleet.list_known()) == FLEET_COUNT - 5


class TestUpstreamThatStatesThatItIsLeaving:
    """An instance heard it on an answer; the hubs have not."""

    def test_hubs_that_list_it_do_not_bring_it_back(self) -> None:
        fleet = Fleet()
        serving = make_usable_record("u1").announcement
        fleet.hub.merge(serving, age_ms=0)
        fleet.follow()
        fleet.view.record_leaving("u1", serving.incarnation)
        assert fleet.view.list_usable() == []
        fleet.position = 0
        fleet.hub.merge(msgspec.structs.replace(serving, sequence=2), age_ms=0)
        fleet.follow()
        assert fleet.view.list_usable() == []

    def test_another_incarnation_is_not_concerned(self) -> None:
        fleet = Fleet()
        serving = make_usable_record("u1").announcement
        fleet.hub.merge(msgspec.structs.replace(serving, incarnation=2), age_ms=0)
        fleet.follow()
        fleet.view.record_leaving("u1", 1)
        fleet.view.record_leaving("u9", 1)
        assert [record.announcement.id for record in fleet.view.list_usable()] == ["u1"]
