"""What other instances say of a seat that this one has got, and whether it may decide at once."""

from __future__ import annotations

from coltsfootrill.membership.hub import get_instance_change_delay_ms
from coltsfootrill.quotas.limits import SETTLE_MS
from coltsfootrill.quotas.messages import HeldAnswer
from coltsfootrill.quotas.seats import Seats
from coltsfootrill.quotas.seats import Standing

# The answers of several witnesses are compared if they are not older.
ANSWER_MAX_AGE_MS = 1_000.0
# When many start together, their lists of instances differ at first. Hubs delay changes of a list,
# and one that has been the same for longer than that by this factor is taken for complete.
STABLE_LIST_FACTOR = 2


def testify(seats: Seats, name: str, seats_max: int, *, holder: str, now_ms: float) -> HeldAnswer:
    """Return what this instance knows of the seat of ``holder`` in the quota ``name``."""
    standing = seats.get_standing(name, seats_max)
    is_listed = any(record.id == holder for record in standing.deciders)
    decides = standing.get_settled_ms(now_ms) is not None
    return HeldAnswer(
        organisation=name,
        held_ms=round(seats.get_held_ms(name, seats_max, holder), 1),
        is_rival=decides and not is_listed,
        is_new=seats.is_new(),
    )


class Testimonies:
    """The answers of witnesses about the seats of one instance. Not thread-safe.

    A seat needs no waiting if a witness has listed its holder for long, or if all witnesses have
    just started: then nobody can have got it meanwhile, as after a loss of power of all.
    """

    __slots__ = ("_disputed_ms_by_name", "_new_ms_by_witness_by_name", "_seats")

    def __init__(self, seats: Seats) -> None:
        self._seats = seats
        self._disputed_ms_by_name: dict[str, float] = {}
        # When each witness last said that it is new, by its address.
        self._new_ms_by_witness_by_name: dict[str, dict[str, float]] = {}

    def hear(
        self, answer: HeldAnswer, witness: str, *, standing: Standing, seats_max: int, now_ms: float
    ) -> None:
        """Confirm or dispute the seat by the answer of the instance at the address ``witness``."""
        name = answer.organisation
        if answer.is_rival:
            self._disputed_ms_by_name[name] = now_ms
            self._seats.dispute(name, seats_max, now_ms)
        disputed_ms = self._disputed_ms_by_name.get(name, float("-inf"))
        if answer.held_ms >= SETTLE_MS and now_ms - disputed_ms >= SETTLE_MS:
            self._seats.confirm(name, seats_max, now_ms)
        elif self._are_all_new(answer, witness, standing, now_ms):
            if now_ms - disputed_ms >= SETTLE_MS:
                self._seats.confirm(name, seats_max, now_ms)

    def _are_all_new(
        self, answer: HeldAnswer, witness: str, standing: Standing, now_ms: float
    ) -> bool:
        new_ms_by_witness = self._new_ms_by_witness_by_name.setdefault(answer.organisation, {})
        if not answer.is_new:
            new_ms_by_witness.pop(witness, None)
            return False
        new_ms_by_witness[witness] = now_ms
        addresses = [record.address for record in standing.witnesses]
        oldest_ms = min(
            (new_ms_by_witness.get(address, float("-inf")) for address in addresses),
            default=float("-inf"),
        )
        stable_ms = STABLE_LIST_FACTOR * get_instance_change_delay_ms(standing.instances_count)
        is_stable = now_ms - standing.listed_ms >= stable_ms
        return is_stable and now_ms - oldest_ms <= ANSWER_MAX_AGE_MS
