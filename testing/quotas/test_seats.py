from __future__ import annotations

from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.quotas.limits import KEPT_MS
from coltsfootrill.quotas.limits import SETTLE_MS
from coltsfootrill.quotas.seats import GAP_MAX_MS
from coltsfootrill.quotas.seats import MINORITY_MAX_MS
from coltsfootrill.quotas.seats import REMEMBER_MS
from coltsfootrill.quotas.seats import Seats

STEP_MS = 200.0


def _make_record(number: int, zone: str) -> InstanceRecord:
    return InstanceRecord(f"n{number}", 1, f"10.0.0.{number}:1", zone, False, 0)


RECORDS = [_make_record(number, f"z{number % 3}") for number in range(12)]


class _Observer:
    """Observes lists of instances at the usual interval."""

    def __init__(self, own_id: str) -> None:
        self.seats = Seats(own_id)
        self.now_ms = 0.0

    def observe(
        self, instances: list[InstanceRecord], duration_ms: float, *, is_current: bool = True
    ) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.seats.observe(instances, is_current=is_current, now_ms=self.now_ms)

    def list_deciders(self) -> list[str]:
        return [record.id for record in self.seats.get_standing("o1", 3).deciders]

    def may_decide(self) -> bool:
        return self.seats.get_standing("o1", 3).get_settled_ms(self.now_ms) is not None


def _find_decider(zone: str) -> InstanceRecord:
    observer = _Observer("n0")
    observer.observe(RECORDS, STEP_MS)
    return next(
        record
        for record in RECORDS
        if record.zone == zone and record.id in observer.list_deciders()
    )


class TestChoice:
    def test_each_zone_has_one_seat(self) -> None:
        observer = _Observer("n0")
        observer.observe(RECORDS, STEP_MS)
        standing = observer.seats.get_standing("o1", 3)
        assert sorted(record.zone for record in standing.deciders) == ["z0", "z1", "z2"]
        assert standing.seats_count == 3

    def test_one_zone_has_all_seats(self) -> None:
        observer = _Observer("n0")
        records = [_make_record(number, "z0") for number in range(5)]
        observer.observe(records, STEP_MS)
        assert len(observer.list_deciders()) == 3

    def test_a_single_instance_has_the_only_seat(self) -> None:
        observer = _Observer("n0")
        observer.observe([_make_record(0, "z0")], STEP_MS)
        assert observer.seats.get_standing("o1", 3).seats_count == 1

    def test_many_organisations_are_spread_over_the_instances(self) -> None:
        observer = _Observer("n0")
        observer.observe(RECORDS, STEP_MS)
        names = [f"o{number}" for number in range(60)]
        deciders = {
            record.id for name in names for record in observer.seats.get_standing(name, 3).deciders
        }
        assert len(deciders) == len(RECORDS)


class TestTakingASeat:
    def test_an_instance_that_starts_waits_until_others_have_stopped(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, SETTLE_MS - STEP_MS)
        assert not observer.may_decide()
        observer.observe(RECORDS, 2 * STEP_MS)
        assert observer.may_decide()

    def test_the_successor_of_a_lost_decider_waits(self) -> None:
        first = _find_decider("z0")
        left = [record for record in RECORDS if record is not first]
        observer = _Observer("n0")
        observer.observe(left, STEP_MS)
        successor = next(
            record
            for record in left
            if record.zone == "z0" and record.id in observer.list_deciders()
        )
        observer = _Observer(successor.id)
        observer.observe(RECORDS, 60_000.0)
        assert not observer.may_decide()
        observer.observe(left, SETTLE_MS - STEP_MS)
        assert not observer.may_decide()
        observer.observe(left, 2 * STEP_MS)
        assert observer.may_decide()

    def test_a_holder_stops_when_it_hears_of_a_higher_rank(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 60_000.0)
        joined = [_make_record(20 + number, "z0") for number in range(30)]
        observer.observe(RECORDS + joined, STEP_MS)
        assert not observer.may_decide()

    def test_changes_elsewhere_do_not_interrupt_a_holder(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 10_000.0)
        settled_ms = observer.seats.get_standing("o1", 3).get_settled_ms(observer.now_ms)
        for count in range(20):
            others = [_make_record(50 + number, "z1") for number in range(count)]
            observer.observe(RECORDS + others, 1_000.0)
            standing = observer.seats.get_standing("o1", 3)
            assert standing.get_settled_ms(observer.now_ms) == settled_ms

    def test_a_seat_of_a_quota_that_is_seldom_asked_for_is_not_interrupted_either(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 10_000.0)
        settled_ms = observer.seats.get_standing("o1", 3).get_settled_ms(observer.now_ms)
        for count in range(4):
            others = [_make_record(50 + number, "z1") for number in range(count + 1)]
            observer.observe(RECORDS + others, 20_000.0)
        standing = observer.seats.get_standing("o1", 3)
        assert standing.get_settled_ms(observer.now_ms) == settled_ms

    def test_an_organisation_that_is_new_needs_no_waiting(self) -> None:
        observer = _Observer("n0")
        observer.observe(RECORDS, 10_000.0)
        standing = [observer.seats.get_standing(f"new{number}", 3) for number in range(30)]
        assert any(item.get_settled_ms(observer.now_ms) is not None for item in standing)


class TestWitnesses:
    def _observe_both(self) -> tuple[_Observer, _Observer]:
        holder = _Observer(_find_decider("z0").id)
        witness = _Observer("n0" if _find_decider("z0").id != "n0" else "n3")
        holder.observe(RECORDS, STEP_MS)
        witness.observe(RECORDS, 20_000.0)
        return holder, witness

    def test_they_tell_for_how_long_an_instance_has_had_its_seat(self) -> None:
        holder, witness = self._observe_both()
        holder_id = _find_decider("z0").id
        assert witness.seats.get_held_ms("o1", 3, holder_id) >= SETTLE_MS
        left = [record for record in RECORDS if record.id != holder_id]
        witness.observe(left, STEP_MS)
        assert witness.seats.get_held_ms("o1", 3, holder_id) == 0
        witness.observe(RECORDS, 1_000.0)
        assert witness.seats.get_held_ms("o1", 3, holder_id) < SETTLE_MS

    def test_they_are_those_that_would_get_the_seat(self) -> None:
        holder, _ = self._observe_both()
        witnesses = holder.seats.get_standing("o1", 3).witnesses
        assert [record.zone for record in witnesses[:3]] == ["z0", "z0", "z0"]
        assert holder.seats.get_standing("o1", 3).deciders[0] not in witnesses

    def test_a_seat_that_is_confirmed_needs_no_waiting(self) -> None:
        holder, _ = self._observe_both()
        assert not holder.may_decide()
        holder.seats.confirm("o1", 3, holder.now_ms)
        assert holder.may_decide()
        holder.observe(RECORDS + [_make_record(50, "z1")], STEP_MS)
        assert holder.may_decide()

    def test_a_seat_that_is_disputed_needs_it_from_then_on(self) -> None:
        holder = _Observer(_find_decider("z0").id)
        holder.observe(RECORDS, 20_000.0)
        assert holder.may_decide()
        holder.seats.dispute("o1", 3, holder.now_ms)
        assert not holder.may_decide()
        holder.observe(RECORDS, SETTLE_MS + STEP_MS)
        assert holder.may_decide()

    def test_a_witness_is_new_until_it_could_have_got_a_seat(self) -> None:
        witness = _Observer("n0")
        witness.observe(RECORDS, SETTLE_MS - STEP_MS)
        assert witness.seats.is_new()
        witness.observe(RECORDS, 2 * STEP_MS)
        assert not witness.seats.is_new()

    def test_one_without_a_seat_gets_none_by_confirmation(self) -> None:
        _, witness = self._observe_both()
        witness.seats.get_standing("o1", 3)
        witness.seats.confirm("o1", 3, witness.now_ms)
        assert not witness.may_decide()


class TestLosingTouch:
    def test_an_instance_without_hubs_goes_on_for_a_short_time(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 10_000.0)
        observer.observe([], KEPT_MS - STEP_MS)
        assert observer.may_decide()
        observer.observe([], 3 * STEP_MS)
        assert not observer.may_decide()

    def test_an_instance_that_was_frozen_takes_its_seat_anew(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 10_000.0)
        observer.now_ms += GAP_MAX_MS
        observer.observe(RECORDS, STEP_MS)
        assert not observer.may_decide()

    def test_a_side_without_a_majority_keeps_its_seat_for_some_time(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 10_000.0)
        zone = [record for record in RECORDS if record.zone == "z0"]
        observer.observe(zone, MINORITY_MAX_MS - STEP_MS, is_current=False)
        assert observer.may_decide()
        observer.observe(zone, 2 * STEP_MS, is_current=False)
        assert not observer.may_decide()

    def test_an_instance_that_never_heard_of_a_majority_does_not_decide(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 60_000.0, is_current=False)
        assert not observer.may_decide()

    def test_the_seats_of_a_lost_zone_are_shared_out_after_the_other_side_has_stopped(self) -> None:
        observer = _Observer(_find_decider("z0").id)
        observer.observe(RECORDS, 10_000.0)
        left = [record for record in RECORDS if record.zone != "z2"]
        observer.observe(left, REMEMBER_MS - STEP_MS)
        standing = observer.seats.get_standing("o1", 3)
        assert (len(standing.deciders), standing.seats_count) == (2, 3)
        observer.observe(left, 2_000.0)
        standing = observer.seats.get_standing("o1", 3)
        assert (len(standing.deciders), standing.seats_count) == (3, 3)

    def test_the_smaller_side_stops_before_its_seats_are_shared_out(self) -> None:
        assert MINORITY_MAX_MS + 2 * SETTLE_MS < REMEMBER_MS
