"""Departures that arrive before the announcement of the upstream that leaves."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.control.files import FileLayer
from coltsfootrill.control.files import write_record
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.membership.hub import SILENT_AFTER_MS
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import DepartureRequest
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import LeaveRequest
from coltsfootrill.membership.snapshot import FILE_NAME
from coltsfootrill.membership.snapshot import UpstreamSnapshot
from coltsfootrill.membership.view import HubView
from coltsfootrill.registry.departures import ANNOUNCEMENT_LATE_MAX_MS
from coltsfootrill.registry.departures import DEPARTURE_KEPT_MS
from coltsfootrill.registry.departures import DEPARTURES_MAX_COUNT
from testing.control.disk import Disk
from testing.membership.hub_pair import Pair
from testing.membership.hub_pair import announce

LATE_MS = 3_000
# Deregistrations of the incarnation 1: one that states it, and one that was sent while it ran.
DEREGISTRATIONS = (LeaveRequest("u1", 1), LeaveRequest("u1", None, 1))


def wait(pair: Pair, for_ms: float = LATE_MS) -> None:
    """Let time pass, at the end of which the hub is current."""
    pair.clock.advance(for_ms)
    pair.hub.remove_expired()
    pair.hub.record_majority_read(["a", "b", "c"])


def list_usable_after(pair: Pair, **changes: object) -> list[str]:
    """Return the upstreams in use once an announcement of ``u1`` has arrived at the hub."""
    assert pair.hub.announce(announce(**changes)).is_known
    pair.follow()
    return pair.list_usable()


def make_poll() -> FollowRequest:
    """Return the first poll of an instance that does not vote."""
    sender = InstanceRecord("n1", 1, "10.0.0.9:1", "z1", False, 0)
    return FollowRequest(sender, False, False, 0, 0, 0)


class TestLateFirstAnnouncement:
    """An announcement that is seconds late undoes no departure that was acknowledged."""

    # Guards against use of an upstream that deregistered before any instance knew it.
    @pytest.mark.parametrize("deregistration", DEREGISTRATIONS)
    def test_an_upstream_that_nobody_knew_stays_away(self, deregistration: LeaveRequest) -> None:
        pair = Pair()
        assert pair.hub.deregister(deregistration).is_known
        wait(pair)
        assert list_usable_after(pair) == []

    # Guards against use of a lifetime that deregistered while an earlier one was registered.
    @pytest.mark.parametrize("deregistration", [LeaveRequest("u1", 2), LeaveRequest("u1", None, 2)])
    @pytest.mark.parametrize("state", ["serving", "leaving"])
    def test_a_later_incarnation_of_a_known_upstream_stays_away(
        self, deregistration: LeaveRequest, state: str
    ) -> None:
        pair = Pair()
        pair.hub.announce(announce(incarnation=1, state=state))
        assert pair.hub.deregister(deregistration).is_known
        pair.follow()
        assert pair.list_usable() == []
        wait(pair)
        assert list_usable_after(pair, incarnation=2) == []

    # Guards against use of a lifetime that, by the clock of the node it called, starts later.
    def test_the_registered_incarnation_left_if_none_was_stated(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(incarnation=9))
        assert pair.hub.deregister(LeaveRequest("u1", None, 5)).is_known
        wait(pair)
        assert list_usable_after(pair, incarnation=9, sequence=2) == []

    # Guards against use of a lifetime that ended before the one that deregistered.
    def test_an_earlier_incarnation_stays_away_too(self) -> None:
        pair = Pair()
        pair.hub.deregister(LeaveRequest("u1", 2))
        wait(pair)
        assert list_usable_after(pair, incarnation=1) == []

    # Guards against a departure that is forgotten with the later lifetime, which crashed.
    def test_a_departure_outlives_the_record_of_a_later_incarnation(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(incarnation=2))
        assert pair.hub.deregister(LeaveRequest("u1", 1)).is_known
        wait(pair, 2 * ANNOUNCEMENT_LATE_MAX_MS)
        assert list_usable_after(pair, incarnation=1) == []

    # Guards against a departure that is forgotten since the address has a newer upstream.
    def test_a_leaving_upstream_whose_address_is_taken_stays_away(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u2", incarnation=2, address="10.1.0.1:80"))
        pair.hub.announce(announce("u1", address="10.1.0.1:80", sequence=2, state="leaving"))
        pair.hub.announce(announce("u2", incarnation=2, address="10.1.0.1:80", state="leaving"))
        wait(pair)
        assert list_usable_after(pair, address="10.1.0.1:80") == []

    # Guards against a departure that bars the next lifetime, which is to be used.
    @pytest.mark.parametrize("known_incarnation", [1, 2, None])
    @pytest.mark.parametrize("deregistration", [LeaveRequest("u1", 2), LeaveRequest("u1", None, 2)])
    def test_an_incarnation_that_starts_after_the_departure_is_used(
        self, known_incarnation: int | None, deregistration: LeaveRequest
    ) -> None:
        pair = Pair()
        if known_incarnation is not None:
            pair.hub.announce(announce(incarnation=known_incarnation))
        pair.hub.deregister(deregistration)
        assert list_usable_after(pair, incarnation=3) == ["u1"]


class TestAcknowledgement:
    """A departure is acknowledged where it is stored, also that of an unknown upstream."""

    def test_a_majority_has_the_departure(self) -> None:
        pair = Pair()
        pair.is_shared = False
        assert not pair.hub.deregister(LeaveRequest("u1", 1)).is_known
        pair.is_shared = True
        assert pair.hub.deregister(LeaveRequest("u1", 1)).is_known
        assert pair.shared == [DepartureRequest("u1", 1), DepartureRequest("u1", 1)]

    def test_a_replica_that_it_is_shared_with_stores_it(self) -> None:
        pair = Pair()
        assert pair.hub.store_shared(DepartureRequest("u1", 1)).is_known
        assert list_usable_after(pair) == []

    def test_a_majority_has_the_announcement_of_an_upstream_that_is_known(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(incarnation=5))
        assert pair.hub.deregister(LeaveRequest("u1", 5)).is_known
        assert pair.shared == [announce(incarnation=5, state="leaving")]

    def test_a_majority_has_the_latest_incarnation_that_may_have_left(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(incarnation=5))
        assert pair.hub.deregister(LeaveRequest("u1", None, 7)).is_known
        assert pair.shared == [DepartureRequest("u1", 7)]

    # Guards against memory without bound, and against an acknowledgement that is forgotten for it.
    def test_a_departure_for_which_there_is_no_room_is_refused(self) -> None:
        pair = Pair()
        pair.hub.announce(announce("u2"))
        for number in range(DEPARTURES_MAX_COUNT):
            assert pair.hub.deregister(LeaveRequest(f"x{number}", 1)).is_known
        assert not pair.hub.deregister(LeaveRequest("u1", 1)).is_known
        assert not pair.hub.store_shared(DepartureRequest("u1", 1)).is_known
        assert pair.hub.deregister(LeaveRequest("u2", 1)).is_known, "it needs no room"
        wait(pair, ANNOUNCEMENT_LATE_MAX_MS)
        assert pair.hub.deregister(LeaveRequest("u1", 1)).is_known
        assert len(pair.follow().departures) == DEPARTURES_MAX_COUNT


class TestMemory:
    """How long a departure is remembered."""

    def test_it_is_dropped_once_no_announcement_can_be_that_late(self) -> None:
        pair = Pair()
        pair.hub.deregister(LeaveRequest("u1", 1))
        wait(pair, DEPARTURE_KEPT_MS)
        assert list_usable_after(pair) == []
        wait(pair, 1)
        assert list_usable_after(pair, sequence=2) == ["u1"]
        assert pair.follow().departures == []

    # Guards against a wake-up of all instances for each upstream that drains and then deregisters.
    def test_the_deregistration_of_a_leaving_upstream_wakes_nobody(self) -> None:
        pair = Pair()
        pair.hub.announce(announce(state="leaving"))
        first = pair.follow()
        pair.hub.deregister(LeaveRequest("u1", None, 7))
        assert not pair.hub.has_changes(first.position)
        (entry,) = pair.follow(position=first.position, boot=first.boot).departures
        assert entry.incarnation == 7


class TestOtherHubs:
    """Hubs may change or restart between a departure and the late announcement."""

    @staticmethod
    def _restart(pair: Pair, folder: Path, *, boot: int) -> None:
        pair.snapshot = UpstreamSnapshot(folder, files=FileLayer())
        pair.hub = pair.make_hub(boot=boot)
        pair.view = HubView(clock=pair.clock)
        pair.hub.record_majority_read(["a"])

    @pytest.mark.parametrize("deregistration", DEREGISTRATIONS)
    def test_a_hub_that_restarts_remembers(
        self, tmp_path: Path, deregistration: LeaveRequest
    ) -> None:
        pair = Pair()
        self._restart(pair, tmp_path, boot=2)
        pair.hub.announce(announce("u2"))
        pair.hub.deregister(deregistration)
        self._restart(pair, tmp_path, boot=3)
        assert list_usable_after(pair) == ["u2"]

    # Guards against a hub that knows no upstream after an update of its program.
    def test_a_snapshot_of_an_earlier_version_is_restored(self, tmp_path: Path) -> None:
        raw = msgspec.msgpack.encode([announce("u2")])
        write_record(FileLayer(), tmp_path / FILE_NAME, raw)
        pair = Pair()
        self._restart(pair, tmp_path, boot=2)
        pair.follow()
        assert pair.list_usable() == ["u2"]

    def _follow_as_hub(self, pair: Pair, other: Hub) -> None:
        sender = InstanceRecord("h2", 1, "10.0.0.2:1", "z1", False, 0)
        other.merge_reply(pair.hub.answer(FollowRequest(sender, True, True, 0, 0, 0)))

    @pytest.mark.parametrize("deregistration", DEREGISTRATIONS)
    def test_a_hub_that_is_new_hears_of_it(self, deregistration: LeaveRequest) -> None:
        pair = Pair()
        pair.hub.deregister(deregistration)
        new = pair.make_hub(boot=2)
        self._follow_as_hub(pair, new)
        pair.hub = new
        pair.hub.record_majority_read(["a", "b", "c"])
        assert list_usable_after(pair) == []

    # Guards against use while the hub that got the late announcement has not heard from the other.
    def test_a_hub_that_took_the_announcement_drops_the_upstream(self) -> None:
        pair = Pair()
        pair.hub.deregister(LeaveRequest("u1", 1))
        late = pair.make_hub(boot=2)
        late.merge(announce(), age_ms=0)
        followers = late.begin_poll(make_poll())
        self._follow_as_hub(pair, late)
        assert late.has_changes(followers)
        (shared,) = late.answer(make_poll()).upstreams
        assert shared.announcement.state == "leaving"

    @pytest.mark.parametrize("hubs", [("h1", "h2"), ("h2", "h1")])
    def test_an_instance_heeds_the_departure_that_one_hub_lists(
        self, hubs: tuple[str, str]
    ) -> None:
        pair = Pair()
        pair.hub.deregister(LeaveRequest("u1", 1))
        late = pair.make_hub(boot=2)
        late.record_majority_read(["a", "b", "c"])
        late.merge(announce(), age_ms=0)
        reply_by_hub = {"h1": pair.hub.answer(make_poll()), "h2": late.answer(make_poll())}
        for hub in hubs:
            pair.view.apply(hub, reply_by_hub[hub])
        assert pair.list_usable() == []

    def test_only_news_is_passed_on(self) -> None:
        pair = Pair()
        pair.hub.deregister(LeaveRequest("u1", 1))
        first = pair.follow()
        assert [entry.upstream_id for entry in first.departures] == ["u1"]
        pair.hub.deregister(LeaveRequest("u1", 1))
        assert not pair.hub.has_changes(first.position)
        pair.hub.deregister(LeaveRequest("u2", 1))
        second = pair.follow(position=first.position, boot=first.boot)
        assert [entry.upstream_id for entry in second.departures] == ["u2"]

    def test_an_announcement_that_comes_with_its_departure_is_ignored(self) -> None:
        pair = Pair()
        pair.hub.deregister(LeaveRequest("u1", 1))
        late = pair.make_hub(boot=2)
        late.merge(announce(), age_ms=SILENT_AFTER_MS)
        reply = late.answer(make_poll())
        pair.hub.merge_reply(reply)
        pair.follow()
        assert pair.list_usable() == []


class TestStatements:
    """An upstream may state on an answer to another instance that it is leaving."""

    # Guards against use of an upstream whose statement was heard before its announcement.
    @pytest.mark.parametrize("known_incarnation", [1, None])
    def test_a_node_that_does_not_know_the_incarnation_yet_remembers(
        self, known_incarnation: int | None
    ) -> None:
        pair = Pair()
        if known_incarnation is not None:
            pair.hub.announce(announce(incarnation=known_incarnation))
            pair.follow()
        pair.view.record_leaving("u1", 2)
        assert pair.list_usable() == []
        assert list_usable_after(pair, incarnation=2) == []
        assert list_usable_after(pair, incarnation=3) == ["u1"]

    @pytest.mark.parametrize("known_incarnation", [1, None])
    def test_an_entry_instance_that_does_not_know_the_incarnation_yet_remembers(
        self, clock: ManualClock, known_incarnation: int | None
    ) -> None:
        fleet = Fleet(InstanceRecord("e1", 1, "127.0.0.1:1", "z1", False, 0), clock=clock)
        if known_incarnation is not None:
            fleet.announce(announce(incarnation=known_incarnation))
        fleet.record_leaving("u1", 2)
        assert fleet.list_usable() == []
        fleet.announce(announce(incarnation=2))
        assert fleet.list_usable() == []
        fleet.announce(announce(incarnation=3))
        assert [record.announcement.incarnation for record in fleet.list_usable()] == [3]


class RacingSnapshot(UpstreamSnapshot):
    """Lets another thread's change be written between the call of a write and the write itself."""

    race: Callable[[], object] | None = None

    def write(self, *args: Any) -> Any:
        race, self.race = self.race, None
        if race is not None:
            race()
        return super().write(*args)


class TestSnapshot:
    """What was acknowledged is on disk, whatever is written beside it."""

    # Guards against a departure that is lost with power after an older list was written over it.
    @pytest.mark.parametrize("deregistration", DEREGISTRATIONS)
    def test_a_periodic_write_never_replaces_a_newer_one(
        self, tmp_path: Path, deregistration: LeaveRequest
    ) -> None:
        pair = Pair()
        snapshot = pair.snapshot = RacingSnapshot(tmp_path, files=FileLayer())
        pair.hub = pair.make_hub(boot=2)
        pair.hub.record_majority_read(["a"])
        pair.hub.announce(announce("u2"))
        snapshot.race = lambda: pair.hub.deregister(deregistration)
        pair.hub.persist_upstreams()
        stored = UpstreamSnapshot(tmp_path, files=FileLayer()).read()
        assert stored.departures == [DepartureRequest("u1", 1)]

    # Guards against a departure that is acknowledged and gone when all hubs restart.
    def test_a_departure_that_the_disk_refuses_is_not_acknowledged(self, tmp_path: Path) -> None:
        disk = Disk(Random(1))
        pair = Pair()
        pair.snapshot = UpstreamSnapshot(tmp_path, files=disk)
        pair.hub = pair.make_hub(boot=2)
        pair.hub.record_majority_read(["a"])
        pair.hub.announce(announce("u1"))
        pair.hub.persist_upstreams()
        leaving = announce("u1", sequence=2, state="leaving")
        disk.is_full = True
        assert not pair.hub.announce(leaving).is_known
        assert not pair.hub.store_shared(leaving).is_known
        assert not pair.hub.deregister(LeaveRequest("u1", 1)).is_known
        assert not pair.hub.deregister(LeaveRequest("u2", 1)).is_known
        assert not pair.hub.store_shared(DepartureRequest("u2", 1)).is_known
        pair.follow()
        assert pair.list_usable() == [], "it is not used all the same"
        disk.is_full = False
        assert pair.hub.announce(leaving).is_known
        assert pair.hub.deregister(LeaveRequest("u2", 1)).is_known
