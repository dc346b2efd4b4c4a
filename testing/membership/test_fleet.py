from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootrill.clock import ManualClock
from coltsfootrill.membership.fleet import Fleet
from coltsfootrill.membership.members import RESPONSIVE_WITHIN_MS
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import PullReply
from coltsfootrill.membership.messages import PullRequest
from coltsfootrill.registry.directory import LEASE_MS


def _make_fleet(name: str, clock: ManualClock) -> Fleet:
    record = InstanceRecord(name, 1, f"127.0.0.1:{ord(name[-1])}", "z1", False, 0)
    return Fleet(record, clock=clock)


def _pull(receiver: Fleet, sender: Fleet, position: int = 0, boot: int = 1) -> PullReply:
    """Make ``receiver`` pull from ``sender``, with a hold of 0 ms."""
    request = receiver.make_request(boot=boot, position=position, hold_ms=0)
    reply = sender.answer(request)
    receiver.apply(reply, sent_ms=receiver._clock.now_ms())
    return reply


class TestExchange:
    def test_an_announcement_reaches_a_peer_with_the_age_of_its_confirmation(
        self, clock: ManualClock, make_announcement: Any
    ) -> None:
        first, second = _make_fleet("e1", clock), _make_fleet("e2", clock)
        first.announce(make_announcement())
        clock.advance(500)
        _pull(second, first)
        assert len(second.list_usable()) == 1
        clock.advance(LEASE_MS - 490)
        assert second.list_usable() == []

    def test_a_delayed_reply_does_not_extend_a_lease(
        self, clock: ManualClock, make_announcement: Any
    ) -> None:
        first, second = _make_fleet("e1", clock), _make_fleet("e2", clock)
        first.announce(make_announcement())
        sent_ms = clock.now_ms()
        reply = first.answer(second.make_request(boot=1, position=0, hold_ms=0))
        clock.advance(LEASE_MS + 1)
        second.apply(reply, sent_ms=sent_ms)
        assert second.list_usable() == []

    def test_only_changes_and_renewals_are_sent(
        self, clock: ManualClock, make_announcement: Any
    ) -> None:
        first, second = _make_fleet("e1", clock), _make_fleet("e2", clock)
        first.announce(make_announcement("u1", sequence=1))
        first.announce(make_announcement("u2", sequence=1))
        reply = _pull(second, first)
        first.announce(make_announcement("u1", sequence=2))
        later = _pull(second, first, position=reply.position)
        assert later.upstreams == []
        assert [renewal.id for renewal in later.renewals] == ["u1"]

    def test_renewals_of_another_instance_are_forwarded_only_if_it_does_not_reply(
        self, clock: ManualClock, make_announcement: Any
    ) -> None:
        first, second, third = (_make_fleet(name, clock) for name in ("e1", "e2", "e3"))
        position = _pull(second, first).position or 1
        third.announce(make_announcement())
        _pull(second, third)
        _pull(first, third)
        assert _pull(second, first, position=position).upstreams == []
        clock.advance(RESPONSIVE_WITHIN_MS + 1)
        third.announce(make_announcement(sequence=2))
        _pull(first, third)
        reply = _pull(second, first, position=position)
        assert [renewal.id for renewal in reply.renewals] == ["blazon-1"]

    def test_a_renewal_by_another_instance_is_not_forwarded_as_an_own_one(
        self, clock: ManualClock, make_announcement: Any
    ) -> None:
        # Upstreams announce themselves to every instance from time to time.
        first, second, third = (_make_fleet(name, clock) for name in ("e1", "e2", "e3"))
        first.announce(make_announcement(sequence=1))
        position = _pull(second, first).position
        _pull(third, first)
        third_position = third.directory.position
        clock.advance(500)
        third.announce(make_announcement(sequence=2))
        _pull(second, third)
        clock.advance(1)
        _pull(first, third, position=third_position)
        assert _pull(second, first, position=position).renewals == []

    def test_a_renewal_of_an_unknown_upstream_requires_the_whole_state(
        self, clock: ManualClock, make_announcement: Any
    ) -> None:
        first, second = _make_fleet("e1", clock), _make_fleet("e2", clock)
        first.announce(make_announcement(sequence=1))
        position = first.directory.position
        first.announce(make_announcement(sequence=2))
        reply = first.answer(second.make_request(boot=1, position=position, hold_ms=0))
        assert not second.apply(reply, sent_ms=clock.now_ms())

    def test_a_peer_that_restarted_sends_everything(
        self, clock: ManualClock, make_announcement: Any
    ) -> None:
        first, second = _make_fleet("e1", clock), _make_fleet("e2", clock)
        first.announce(make_announcement())
        assert len(_pull(second, first, position=99, boot=7).upstreams) == 1


class TestIsolation:
    def test_replies_from_less_than_half_of_the_members_mean_isolation(
        self, clock: ManualClock
    ) -> None:
        fleets = [_make_fleet(f"e{n}", clock) for n in range(1, 6)]
        for other in fleets[1:]:
            _pull(fleets[0], other)
        assert not fleets[0].is_isolated()
        clock.advance(RESPONSIVE_WITHIN_MS + 1)
        assert fleets[0].is_isolated()
        _pull(fleets[0], fleets[1])
        assert fleets[0].is_isolated()
        _pull(fleets[0], fleets[2])
        assert not fleets[0].is_isolated()

    def test_a_member_that_announced_leaving_does_not_count_as_lost(
        self, clock: ManualClock
    ) -> None:
        first, second = _make_fleet("e1", clock), _make_fleet("e2", clock)
        _pull(first, second)
        second.announce_leaving()
        _pull(first, second)
        clock.advance(RESPONSIVE_WITHIN_MS + 1)
        assert first.list_members() == []
        assert not first.is_isolated()

    def test_an_isolated_instance_removes_no_members(self, clock: ManualClock) -> None:
        first, second = _make_fleet("e1", clock), _make_fleet("e2", clock)
        _pull(first, second)
        clock.advance(10_000_000)
        first.remove_expired()
        assert len(first.list_members()) == 1


class TestMessages:
    @pytest.mark.parametrize("kind", [PullRequest, PullReply])
    @given(raw=st.binary(max_size=300))
    def test_any_bytes_are_decoded_or_rejected(self, kind: type, raw: bytes) -> None:
        try:
            msgspec.msgpack.decode(raw, type=kind)
        except msgspec.MsgspecError as error:
            assert str(error)
