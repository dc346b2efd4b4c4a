from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.announcement import InvalidAnnouncementError
from coltsfootrill.registry.announcement import decode_announcement
from coltsfootrill.registry.directory import COLD_TOLERANCE_MS
from coltsfootrill.registry.directory import LEASE_MS
from coltsfootrill.registry.directory import Directory
from coltsfootrill.registry.directory import StateChange


class TestMerging:
    def test_leaving_is_final_for_an_incarnation(self, make_announcement: Any) -> None:
        directory = Directory()
        directory.merge(make_announcement(sequence=1), origin="e1", last_confirmed_ms=0)
        directory.merge(
            make_announcement(sequence=2, state="leaving"), origin="e1", last_confirmed_ms=1
        )
        late = make_announcement(sequence=9)
        assert directory.merge(late, origin="e1", last_confirmed_ms=2) == "ignored"
        assert directory.list_usable(3) == []

    def test_leaving_supersedes_a_higher_sequence(self, make_announcement: Any) -> None:
        directory = Directory()
        directory.merge(make_announcement(sequence=9), origin="e1", last_confirmed_ms=0)
        leaving = make_announcement(sequence=2, state="leaving")
        assert directory.merge(leaving, origin="e1", last_confirmed_ms=1) == "changed"

    def test_a_new_incarnation_is_usable_after_the_old_one_left(
        self, make_announcement: Any
    ) -> None:
        directory = Directory()
        directory.merge(make_announcement(state="leaving"), origin="e1", last_confirmed_ms=0)
        restarted = make_announcement(incarnation=2)
        assert directory.merge(restarted, origin="e1", last_confirmed_ms=1) == "changed"
        assert len(directory.list_usable(2)) == 1

    @given(st.permutations(range(6)))
    def test_the_order_of_arrival_does_not_matter(self, order: list[int]) -> None:
        announcements = [
            _announce(incarnation=incarnation, sequence=sequence, state=state)
            for incarnation, sequence, state in [
                (1, 1, "starting"),
                (1, 2, "serving"),
                (1, 3, "leaving"),
                (2, 1, "serving"),
                (2, 2, "leaving"),
                (2, 3, "serving"),
            ]
        ]
        directory = Directory()
        for index in order:
            directory.merge(announcements[index], origin="e1", last_confirmed_ms=0)
        assert directory.by_id["u"].announcement == announcements[4]


class TestColdUpstreams:
    """The pattern: an upstream becomes cold again without a restart, or its heartbeats are late."""

    def merge(self, directory: Directory, sequence: int, cold_ms: int, now_ms: float) -> str:
        announcement = _announce(sequence=sequence, cold_ms=cold_ms)
        return directory.merge(announcement, origin="e1", last_confirmed_ms=now_ms)

    # Guards against instances that go on sending, since for them nothing has changed.
    def test_an_upstream_that_is_cold_again_is_a_change(self) -> None:
        directory = Directory()
        self.merge(directory, 1, 0, 0)
        position, generation = directory.position, directory.generation
        assert self.merge(directory, 2, 3_000, 1_500) == "changed"
        assert directory.by_id["u"].changed_at > position
        assert directory.generation > generation
        assert directory.by_id["u"].cold_until_ms == 4_500

    def test_the_remaining_time_of_the_same_warm_up_is_no_change(self) -> None:
        directory = Directory()
        self.merge(directory, 1, 3_000, 0)
        assert self.merge(directory, 2, 1_500, 1_500 + COLD_TOLERANCE_MS - 1) == "renewed"
        assert self.merge(directory, 3, 0, 3_000) == "renewed"
        assert self.merge(directory, 4, 3_000, 60_000) == "changed"

    def test_a_late_heartbeat_does_not_shorten_the_time(self) -> None:
        directory = Directory()
        self.merge(directory, 1, 3_000, 0)
        assert self.merge(directory, 2, 0, 100) == "renewed"
        assert directory.by_id["u"].cold_until_ms == 3_000

    def test_a_new_start_has_a_time_of_its_own(self) -> None:
        directory = Directory()
        self.merge(directory, 1, 60_000, 0)
        directory.merge(_announce(incarnation=2), origin="e1", last_confirmed_ms=100)
        assert directory.by_id["u"].cold_until_ms < 100

    # Guards against upstreams that are cold again for each instance that starts.
    def test_others_are_told_the_time_that_is_left(self) -> None:
        directory = Directory()
        self.merge(directory, 1, 3_000, 0)
        record = directory.by_id["u"]
        assert record.describe() is record.announcement
        directory.renew("u", 1, 2_000, origin=None)
        assert record.describe().cold_ms == 1_000
        directory.renew("u", 1, 90_000, origin=None)
        assert record.describe().cold_ms == 0


class TestDepartures:
    # Guards against an upstream that never gets a request, with no line of the log that says why.
    def test_a_departure_without_a_record_is_in_the_audit_trail_once(
        self, make_announcement: Any
    ) -> None:
        changes: list[StateChange] = []
        directory = Directory(changes.append)
        for _ in range(2):
            directory.record_departure("blazon-1", 2, departed_ms=0.0, now_ms=0.0)
        directory.merge(make_announcement(incarnation=2), origin="e1", last_confirmed_ms=0.0)
        (change,) = changes
        assert (change.upstream_id, change.incarnation) == ("blazon-1", 2)
        assert (change.before, change.after) == (None, "leaving")


class TestLeases:
    def test_a_lease_ends_without_renewal(self, make_announcement: Any) -> None:
        directory = Directory()
        directory.merge(make_announcement(), origin="e1", last_confirmed_ms=100)
        assert directory.list_usable(100 + LEASE_MS - 1)
        assert not directory.list_usable(100 + LEASE_MS)

    def test_a_renewal_delayed_in_transit_counts_from_its_sending(
        self, make_announcement: Any
    ) -> None:
        directory = Directory()
        first = make_announcement(sequence=1, sent_at_ms=50_000)
        last_confirmed_ms = directory.estimate_confirmed_ms(first, 100)
        directory.merge(first, origin="e1", last_confirmed_ms=last_confirmed_ms)
        prompt = make_announcement(sequence=2, sent_at_ms=51_000)
        directory.estimate_confirmed_ms(prompt, 1_100)
        late = make_announcement(sequence=3, sent_at_ms=52_000)
        assert directory.estimate_confirmed_ms(late, 4_100) == 2_100

    def test_an_upstream_whose_clock_was_set_back_becomes_usable_again(
        self, make_announcement: Any
    ) -> None:
        directory = Directory()
        for sequence in range(20):
            now_ms = 1_000.0 + 800 * sequence
            jump_ms = 60_000 if sequence >= 5 else 0
            sent_at_ms = 500_000 + 800 * sequence - jump_ms
            announcement = make_announcement(sequence=sequence, sent_at_ms=sent_at_ms)
            last_confirmed_ms = directory.estimate_confirmed_ms(announcement, now_ms)
            directory.merge(announcement, origin="e1", last_confirmed_ms=last_confirmed_ms)
            if sequence == 5:
                assert last_confirmed_ms == now_ms - 60_000
        assert directory.list_usable(now_ms + 1)

    def test_each_announcement_of_a_delayed_burst_counts_from_its_sending(
        self, make_announcement: Any
    ) -> None:
        directory = Directory()
        first = make_announcement(sequence=0, sent_at_ms=500_000)
        directory.merge(first, origin="e1", last_confirmed_ms=1_000)
        directory.estimate_confirmed_ms(first, 1_000)
        arrived_ms = 6_000.0
        for sequence in range(1, 6):
            sent_at_ms = 500_000 + 800 * sequence
            delayed = make_announcement(sequence=sequence, sent_at_ms=sent_at_ms)
            last_confirmed_ms = directory.estimate_confirmed_ms(delayed, arrived_ms)
            assert last_confirmed_ms == 1_000 + 800 * sequence

    def test_the_renewal_of_an_older_incarnation_does_not_extend_the_lease(
        self, make_announcement: Any
    ) -> None:
        directory = Directory()
        directory.merge(make_announcement(incarnation=2), origin="e1", last_confirmed_ms=0)
        assert directory.renew("blazon-1", 1, 5_000, origin="e2")
        assert not directory.list_usable(LEASE_MS)

    def test_the_renewal_of_an_unknown_upstream_returns_false(self) -> None:
        assert not Directory().renew("blazon-1", 1, 0, origin="e2")

    def test_a_tombstone_outlives_the_lease(self, make_announcement: Any) -> None:
        directory = Directory()
        directory.merge(make_announcement(state="leaving"), origin="e1", last_confirmed_ms=0)
        assert directory.remove_expired(600_000) == 0
        late = make_announcement(sequence=5)
        assert directory.merge(late, origin="e1", last_confirmed_ms=600_000) == "ignored"


class TestDecoding:
    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b"{}",
            b"[1]",
            b'{"id":"u","incarnation":1}',
            b"\xff" * 10,
            b"x" * 20_000,
        ],
    )
    def test_a_malformed_announcement_is_rejected(self, raw: bytes) -> None:
        with pytest.raises(InvalidAnnouncementError):
            decode_announcement(raw)

    @pytest.mark.parametrize("address", ["host:80", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:99999", "::"])
    def test_an_address_other_than_ip_and_port_is_rejected(self, address: str) -> None:
        raw = (
            f'{{"id":"u","incarnation":1,"sequence":1,"address":"{address}","zone":"z",'
            '"services":["s"],"slots":1,"state":"serving"}'
        )
        with pytest.raises(InvalidAnnouncementError):
            decode_announcement(raw.encode())

    @given(st.binary())
    def test_arbitrary_bytes_are_rejected(self, raw: bytes) -> None:
        with pytest.raises(InvalidAnnouncementError):
            decode_announcement(raw)


def _announce(**changes: Any) -> Any:
    fields: dict[str, Any] = {
        "id": "u",
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1:1",
        "zone": "z",
        "services": ["s"],
        "slots": 1,
        "state": "serving",
    }
    return Announcement(**(fields | changes))
