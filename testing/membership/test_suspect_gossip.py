"""News of requests that crash upstreams reach all instances, although datagrams are lost."""

from __future__ import annotations

from itertools import combinations

import msgspec
import pytest

from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.balancer.crash_suspects import ANSWERED_KEPT_MS
from coltsfootrill.balancer.crash_suspects import CRASHES_MAX_COUNT
from coltsfootrill.balancer.crash_suspects import KEPT_MS
from coltsfootrill.balancer.crash_suspects import TRIAL_AFTER_MS
from coltsfootrill.clock import ManualClock
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.suspect_gossip import REPEAT_INTERVAL_MS
from coltsfootrill.membership.suspect_gossip import REPEATERS_COUNT
from coltsfootrill.membership.suspect_gossip import SuspectGossipExchange
from testing.dispatch.memory import MemoryNetwork
from testing.dispatch.memory import MemoryPort

FLEET_COUNT = 5
DEADLY = b"deadly"


class Member:
    """One instance: its guard and its exchange."""

    def __init__(self, number: int, fleet: Fleet, *, boot: int = 1) -> None:
        record = InstanceRecord(f"n{number}", boot, f"10.0.0.{number}:1", "z1", False, 0)
        fleet.records[number:] = [record, *fleet.records[number + 1 :]]
        self.guard = CrashGuard(fleet.clock)
        self.exchange = SuspectGossipExchange(
            record,
            port=MemoryPort(fleet.network, record.address),
            list_instances=lambda: fleet.records,
            guard=self.guard,
            clock=fleet.clock,
        )


class Fleet:
    """Instances that exchange what they saw."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self.network = MemoryNetwork()
        self.records: list[InstanceRecord] = []
        self.members = [Member(number, self) for number in range(FLEET_COUNT)]

    def restart(self, number: int) -> None:
        """Start an instance again, which has lost its memory."""
        self.members[number] = Member(number, self, boot=2 + number)

    def send(self) -> None:
        for member in self.members:
            member.exchange.send()

    def count_refusing(self) -> int:
        return sum(member.guard.is_refused(DEADLY) for member in self.members)


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def crash(fleet: Fleet) -> None:
    """Let each of the first instances see one crash."""
    for number in range(CRASHES_MAX_COUNT):
        fleet.members[number].guard.record_crash(DEADLY, f"u{number}", 1)


class TestSuspects:
    def test_crashes_that_instances_saw_apart_add_up_on_all(self, fleet: Fleet) -> None:
        crash(fleet)
        assert fleet.count_refusing() == 0
        fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT

    def test_an_instance_that_starts_later_is_told(self, fleet: Fleet) -> None:
        crash(fleet)
        fleet.send()
        fleet.members.append(Member(FLEET_COUNT, fleet))
        fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT
        fleet.clock.advance(REPEAT_INTERVAL_MS)
        fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT + 1

    def test_repetitions_do_not_prolong_a_refusal(self, fleet: Fleet) -> None:
        crash(fleet)
        fleet.send()
        fleet.clock.advance(KEPT_MS / 2)
        fleet.members.append(Member(FLEET_COUNT, fleet))
        fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT + 1
        fleet.clock.advance(KEPT_MS / 2)
        fleet.send()
        assert fleet.count_refusing() == 0

    # Guards against a deadly request sent on and on: the two that repeat refusals had restarted.
    @pytest.mark.parametrize("survivor", range(FLEET_COUNT))
    def test_all_but_one_are_told_again_after_they_lost_their_memory(
        self, fleet: Fleet, survivor: int
    ) -> None:
        crash(fleet)
        fleet.send()
        for number in set(range(FLEET_COUNT)) - {survivor}:
            fleet.restart(number)
        assert fleet.count_refusing() == 1
        for _ in range(FLEET_COUNT):
            fleet.clock.advance(REPEAT_INTERVAL_MS)
            fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT

    # Guards against the same while any two instances are cut off and still listed.
    @pytest.mark.parametrize("cut", list(combinations(range(FLEET_COUNT), 2)))
    def test_an_instance_that_starts_is_told_although_others_are_cut_off(
        self, fleet: Fleet, cut: tuple[int, int]
    ) -> None:
        crash(fleet)
        fleet.send()
        cut_addresses = {fleet.records[number].address for number in cut}
        fleet.network.is_lost = lambda source, target, data: bool({source, target} & cut_addresses)
        fleet.members.append(Member(FLEET_COUNT, fleet))
        for _ in range(FLEET_COUNT + 1):
            fleet.clock.advance(REPEAT_INTERVAL_MS)
            fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT + 1

    # Guards against more datagrams the larger the fleet.
    def test_a_few_instances_repeat_each_time(self, fleet: Fleet) -> None:
        crash(fleet)
        fleet.send()
        senders: list[set[str]] = []

        def note_sender(source: str, target: str, data: bytes) -> bool:
            senders[-1].add(source)
            return False

        fleet.network.is_lost = note_sender
        for _ in range(FLEET_COUNT):
            senders.append(set())
            fleet.clock.advance(REPEAT_INTERVAL_MS)
            fleet.send()
        assert [len(each) for each in senders] == [REPEATERS_COUNT] * FLEET_COUNT

    def test_news_that_were_lost_are_repeated(self, fleet: Fleet) -> None:
        deaf = fleet.records[-1].address
        fleet.network.is_lost = lambda source, target, data: target == deaf
        crash(fleet)
        fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT - 1
        fleet.network.is_lost = lambda source, target, data: False
        fleet.clock.advance(REPEAT_INTERVAL_MS)
        fleet.send()
        assert fleet.count_refusing() == FLEET_COUNT

    def test_only_one_instance_tries_a_refused_request(self, fleet: Fleet) -> None:
        crash(fleet)
        fleet.send()
        fleet.clock.advance(TRIAL_AFTER_MS)
        tried = 0
        for member in fleet.members:
            tried += member.guard.begin_trial(DEADLY)
            fleet.send()
        assert tried == 1

    def test_an_answer_ends_the_suspicion_on_all(self, fleet: Fleet) -> None:
        fleet.members[0].guard.record_crash(DEADLY, "u0", 1)
        fleet.send()
        fleet.members[1].guard.record_answer(DEADLY)
        fleet.send()
        assert not any(member.guard.has_suspects for member in fleet.members)

    # Guards against a harmless request refused again on all instances: one had not heard of its
    # answer, and repeated the refusal.
    @pytest.mark.parametrize("deaf", range(1, FLEET_COUNT))
    def test_an_answer_that_was_not_heard_is_repeated(self, fleet: Fleet, deaf: int) -> None:
        crash(fleet)
        fleet.send()
        address = fleet.records[deaf].address
        fleet.network.is_lost = lambda source, target, data: target == address
        fleet.members[0].guard.record_answer(DEADLY)
        fleet.send()
        assert fleet.count_refusing() == 1
        fleet.network.is_lost = lambda source, target, data: False
        fleet.clock.advance(ANSWERED_KEPT_MS)
        for _ in range(2 * FLEET_COUNT):
            fleet.clock.advance(REPEAT_INTERVAL_MS)
            fleet.send()
        assert fleet.count_refusing() == 0
        assert all(not member.guard.take_contested() for member in fleet.members)

    def test_bytes_that_are_no_news_change_nothing(self, fleet: Fleet) -> None:
        with pytest.raises(msgspec.MsgspecError):
            fleet.members[0].exchange.receive(b"\x91\xc1", "10.0.0.9:1")
        assert not fleet.members[0].guard.has_suspects
