"""Decides how many tokens of an organisation's quota an instance gets.

Nothing is stored: an instance that starts to decide has empty buckets, which fill at its share of
the rate. What was known before is lost on the side of the limit.
"""

from __future__ import annotations

import math

from coltsfootrill.manifest.model import Organisation
from coltsfootrill.quotas.bucket import TokenBucket
from coltsfootrill.quotas.limits import VALID_MAX_MS
from coltsfootrill.quotas.limits import QuotaBounds
from coltsfootrill.quotas.limits import make_bucket_limit
from coltsfootrill.quotas.messages import Ask
from coltsfootrill.quotas.messages import AskAnswer
from coltsfootrill.quotas.messages import Denied
from coltsfootrill.quotas.messages import Granted
from coltsfootrill.quotas.messages import Transfer

# An instance that is refused asks again within this time, also when many others are before it.
WAIT_MAX_MS = 3_000.0
WAIT_MIN_MS = 20.0
# A decider below this share of its capacity asks the others for some of theirs.
LOW_SHARE = 0.25
HANDED_OVER_SHARE = 0.5
# Pulls that bring nothing follow each other at growing intervals.
PULL_INTERVAL_MS = 25.0
PULL_INTERVAL_MAX_MS = 400.0
# A transfer that arrives later is dropped: its tokens belong to a window that has passed.
TRANSFER_MAX_MS = 100.0
# Answers are retained for this time, so that a repeated question gets the same answer.
ANSWER_RETENTION_MS = 2_000.0
# A bucket outlives its organisation, which may come back in the next manifest.
BUCKET_RETENTION_MS = 60_000.0


class _LastAnswer:
    """The answer to the last question of one instance about one organisation."""

    __slots__ = ("answer", "answered_ms")

    def __init__(self, answer: AskAnswer, answered_ms: float) -> None:
        self.answer = answer
        self.answered_ms = answered_ms


class _State:
    """What a decider knows about one organisation."""

    __slots__ = (
        "asked_ms",
        "bucket",
        "last_by_sender",
        "pull_interval_ms",
        "pull_number",
        "pulled_ms",
        "settled_ms",
    )

    def __init__(self, bucket: TokenBucket, *, settled_ms: float) -> None:
        self.bucket = bucket
        self.settled_ms = settled_ms
        self.last_by_sender: dict[str, _LastAnswer] = {}
        self.asked_ms = float("-inf")
        self.pulled_ms = float("-inf")
        self.pull_number = 0
        self.pull_interval_ms = PULL_INTERVAL_MS


class Decider:
    """Holds one bucket for each organisation with a quota. Not thread-safe.

    ``seats_count`` is the number of deciders that share a quota, and ``settled_ms`` tells since
    when this one decides without a break.
    """

    __slots__ = ("_bounds", "_removed_ms", "_state_by_name")

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._state_by_name: dict[str, _State] = {}
        self._removed_ms = float("-inf")

    def decide(
        self,
        ask: Ask,
        sender: str,
        organisation: Organisation,
        *,
        seats_count: int,
        settled_ms: float,
        now_ms: float,
    ) -> AskAnswer | None:
        """Return the answer to a question, ``None`` if it is older than the last one."""
        if not organisation.has_quota:
            return Granted(ask.number, ask.wanted, VALID_MAX_MS)
        state = self._update(organisation, seats_count, settled_ms, now_ms)
        last = state.last_by_sender.get(sender)
        if last is not None and ask.number <= last.answer.number:
            return last.answer if ask.number == last.answer.number else None
        state.asked_ms = now_ms
        is_local = seats_count > 1 and state.pull_interval_ms < PULL_INTERVAL_MAX_MS
        answer = _answer(state.bucket, ask, now_ms, is_local=is_local)
        state.last_by_sender[sender] = _LastAnswer(answer, now_ms)
        return answer

    def start_pull(self, organisation: Organisation, now_ms: float) -> int | None:
        """Return the number of a new exchange with the other deciders if this one needs tokens."""
        state = self._state_by_name.get(organisation.name)
        if state is None or now_ms - state.pulled_ms < state.pull_interval_ms:
            return None
        bucket = state.bucket
        if bucket.get_level(now_ms) >= LOW_SHARE * bucket.limit.capacity:
            return None
        state.pulled_ms = now_ms
        state.pull_interval_ms = min(2 * state.pull_interval_ms, PULL_INTERVAL_MAX_MS)
        state.pull_number += 1
        return state.pull_number

    def get_wanted(self, organisation: Organisation) -> int:
        """Return how many tokens to ask the other deciders for."""
        return int(self._state_by_name[organisation.name].bucket.limit.capacity)

    def hand_over(
        self,
        wanted: int,
        organisation: Organisation,
        *,
        seats_count: int,
        settled_ms: float,
        now_ms: float,
    ) -> int:
        """Take tokens out of the bucket for another decider and return how many."""
        bucket = self._update(organisation, seats_count, settled_ms, now_ms).bucket
        count = min(wanted, int(HANDED_OVER_SHARE * bucket.get_level(now_ms)))
        return bucket.take(count, count, now_ms)

    def accept(self, transfer: Transfer, now_ms: float) -> None:
        """Add tokens that another decider handed over, if they were asked for just now."""
        state = self._state_by_name.get(transfer.organisation)
        if state is None or transfer.number != state.pull_number:
            return
        if now_ms - state.pulled_ms <= TRANSFER_MAX_MS:
            state.bucket.add(transfer.count, now_ms)
            state.pull_interval_ms = PULL_INTERVAL_MS

    def remove_unused(self, now_ms: float) -> None:
        """Drop answers and buckets that are no longer needed, now and then."""
        if now_ms - self._removed_ms < ANSWER_RETENTION_MS:
            return
        self._removed_ms = now_ms
        for name, state in list(self._state_by_name.items()):
            state.last_by_sender = {
                sender: last
                for sender, last in state.last_by_sender.items()
                if now_ms - last.answered_ms <= ANSWER_RETENTION_MS
            }
            if now_ms - state.asked_ms > BUCKET_RETENTION_MS:
                del self._state_by_name[name]

    def _update(
        self, organisation: Organisation, seats_count: int, settled_ms: float, now_ms: float
    ) -> _State:
        """Return the state of an organisation under the limits in force."""
        limit = make_bucket_limit(organisation, self._bounds, deciders=seats_count)
        state = self._state_by_name.get(organisation.name)
        if state is None or settled_ms > state.settled_ms:
            state = _State(TokenBucket(limit, created_ms=settled_ms), settled_ms=settled_ms)
            self._state_by_name[organisation.name] = state
        state.bucket.set_limit(limit, now_ms)
        return state


def _answer(bucket: TokenBucket, ask: Ask, now_ms: float, *, is_local: bool) -> AskAnswer:
    count = bucket.take(ask.needed, ask.wanted, now_ms)
    if count >= ask.needed:
        return Granted(ask.number, count, bucket.limit.valid_ms)
    promised_ms = bucket.promise(now_ms)
    wait_ms = math.ceil(max(WAIT_MIN_MS, min(promised_ms, WAIT_MAX_MS)))
    rate_per_ms = bucket.limit.rate_per_ms
    interval_ms = math.ceil(min(WAIT_MAX_MS, 1 / rate_per_ms)) if rate_per_ms else WAIT_MAX_MS
    if count:
        return Granted(ask.number, count, bucket.limit.valid_ms, wait_ms, interval_ms)
    return Denied(ask.number, wait_ms, interval_ms, is_local)
