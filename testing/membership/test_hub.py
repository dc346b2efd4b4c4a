from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.control.files import FileLayer
from coltsfootrill.membership.hub import CURRENT_FOR_MS
from coltsfootrill.membership.hub import REFUSED_MAX_COUNT
from coltsfootrill.membership.hub import SILENT_AFTER_MS
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.messages import Renewal
from coltsfootrill.membership.messages import SuspectEntry
from coltsfootrill.membership.snapshot import StoredUpstreams
from coltsfootrill.membership.snapshot import UpstreamSnapshot
from coltsfootrill.membership.view import HUB_RESPONSIVE_WITHIN_MS
from coltsfootrill.membership.view import HubView
from coltsfootrill.zones.orders import ZoneOrders
from testing.membership.hub_pair import Pair
from testing.membership.hub_pair import announce


class TestAcknowledgements:
    def test_a_leaving_upstream_is_acknowledged_once_a_majority_has_it(self) -> None:
        pair = Pair()
        pair.hub.announce(announce())
        leaving = announce(sequence=2, state="leaving")
        pair.is_shared = False
        assert not pair.hub.announce(leaving).is_known
        pair.is_shared = True
        assert pair.hub.announce(leaving).is_known
        assert [shared.state for shared in pair.shared] == ["leaving", "leaving"]

    def test_a_hub_without_a_majority_acknowledges_nothing(self) -> None:
        pair = Pair()
        pair.clock.advance(10_000)
        assert not pair.hub.announce(announce()).is_known
        assert not pair.hub.deregister(LeaveRequest("u1", None)).is_known

    def test_a_deregistered_upstream_is_not_usable(self) -> None:
        pair = Pair()
        pair.hub.announce(announce())
        pair.follow()
        assert pair.list_usable() == ["u1"]
        assert pair.hub.deregister(LeaveRequest("u1", 1)).is_known
        pair.follow()
        assert pair.list_usable() == []

    def test_deregistering_an_earlier_incarnation_changes_nothing(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(incarnation=5))
        assert pair.hub.deregister(LeaveRequest("u1", 4)).is_known
        pair.follow()
        assert pair.list_usable() == ["u1"]


class TestColdUpstreams:
    """The pattern: an upstream says by heartbeat that it is cold again."""

    def test_followers_hear_at_once_and_by_their_own_clocks(self) -> None:
        pair = Pair()
        pair.hub.announce(announce())
        first = pair.follow()
        generation = pair.view.generation
        pair.hub.announce(announce(sequence=2, cold_ms=3_000))
        assert pair.hub.has_changes(first.position)
        until_ms = pair.clock.now_ms() + 3_000
        pair.clock.advance(200)
        pair.follow(position=first.position, boot=1)
        (record,) = pair.view.list_usable()
        # The reply rounds the age up by a millisecond, and the way adds what it took.
        assert until_ms - 2 <= record.cold_until_ms <= until_ms + 200
        assert pair.view.generation > generation

    def test_a_heartbeat_of_the_same_warm_up_wakes_nobody(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(cold_ms=3_000))
        first = pair.follow()
        pair.clock.advance(1_500)
        pair.hub.announce(announce(sequence=2, cold_ms=1_500))
        assert not pair.hub.has_changes(first.position)

    # Guards against upstreams that are cold again for each instance that starts.
    def test_an_instance_that_starts_later_hears_what_is_left(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(cold_ms=3_000))
        pair.clock.advance(2_500)
        pair.hub.merge_reply(_renew(pair.follow()))
        until_ms = pair.clock.now_ms() + 500
        other = HubView(clock=pair.clock)
        other.apply("h1", pair.follow())
        (record,) = other.list_usable()
        assert record.cold_until_ms <= until_ms + 2


def _renew(reply: FollowReply) -> FollowReply:
    """Return a reply of another hub that has just confirmed the upstreams of ``reply``."""
    renewals = [
        Renewal(shared.announcement.id, shared.announcement.incarnation, 0)
        for shared in reply.upstreams
    ]
    return msgspec.structs.replace(reply, upstreams=[], renewals=renewals)


class TestLateAnnouncements:
    def test_an_announcement_older_than_the_deregistration_does_not_restore_an_upstream(
        self,
    ) -> None:
        pair = Pair()
        pair.hub.announce(announce(sequence=7, state="leaving"))
        pair.hub.announce(announce(sequence=6))
        pair.follow()
        assert pair.list_usable() == []

    def test_a_newer_upstream_takes_over_an_address(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1", incarnation=1, address="10.1.0.1:80"))
        pair.hub.announce(announce("u2", incarnation=2, address="10.1.0.1:80"))
        pair.hub.announce(announce("u1", incarnation=1, sequence=9, address="10.1.0.1:80"))
        pair.follow()
        assert pair.list_usable() == ["u2"]

    def test_an_upstream_that_restarts_under_its_id_is_usable_again(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(incarnation=1, sequence=90, state="leaving"))
        pair.hub.announce(announce(incarnation=2, sequence=1))
        pair.follow()
        assert pair.list_usable() == ["u1"]


class TestFollowing:
    def test_a_reply_contains_only_changes(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1"))
        first = pair.follow()
        pair.hub.announce(announce("u2"))
        second = pair.follow(boot=first.boot, position=first.position)
        assert [shared.announcement.id for shared in second.upstreams] == ["u2"]
        assert (second.live, second.silent) == (["u2"], [])
        assert pair.list_usable() == ["u1", "u2"]
        assert (second.manifest_version, second.instance_count) == (3, 1)

    def test_a_follower_of_an_earlier_boot_gets_everything(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1"))
        reply = pair.follow(boot=99, position=10_000)
        assert [shared.announcement.id for shared in reply.upstreams] == ["u1"]

    def test_a_silent_upstream_is_not_usable_until_its_next_announcement(self) -> None:
        pair = Pair()
        pair.settle()
        pair.hub.announce(announce("u1"))
        pair.follow()
        pair.clock.advance(SILENT_AFTER_MS + 1)
        pair.hub.record_majority_read(["a", "b", "c"])
        pair.hub.remove_expired()
        pair.follow()
        assert pair.list_usable() == []
        pair.hub.announce(announce("u1", sequence=2))
        pair.follow()
        assert pair.list_usable() == ["u1"]

    def test_a_hub_that_has_just_started_removes_no_upstream(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1"))
        pair.follow()
        pair.hub = pair.make_hub(boot=2)
        pair.hub.record_majority_read(["a", "b", "c"])
        pair.follow()
        assert pair.list_usable() == ["u1"]

    def test_without_a_current_hub_the_last_list_stays_in_use(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1"))
        pair.follow()
        pair.clock.advance(HUB_RESPONSIVE_WITHIN_MS * 3)
        pair.view.remove_expired()
        assert not pair.view.has_current_hub()
        assert pair.list_usable() == ["u1"]

    def test_a_hub_merges_the_upstreams_of_another_hub(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1"))
        other = pair.make_hub(boot=2)
        other.merge_reply(pair.follow())
        pair.hub = other
        pair.view = HubView(clock=pair.clock)
        pair.follow()
        assert pair.list_usable() == ["u1"]

    # Guards against RECOVER in a large fleet: each upstream of a reply was a change of its own.
    def test_the_upstreams_in_a_reply_of_another_hub_are_one_change(self) -> None:
        pair = Pair()
        for number in range(1, 50):
            pair.hub.announce(announce(f"u{number}"))
        other = pair.make_hub(boot=2)
        changes: list[int] = []
        other.add_listener(lambda: changes.append(1))
        other.merge_reply(pair.follow())
        # One for the upstreams, and one for those that became live with them.
        assert len(changes) <= 2

    def test_a_newer_upstream_in_a_reply_takes_over_an_address(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u1", incarnation=1, address="10.1.0.1:80"))
        reply = pair.follow()
        other = pair.make_hub(boot=2)
        other.record_majority_read(["a"])
        other.announce(announce("u2", incarnation=2, address="10.1.0.1:80"))
        other.merge_reply(reply)
        pair.hub = other
        pair.view = HubView(clock=pair.clock)
        pair.follow()
        assert pair.list_usable() == ["u2"]

    def test_a_hub_that_does_not_vote_returns_the_voting_replicas(self) -> None:
        # After a power loss of all processes the seeds may be instances without a disk.
        pair = Pair()
        seed = Hub(
            InstanceRecord("s1", 9, "10.0.0.7:1", "z1", False, 0),
            boot=9,
            clock=pair.clock,
            share=pair.share,
            get_manifest_version=lambda: 0,
        )
        voter = InstanceRecord("h1", 1, "10.0.0.1:1", "z1", False, 0)
        seed.answer(FollowRequest(voter, False, True, 0, 0, 0))
        other = InstanceRecord("n1", 1, "10.0.0.9:1", "z1", False, 0)
        reply = seed.answer(FollowRequest(other, False, False, 0, 0, 0))
        assert (reply.is_current, reply.replicas) == (False, ["10.0.0.1:1"])

    # Guards against a node that joins and finds no voter.
    def test_a_hub_that_no_voter_follows_returns_the_replicas_that_it_follows(self) -> None:
        pair = Pair()
        pair.hub = pair.make_hub(boot=2)
        assert pair.follow().replicas == []
        pair.hub.record_followed_replicas(["a", "b"])
        reply = pair.follow()
        assert (reply.replicas, reply.is_current) == (["a", "b"], False)

    def test_an_outdated_hub_returns_all_that_may_be_replicas(self) -> None:
        pair = Pair()
        pair.hub.record_followed_replicas(["b", "c", "d"])
        assert pair.follow().replicas == ["a", "b", "c"]
        pair.clock.advance(CURRENT_FOR_MS)
        assert pair.follow().replicas == ["b", "c", "d", "a"]

    # Guards against nodes that learn of the return of a majority only when their polls end.
    def test_followers_hear_that_a_hub_is_current_again(self) -> None:
        pair = Pair()
        pair.clock.advance(CURRENT_FOR_MS)
        position = pair.follow().position
        assert not pair.hub.has_changes(position)
        pair.hub.record_majority_read(["a", "b", "c"])
        assert pair.hub.has_changes(position)
        position = pair.follow(position=position, boot=1).position
        pair.hub.record_majority_read(["a", "b", "c"])
        assert not pair.hub.has_changes(position)

    def test_upstreams_are_restored_after_a_power_loss_of_all_processes(
        self, tmp_path: Path
    ) -> None:
        pair = Pair()
        pair.snapshot = UpstreamSnapshot(tmp_path, files=FileLayer())
        pair.hub = pair.make_hub(boot=2)
        pair.hub.record_majority_read(["a"])
        for upstream_id in ("u1", "u2", "u3"):
            pair.hub.announce(announce(upstream_id))
        pair.hub.persist_upstreams()
        # That an upstream is leaving is on the disk before it is acknowledged.
        pair.hub.announce(announce("u2", sequence=2, state="leaving"))
        pair.snapshot = UpstreamSnapshot(tmp_path, files=FileLayer())
        pair.hub = pair.make_hub(boot=3)
        pair.view = HubView(clock=pair.clock)
        pair.hub.record_majority_read(["a"])
        pair.follow()
        assert pair.list_usable() == ["u1", "u3"]
        pair.hub.announce(announce("u1", sequence=7))
        pair.settle()
        pair.hub.announce(announce("u1", sequence=8))
        pair.hub.remove_expired()
        pair.follow()
        assert pair.list_usable() == ["u1"]

    def test_a_damaged_snapshot_is_read_as_empty(self, tmp_path: Path) -> None:
        (tmp_path / "upstreams.rec").write_bytes(b"torn")
        assert UpstreamSnapshot(tmp_path, files=FileLayer()).read() == StoredUpstreams()

    def test_instances_that_could_vote_are_candidates(self) -> None:
        pair = Pair()
        pair.follow()
        assert pair.hub.list_candidates() == {"n1": "10.0.0.9:1"}


class TestNearHubs:
    def _follow(self, view: HubView, zone: str, *, is_current: bool) -> str:
        """Follow a new hub in ``zone``, and return its address."""
        address = f"10.0.{zone[1:]}.1:1"
        record = InstanceRecord(f"h-{zone}", 1, address, zone, False, 0)
        hub = Hub(
            record,
            boot=1,
            clock=ManualClock(),
            share=lambda announcement: True,
            get_manifest_version=lambda: 1,
        )
        if is_current:
            hub.record_majority_read([address])
        view.apply(address, hub.answer(FollowRequest(record, False, True, 0, 0, 0)))
        return address

    def test_the_current_hub_of_a_zone_is_found(self) -> None:
        view = HubView(clock=ManualClock())
        hubs = [self._follow(view, zone, is_current=True) for zone in ("z1", "z2")]
        assert [view.find_current_hub(zone) for zone in ("z1", "z2")] == hubs

    def test_a_zone_without_a_current_hub_has_none(self) -> None:
        view = HubView(clock=ManualClock())
        self._follow(view, "z1", is_current=False)
        self._follow(view, "z2", is_current=True)
        assert view.find_current_hub("z1") is None
        assert view.find_current_hub("z3") is None

    def test_a_hub_that_no_longer_replies_is_not_near(self) -> None:
        clock = ManualClock()
        view = HubView(clock=clock)
        self._follow(view, "z1", is_current=True)
        clock.advance(HUB_RESPONSIVE_WITHIN_MS)
        assert view.find_current_hub("z1") is None


class TestInstances:
    """The pattern: hundreds of instances, whose list each of them needs many times a second."""

    def test_the_list_is_made_anew_only_after_a_change(self) -> None:
        pair = Pair()
        position = pair.follow().position
        before = pair.view.list_instances()
        assert [record.id for record in before] == ["n1"]
        pair.hub.announce(announce())
        position = pair.follow(position=position, boot=1).position
        assert pair.view.list_instances() is before
        other = InstanceRecord("n2", 1, "10.0.0.8:1", "z1", False, 0)
        pair.hub.answer(FollowRequest(other, False, False, 0, 0, 0))
        pair.follow(position=position, boot=1)
        assert [record.id for record in pair.view.list_instances()] == ["n1", "n2"]
        assert [record.id for record in before] == ["n1"]

    def test_instances_of_a_hub_that_no_longer_replies_are_not_listed(self) -> None:
        pair = Pair()
        pair.follow()
        assert pair.view.list_instances()
        pair.clock.advance(HUB_RESPONSIVE_WITHIN_MS)
        assert pair.view.list_instances() == []


class TestRefusedRequests:
    """Requests that crash upstreams are listed for instances that start."""

    def test_a_whole_reply_lists_the_latest_and_others_list_none(self) -> None:
        pair = Pair()
        pair.refused = [
            SuspectEntry(b"%d" % number, [], 0, False) for number in range(REFUSED_MAX_COUNT + 10)
        ]
        first = pair.follow()
        assert [entry.digest for entry in first.refused] == [
            entry.digest for entry in pair.refused[10:]
        ]
        assert pair.follow(position=first.position, boot=first.boot).refused == []

    # Guards against a fleet that is replaced one by one: instances of both versions follow hubs.
    @pytest.mark.parametrize("fields_added", [1, 2, 3])
    def test_instances_of_an_earlier_version_understand_the_reply_and_hubs_theirs(
        self, fields_added: int
    ) -> None:
        pair = Pair()
        pair.zone_orders = ZoneOrders(1, {"z1": 1}, {})
        pair.refused = [SuspectEntry(b"deadly", [], 0, False)]
        pair.hub.deregister(LeaveRequest("u9", 1))
        raw = msgspec.msgpack.encode(pair.follow())
        fields = [(field.name, field.type) for field in msgspec.structs.fields(FollowReply)]
        earlier = msgspec.defstruct(
            "FollowReply", fields[:-fields_added], array_like=True, frozen=True
        )
        decoded = msgspec.msgpack.decode(raw, type=earlier)
        again = msgspec.msgpack.decode(msgspec.msgpack.encode(decoded), type=FollowReply)
        assert again.refused == (pair.refused if fields_added <= 2 else [])
        assert again.zone_orders == (pair.zone_orders if fields_added <= 1 else ZoneOrders())
        assert again.departures == []
        assert again.position == pair.follow().position
