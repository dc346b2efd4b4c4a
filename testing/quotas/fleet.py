"""Instances of a fleet that share quotas, on a clock that is set by hand and without a network."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.view import HUB_RESPONSIVE_WITHIN_MS
from coltsfootrill.quotas.decider import Decider
from coltsfootrill.quotas.exchange import choose_decider
from coltsfootrill.quotas.holding import Holding
from coltsfootrill.quotas.holding import Token
from coltsfootrill.quotas.limits import SETTLE_MS
from coltsfootrill.quotas.limits import QuotaBounds
from coltsfootrill.quotas.limits import count_deciders_max
from coltsfootrill.quotas.messages import Ask
from coltsfootrill.quotas.messages import AskAnswer
from coltsfootrill.quotas.messages import Denied
from coltsfootrill.quotas.messages import Granted
from coltsfootrill.quotas.messages import Transfer
from coltsfootrill.quotas.seats import Seats
from coltsfootrill.quotas.seats import Standing
from coltsfootrill.quotas.testimony import Testimonies
from coltsfootrill.quotas.testimony import testify

STEP_MS = 100.0
# A hub drops an instance this long after the last reply that reached it, at the earliest.
DROPPED_AFTER_MS = 5_500.0
BOUNDS = QuotaBounds(window_ms=5_000.0, overshoot=0.1, slack=20.0)


def make_organisation(rate_per_s: float, burst: float) -> Organisation:
    return Organisation(name="o1", keys=[], rate_per_s=rate_per_s, burst=burst)


class QuotaInstance:
    """One instance: it asks for tokens, decides if it has a seat, and may be out of touch."""

    def __init__(self, fleet: QuotaFleet, number: int, zone: str) -> None:
        self.record = InstanceRecord(f"n{number}", 1, f"10.0.0.{number}:1", zone, False, 0)
        self.fleet = fleet
        self.organisation = fleet.organisation
        # Instances with different sides cannot reach each other.
        self.side = ""
        self.apart_since_ms = float("-inf")
        self.is_frozen = False
        # A greedy instance asks again although it was refused.
        self.is_greedy = False
        self.listed: list[InstanceRecord] = []
        self.restart()

    def restart(self) -> None:
        self.seats = Seats(self.record.id)
        self.decider = Decider(self.fleet.bounds)
        self.holding = Holding()
        self.reserved: list[Token] = []
        self.testimonies = Testimonies(self.seats)
        self.skipped_until_ms_by_id: dict[str, float] = {}

    def observe(self, now_ms: float) -> None:
        listed = self.fleet.list_for(self, now_ms)
        if listed != self.listed:
            self.listed = listed
        is_current = not self.side or now_ms - self.apart_since_ms < HUB_RESPONSIVE_WITHIN_MS
        self.seats.observe(self.listed, is_current=is_current, now_ms=now_ms)

    def get_standing(self) -> Standing:
        seats_max = count_deciders_max(self.organisation, self.fleet.bounds)
        return self.seats.get_standing(self.organisation.name, seats_max)

    def decide(self, ask: Ask, sender: str, now_ms: float) -> AskAnswer | None:
        self.observe(now_ms)
        standing = self.get_standing()
        settled_ms = standing.get_settled_ms(now_ms)
        if settled_ms is None:
            if standing.since_ms is not None:
                self.ask_witnesses(standing, now_ms)
            return None
        answer = self.decider.decide(
            ask,
            sender,
            self.organisation,
            seats_count=standing.seats_count,
            settled_ms=settled_ms,
            now_ms=now_ms,
        )
        number = self.decider.start_pull(self.organisation, now_ms)
        if number is not None:
            self.pull(standing, number, now_ms)
        return answer

    def ask_witnesses(self, standing: Standing, now_ms: float) -> None:
        """Decide at once if others have listed this instance with its seat for long."""
        seats_max = count_deciders_max(self.organisation, self.fleet.bounds)
        name = self.organisation.name
        for record in standing.witnesses:
            other = self.fleet.by_id[record.id]
            if not (self.fleet.passes(self, other) and self.fleet.passes(other, self)):
                continue
            other.observe(now_ms)
            answer = testify(other.seats, name, seats_max, holder=self.record.id, now_ms=now_ms)
            self.testimonies.hear(
                answer,
                record.address,
                standing=standing,
                seats_max=seats_max,
                now_ms=now_ms,
            )

    def pull(self, standing: Standing, number: int, now_ms: float) -> None:
        wanted = self.decider.get_wanted(self.organisation)
        for record in standing.deciders:
            other = self.fleet.by_id[record.id]
            if other is self or not self.fleet.passes(self, other):
                continue
            count = other.hand_over(wanted, now_ms)
            if count and self.fleet.passes(other, self):
                self.decider.accept(Transfer(number, self.organisation.name, count), now_ms)

    def hand_over(self, wanted: int, now_ms: float) -> int:
        self.observe(now_ms)
        standing = self.get_standing()
        settled_ms = standing.get_settled_ms(now_ms)
        if settled_ms is None:
            return 0
        return self.decider.hand_over(
            wanted,
            self.organisation,
            seats_count=standing.seats_count,
            settled_ms=settled_ms,
            now_ms=now_ms,
        )

    def acquire(self) -> Token | None:
        """Return a token, from the hand or from a decider."""
        now_ms = self.fleet.clock.now_ms()
        self.holding.add_demand(now_ms)
        token = self.holding.take(now_ms)
        if token is None and (self.is_greedy or not self.holding.is_denied(now_ms)):
            self.ask(now_ms)
            token = self.holding.take(now_ms)
        return token

    def ask(self, now_ms: float) -> None:
        self.observe(now_ms)
        tried: set[str] = set()
        denied: Denied | None = None
        while True:
            decider = choose_decider(
                self.record,
                self.organisation.name,
                self.get_standing().deciders,
                tried=tried,
                is_skipped=lambda record: (
                    now_ms < self.skipped_until_ms_by_id.get(record.id, float("-inf"))
                ),
            )
            if decider is None:
                if denied is not None:
                    self.holding.apply_denial(denied, now_ms)
                return
            tried.add(decider.id)
            answer = self.fleet.ask(self, decider.id, self.holding.get_wanted(1, now_ms))
            if isinstance(answer, Granted):
                self.holding.apply_grant(answer, asked_ms=now_ms, now_ms=now_ms)
                return
            if isinstance(answer, Denied):
                denied = answer
                if answer.is_local:
                    continue
                self.holding.apply_denial(answer, now_ms)
                return
            self.skipped_until_ms_by_id[decider.id] = now_ms + 500.0

    def send(self) -> bool:
        """Send one request at once; return whether the quota allowed it."""
        token = self.acquire()
        if token is None:
            self.fleet.refused_count += 1
            return False
        self.fleet.record_run()
        return True

    def reserve(self) -> bool:
        """Let one request wait with its token for an upstream; return whether it got one."""
        token = self.acquire()
        if token is not None:
            self.reserved.append(token)
        return token is not None

    def send_reserved(self) -> None:
        """Send the requests that wait, as far as their tokens are valid or there are others."""
        reserved, self.reserved = self.reserved, []
        for token in reserved:
            if token.is_valid(self.fleet.clock.now_ms()) or self.acquire() is not None:
                self.fleet.record_run()


class QuotaFleet:
    """Instances in three zones, and the times at which upstreams ran a request."""

    def __init__(
        self,
        organisation: Organisation,
        *,
        instances: int,
        zones: int = 3,
        bounds: QuotaBounds = BOUNDS,
    ) -> None:
        self.bounds = bounds
        self.clock = ManualClock(1_000_000.0)
        self.organisation = organisation
        self.instances = [
            QuotaInstance(self, number, f"z{number % zones}") for number in range(instances)
        ]
        self.by_id = {instance.record.id: instance for instance in self.instances}
        self.numbers = itertools.count(1)
        self.runs_ms: list[float] = []
        self.refused_count = 0
        self.questions_count = 0
        self.is_lost: Callable[[], bool] = lambda: False

    def settle(self) -> None:
        """Let the deciders take their seats and fill their buckets."""
        self.advance(SETTLE_MS + 5_000.0)

    def advance(self, duration_ms: float) -> None:
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(min(STEP_MS, end_ms - self.clock.now_ms()))
            for instance in self.instances:
                if not instance.is_frozen:
                    instance.observe(self.clock.now_ms())

    def change_limit(self, rate_per_s: float, burst: float) -> None:
        """Put another limit into force everywhere."""
        self.organisation = make_organisation(rate_per_s, burst)
        for instance in self.instances:
            instance.organisation = self.organisation

    def separate(self, instances: list[QuotaInstance], side: str) -> None:
        """Cut instances off from all others, or connect them again with side ''."""
        for instance in instances:
            instance.side = side
            instance.apart_since_ms = self.clock.now_ms()

    def list_for(self, asker: QuotaInstance, now_ms: float) -> list[InstanceRecord]:
        """Return what the hubs of an instance list; one that is alone has no hub."""
        apart_ms = now_ms - asker.apart_since_ms
        if asker.side == "alone" and apart_ms >= HUB_RESPONSIVE_WITHIN_MS:
            return []
        if asker.side and apart_ms < DROPPED_AFTER_MS:
            return [instance.record for instance in self.instances]
        return [
            other.record
            for other in self.instances
            if other.side == asker.side or now_ms - other.apart_since_ms < DROPPED_AFTER_MS
        ]

    def passes(self, source: QuotaInstance, target: QuotaInstance) -> bool:
        """Return whether a datagram arrives."""
        if target is source:
            return True
        is_connected = source.side == target.side != "alone" and not target.is_frozen
        return is_connected and not self.is_lost()

    def ask(self, asker: QuotaInstance, decider_id: str, wanted: int) -> AskAnswer | None:
        decider = self.by_id[decider_id]
        ask = Ask(next(self.numbers), self.organisation.name, 1, wanted)
        self.questions_count += 1
        answer: AskAnswer | None = None
        # A question without an answer is repeated once.
        for _ in range(2):
            if answer is None and self.passes(asker, decider):
                reply = decider.decide(ask, asker.record.address, self.clock.now_ms())
                if self.passes(decider, asker):
                    answer = reply
        return answer

    def record_run(self) -> None:
        self.runs_ms.append(self.clock.now_ms())

    def get_most_in_window(self) -> int:
        """Return the largest number of runs in any window."""
        most = 0
        start = 0
        for end, run_ms in enumerate(self.runs_ms):
            while run_ms - self.runs_ms[start] > self.bounds.window_ms:
                start += 1
            most = max(most, end - start + 1)
        return most

    def get_bound(self) -> float:
        """Return how many requests upstreams may run in a window."""
        quota = self.bounds.get_quota(self.organisation)
        return quota + self.bounds.get_margin(self.organisation)
