"""Which instances decide about the quota of an organisation.

A quota is shared equally among a few seats, spread over the availability zones. The seats of a zone
belong to the first instances of it in rank. An instance that gets a seat waits until any other that
held it before has heard of that, or has lost touch with the hubs and stopped deciding. It need not
wait if another instance confirms that it has held the seat all the time, as after a restart.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Sequence

from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.relay_topology import rank
from coltsfootrill.quotas.limits import KEPT_MS
from coltsfootrill.quotas.limits import SETTLE_MS

# An instance that has not observed the fleet for longer may have missed a change.
GAP_MAX_MS = 3_000.0
OBSERVE_INTERVAL_MS = 200.0
# Lists of instances are kept for this time, to tell since when an instance has held a seat.
HISTORY_MS = 30_000.0
# An instance asks this many others to confirm its seat.
WITNESSES_MAX_COUNT = 5
# A side without a majority goes on with its seats for this time. The others share out the seats of
# a zone that they no longer hear of only after REMEMBER_MS, so that no seat exists twice.
MINORITY_MAX_MS = 15_000.0
REMEMBER_MS = 30_000.0
REMEMBER_INTERVAL_MS = 1_000.0


class _Listing:
    """The instances that were listed from ``since_ms`` on."""

    __slots__ = ("instances", "since_ms")

    def __init__(self, instances: Sequence[InstanceRecord], since_ms: float) -> None:
        self.instances = instances
        self.since_ms = since_ms


class Standing:
    """Who decides about one quota, as of the list of instances that was new at ``listed_ms``.

    ``instances_count`` is how many instances it lists, and ``deciders`` are those of them that hold
    a seat; ``seats_count`` also counts the seats of instances that are out of touch. ``since_ms``
    tells since when this instance has held one without a break, ``None`` if it holds none.
    ``witnesses`` are other instances, those that would get its seat first.
    """

    __slots__ = (
        "deciders",
        "generation",
        "instances_count",
        "listed_ms",
        "seats_count",
        "since_ms",
        "witnesses",
    )

    def __init__(
        self,
        deciders: list[InstanceRecord],
        *,
        seats_count: int,
        since_ms: float | None,
        listed_ms: float,
        generation: int,
        instances_count: int,
        witnesses: list[InstanceRecord],
    ) -> None:
        self.deciders = deciders
        self.instances_count = instances_count
        self.witnesses = witnesses
        self.seats_count = seats_count
        self.since_ms = since_ms
        self.listed_ms = listed_ms
        self.generation = generation

    def get_settled_ms(self, now_ms: float) -> float | None:
        """Return since when this instance may decide, ``None`` if it may not."""
        if self.since_ms is None or now_ms - self.since_ms < SETTLE_MS:
            return None
        return self.since_ms + SETTLE_MS


class Seats:
    """Remembers the lists of instances and tells who decides. Thread-safe."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._lock = threading.Lock()
        self._listings: deque[_Listing] = deque()
        self._begun_ms = float("inf")
        self._zone_by_id: dict[str, str] = {}
        self._seen_ms_by_id: dict[str, float] = {}
        self._observed: Sequence[InstanceRecord] | None = None
        self._observed_ms = float("-inf")
        self._remembered: Sequence[InstanceRecord] | None = None
        self._remembered_ms = float("-inf")
        self._current_ms = float("-inf")
        self._touched_ms = float("-inf")
        self._generation = 0
        self._standing_by_key: dict[tuple[str, int], Standing] = {}

    def observe(
        self, instances: Sequence[InstanceRecord], *, is_current: bool, now_ms: float
    ) -> None:
        """Record which instances are listed now.

        ``is_current`` tells whether a hub in touch with a majority lists them.
        """
        with self._lock:
            elapsed_ms = now_ms - self._observed_ms
            if elapsed_ms < OBSERVE_INTERVAL_MS and instances is self._observed:
                return
            self._observed = instances
            if elapsed_ms > GAP_MAX_MS:
                self._listings.clear()
                self._standing_by_key.clear()
            self._observed_ms = now_ms
            if not self._listings:
                self._begun_ms = now_ms
            if is_current:
                self._current_ms = now_ms
            if instances:
                self._touched_ms = now_ms
            elif now_ms - self._touched_ms <= KEPT_MS and self._listings:
                instances = self._listings[-1].instances
            if now_ms - self._current_ms > MINORITY_MAX_MS:
                instances = ()
            self._remember(instances, now_ms)
            self._list(instances, now_ms)

    def get_standing(self, organisation: str, seats_max: int) -> Standing:
        """Return who decides about the quota of an organisation, with up to ``seats_max`` seats."""
        key = (organisation, seats_max)
        with self._lock:
            standing = self._standing_by_key.get(key)
            if standing is None or standing.generation != self._generation:
                standing = self._make_standing(organisation, seats_max, standing)
                self._standing_by_key[key] = standing
            return standing

    def get_held_ms(self, organisation: str, seats_max: int, instance_id: str) -> float:
        """Return for how long another instance has been listed with a seat, without a break."""
        with self._lock:
            seats_by_zone = self._count_seats(organisation, seats_max)
            since_ms = self._observed_ms
            for listing in reversed(self._listings):
                chosen = _choose(organisation, listing.instances, seats_by_zone)
                if all(record.id != instance_id for record in chosen):
                    break
                since_ms = listing.since_ms
            return self._observed_ms - since_ms

    def is_new(self) -> bool:
        """Return whether this instance has observed the fleet for too short a time to decide."""
        with self._lock:
            return self._observed_ms - self._begun_ms < SETTLE_MS

    def confirm(self, organisation: str, seats_max: int, now_ms: float) -> None:
        """Record that this instance has held its seat for long, as others have listed it."""
        with self._lock:
            standing = self._standing_by_key.get((organisation, seats_max))
            if standing is not None and standing.since_ms is not None:
                standing.since_ms = min(standing.since_ms, now_ms - SETTLE_MS)

    def dispute(self, organisation: str, seats_max: int, now_ms: float) -> None:
        """Record that another instance decides in place of this one, which waits from now on."""
        with self._lock:
            standing = self._standing_by_key.get((organisation, seats_max))
            if standing is not None and standing.since_ms is not None:
                standing.since_ms = now_ms

    def _make_standing(
        self, organisation: str, seats_max: int, before: Standing | None
    ) -> Standing:
        seats_by_zone = self._count_seats(organisation, seats_max)
        chosen_by_listing = [
            _choose(organisation, listing.instances, seats_by_zone)
            for listing in reversed(self._listings)
        ]
        since_ms: float | None = None
        for listing, chosen in zip(reversed(self._listings), chosen_by_listing, strict=True):
            if all(record.id != self._own_id for record in chosen):
                break
            if before is not None and before.listed_ms == listing.since_ms:
                if before.since_ms is not None:
                    since_ms = before.since_ms
                elif since_ms is None:
                    # It got the seat by a new number of seats, not by a new list.
                    since_ms = self._observed_ms
                break
            since_ms = listing.since_ms
        return Standing(
            chosen_by_listing[0] if chosen_by_listing else [],
            seats_count=sum(seats_by_zone.values()),
            since_ms=since_ms,
            listed_ms=self._listings[-1].since_ms if self._listings else self._observed_ms,
            generation=self._generation,
            instances_count=len(self._listings[-1].instances) if self._listings else 0,
            witnesses=self._list_witnesses(organisation, chosen_by_listing),
        )

    def _list_witnesses(
        self, organisation: str, chosen_by_listing: list[list[InstanceRecord]]
    ) -> list[InstanceRecord]:
        if not chosen_by_listing:
            return []
        chosen = {record.id for record in chosen_by_listing[0]}
        others = [record for record in self._listings[-1].instances if record.id not in chosen]
        own_zone = self._zone_by_id.get(self._own_id)
        others.sort(
            key=lambda record: (record.zone == own_zone, rank(organisation, record.id)),
            reverse=True,
        )
        return others[:WITNESSES_MAX_COUNT]

    def _list(self, instances: Sequence[InstanceRecord], now_ms: float) -> None:
        """Record a list of instances, and drop those that are too old."""
        listings = self._listings
        before_generation = self._generation
        if not listings or not _have_same_ids(listings[-1].instances, instances):
            listings.append(_Listing(instances, now_ms))
            self._generation += 1
        elif listings[-1].instances is not instances:
            listings[-1].instances = instances
            self._generation += 1
        if self._generation != before_generation:
            self._update_held()
        while len(listings) > 1 and now_ms - listings[1].since_ms > HISTORY_MS:
            listings.popleft()

    def _update_held(self) -> None:
        """Follow the seats of this instance from list to list, also of quotas seldom asked for."""
        for key, standing in list(self._standing_by_key.items()):
            if standing.since_ms is not None:
                self._standing_by_key[key] = self._make_standing(*key, standing)

    def _remember(self, instances: Sequence[InstanceRecord], now_ms: float) -> None:
        if instances is self._remembered and now_ms - self._remembered_ms < REMEMBER_INTERVAL_MS:
            return
        self._remembered = instances
        self._remembered_ms = now_ms
        before_count = len(self._zone_by_id)
        for record in instances:
            self._seen_ms_by_id[record.id] = now_ms
            self._zone_by_id[record.id] = record.zone
        if len(self._seen_ms_by_id) > len(instances):
            for key, seen_ms in list(self._seen_ms_by_id.items()):
                if now_ms - seen_ms > REMEMBER_MS:
                    del self._seen_ms_by_id[key]
                    del self._zone_by_id[key]
        if len(self._zone_by_id) != before_count:
            self._generation += 1

    def _count_seats(self, organisation: str, seats_max: int) -> dict[str, int]:
        """Return the seats by zone: one zone after the other gets a seat while it has instances."""
        free_by_zone: dict[str, int] = {}
        for zone in self._zone_by_id.values():
            free_by_zone[zone] = free_by_zone.get(zone, 0) + 1
        zones = sorted(free_by_zone, key=lambda zone: (rank(organisation, zone), zone))
        seats_by_zone: dict[str, int] = {}
        while seats_max > 0 and any(free_by_zone.values()):
            for zone in zones:
                if seats_max > 0 and free_by_zone[zone]:
                    free_by_zone[zone] -= 1
                    seats_max -= 1
                    seats_by_zone[zone] = seats_by_zone.get(zone, 0) + 1
        return seats_by_zone


def _choose(
    organisation: str, instances: Sequence[InstanceRecord], seats_by_zone: dict[str, int]
) -> list[InstanceRecord]:
    """Return the first instances of each zone in rank."""
    chosen: list[InstanceRecord] = []
    for zone, count in seats_by_zone.items():
        members = [record for record in instances if record.zone == zone]
        members.sort(key=lambda record: rank(organisation, record.id), reverse=True)
        chosen.extend(members[:count])
    return chosen


def _have_same_ids(first: Sequence[InstanceRecord], second: Sequence[InstanceRecord]) -> bool:
    return first is second or [record.id for record in first] == [record.id for record in second]
