from __future__ import annotations

from coltsfootrill.quotas.bucket import TokenBucket
from coltsfootrill.quotas.decider import PULL_INTERVAL_MS
from coltsfootrill.quotas.decider import TRANSFER_MAX_MS
from coltsfootrill.quotas.decider import Decider
from coltsfootrill.quotas.limits import BucketLimit
from coltsfootrill.quotas.limits import make_bucket_limit
from coltsfootrill.quotas.messages import Ask
from coltsfootrill.quotas.messages import AskAnswer
from coltsfootrill.quotas.messages import Denied
from coltsfootrill.quotas.messages import Granted
from coltsfootrill.quotas.messages import Transfer
from testing.quotas.fleet import BOUNDS
from testing.quotas.fleet import make_organisation

ORGANISATION = make_organisation(60, 30)
LONG_AGO_MS = -60_000.0
# What a full bucket of one of three deciders holds.
WHOLE = int(make_bucket_limit(ORGANISATION, BOUNDS, deciders=3).capacity)


class _Asker:
    """Asks one decider that holds one of three seats."""

    def __init__(self, *, settled_ms: float = LONG_AGO_MS) -> None:
        self.decider = Decider(BOUNDS)
        self.settled_ms = settled_ms

    def ask(
        self, number: int, *, needed: int = 1, sender: str = "a", now_ms: float = 0.0
    ) -> AskAnswer | None:
        return self.decider.decide(
            Ask(number, "o1", needed, needed),
            sender,
            ORGANISATION,
            seats_count=3,
            settled_ms=self.settled_ms,
            now_ms=now_ms,
        )

    def hand_over(self, wanted: int, now_ms: float = 0.0) -> int:
        return self.decider.hand_over(
            wanted, ORGANISATION, seats_count=3, settled_ms=self.settled_ms, now_ms=now_ms
        )


def _count(answer: AskAnswer | None) -> int:
    return answer.count if isinstance(answer, Granted) else 0


class TestAnswers:
    def test_a_repeated_question_gets_the_same_answer_and_takes_no_more(self) -> None:
        asker = _Asker()
        first = asker.ask(1, needed=5)
        assert asker.ask(1, needed=5) is first
        assert _count(asker.ask(2, needed=100)) == WHOLE - 5

    def test_an_older_question_gets_no_answer(self) -> None:
        asker = _Asker()
        asker.ask(2)
        assert asker.ask(1) is None
        assert isinstance(asker.ask(1, sender="b"), Granted)

    def test_one_that_gets_less_than_it_needs_is_told_when_to_come_back(self) -> None:
        answer = _Asker().ask(1, needed=100)
        assert isinstance(answer, Granted)
        assert answer.wait_ms > 0

    def test_those_who_are_refused_come_back_one_after_the_other(self) -> None:
        asker = _Asker()
        asker.ask(1, needed=100, sender="first")
        waits_ms = []
        for number in range(5):
            answer = asker.ask(1, sender=f"i{number}", now_ms=1.0)
            assert isinstance(answer, Denied)
            waits_ms.append(answer.wait_ms)
        assert waits_ms == sorted(waits_ms)
        assert waits_ms[-1] > waits_ms[0]

    def test_without_a_limit_all_is_granted(self) -> None:
        answer = Decider(BOUNDS).decide(
            Ask(1, "o1", 500, 500),
            "a",
            make_organisation(0, 0),
            seats_count=3,
            settled_ms=0.0,
            now_ms=0.0,
        )
        assert _count(answer) == 500


class TestStart:
    def test_a_decider_starts_empty(self) -> None:
        assert _count(_Asker(settled_ms=0.0).ask(1, needed=100)) == 0

    def test_it_fills_at_its_part_of_the_rate(self) -> None:
        asker = _Asker(settled_ms=0.0)
        asker.ask(1, needed=100)
        assert _count(asker.ask(2, needed=100, now_ms=500.0)) == 10

    def test_a_seat_taken_anew_starts_empty(self) -> None:
        asker = _Asker()
        asker.ask(1)
        asker.settled_ms = 1_000.0
        assert _count(asker.ask(2, needed=100, now_ms=1_000.0)) == 0


class TestTransfers:
    def test_a_decider_that_is_low_pulls(self) -> None:
        asker = _Asker()
        asker.ask(1)
        assert asker.decider.start_pull(ORGANISATION, 0.0) is None
        asker.ask(2, needed=100)
        assert asker.decider.start_pull(ORGANISATION, 0.0) is not None

    def test_pulls_that_bring_nothing_grow_rare(self) -> None:
        asker = _Asker()
        asker.ask(1, needed=100)
        pulls = 0
        for now_ms in range(1_000):
            asker.ask(now_ms + 2, needed=100, now_ms=float(now_ms))
            pulls += asker.decider.start_pull(ORGANISATION, float(now_ms)) is not None
        assert pulls <= 1_000 / PULL_INTERVAL_MS / 4

    def test_what_is_handed_over_leaves_the_bucket(self) -> None:
        asker = _Asker()
        assert asker.hand_over(100) == WHOLE // 2
        assert _count(asker.ask(1, needed=100)) == WHOLE - WHOLE // 2

    def test_tokens_handed_over_are_granted(self) -> None:
        asker = _Asker()
        asker.ask(1, needed=100)
        number = asker.decider.start_pull(ORGANISATION, 0.0)
        assert number is not None
        asker.decider.accept(Transfer(number, "o1", 7), 10.0)
        assert _count(asker.ask(2, needed=100, now_ms=10.0)) == 7

    def test_a_late_transfer_is_dropped(self) -> None:
        asker = _Asker()
        asker.ask(1, needed=100)
        number = asker.decider.start_pull(ORGANISATION, 0.0)
        assert number is not None
        now_ms = TRANSFER_MAX_MS + 1
        asker.decider.accept(Transfer(number, "o1", 7), now_ms)
        assert _count(asker.ask(2, needed=100, now_ms=now_ms)) <= 3


class TestTokensAhead:
    def test_only_a_part_of_the_bucket_is_given_beyond_what_is_needed(self) -> None:
        limit = BucketLimit(capacity=10.0, rate_per_ms=1.0, valid_ms=100.0)
        bucket = TokenBucket(limit, created_ms=0.0)
        assert bucket.take(2, 9, 10.0) == 4
        assert bucket.take(5, 5, 10.0) == 5
        assert bucket.take(1, 9, 10.0) == 1


def test_what_is_unused_for_a_minute_is_dropped() -> None:
    asker = _Asker()
    asker.ask(1)
    asker.decider.remove_unused(61_000.0)
    assert asker.decider.start_pull(ORGANISATION, 61_000.0) is None
