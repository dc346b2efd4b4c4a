"""Gets tokens for the requests of organisations with a quota."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import DependencyRegained
from coltsfootrill.events.catalog import Event
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.metrics import Metrics
from coltsfootrill.quotas.errors import QuotaExceededError
from coltsfootrill.quotas.exchange import Exchange
from coltsfootrill.quotas.exchange import choose_decider
from coltsfootrill.quotas.holding import Holding
from coltsfootrill.quotas.holding import Token
from coltsfootrill.quotas.limits import QuotaBounds
from coltsfootrill.quotas.limits import count_deciders_max
from coltsfootrill.quotas.messages import ANSWER_TOPIC
from coltsfootrill.quotas.messages import ASK_TOPIC
from coltsfootrill.quotas.messages import Ask
from coltsfootrill.quotas.messages import AskAnswer
from coltsfootrill.quotas.messages import Granted
from coltsfootrill.quotas.messages import Unavailable
from coltsfootrill.quotas.messages import decode_answer
from coltsfootrill.quotas.messages import encode
from coltsfootrill.quotas.seats import Seats
from coltsfootrill.quotas.use import QuotaUse

# A decider that did not answer, or does not decide, is asked again after this time.
DECIDER_BACKOFF_MS = 1_500.0
UNAVAILABLE_BACKOFF_MS = 500.0
# Requests are refused for this time after no decider could be asked.
NO_DECIDER_WAIT_MS = 300.0
# Metrics name this many organisations; the others are counted together.
LABELS_MAX_COUNT = 100
OTHER_LABEL = "other"
# Numbers start from the wall time, so that they also grow over a restart.
_NUMBERS_PER_MS = 1 << 16
# Nobody repeats a question ahead of requests; after this many timeouts it is given up.
_TIMEOUTS_MAX_COUNT = 4


class _Account:
    """What this instance holds of one organisation's quota; ``condition`` guards it."""

    __slots__ = (
        "condition",
        "exchange",
        "granted_count",
        "holding",
        "label",
        "message",
        "refused_count",
        "waiting_count",
    )

    def __init__(self, label: str) -> None:
        self.label = label
        self.granted_count = 0
        self.refused_count = 0
        self.condition = threading.Condition()
        self.holding = Holding()
        self.exchange: Exchange | None = None
        self.waiting_count = 0
        self.message = ""


class QuotaClient:
    """Gets tokens from the deciders of a quota. Thread-safe.

    At most one question an organisation is in progress; the requests that need a token meanwhile
    wait for its answer together. ``decide_here`` answers a question if this instance decides.
    """

    def __init__(
        self,
        own: InstanceRecord,
        *,
        port: DatagramPort,
        seats: Seats,
        observe: Callable[[], None],
        bounds: QuotaBounds,
        decide_here: Callable[[Ask, str], AskAnswer | None],
        clock: Clock,
        timeout_ms: float,
        metrics: Metrics,
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self._own = own
        self._port = port
        self._seats = seats
        self._observe = observe
        self._bounds = bounds
        self._decide_here = decide_here
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._metrics = metrics
        self._on_event = on_event
        self._numbers = itertools.count(clock.wall_ms() * _NUMBERS_PER_MS)
        self._lock = threading.Lock()
        self._account_by_name: dict[str, _Account] = {}
        self._account_by_number: dict[int, _Account] = {}
        self._lost_ms_by_id: dict[str, float] = {}
        self._skipped_until_ms_by_id: dict[str, float] = {}
        port.handle(ANSWER_TOPIC, self.handle_answer)

    def acquire(self, organisation: Organisation, *, wait_max_ms: float | None = None) -> Token:
        """Return a token; raise ``QuotaExceededError`` if there is none.

        Waits for the answer of a decider only if no token is in hand, for at most ``wait_max_ms``.
        """
        account = self._get_account(organisation.name)
        with account.condition:
            now_ms = self._clock.now_ms()
            holding = account.holding
            holding.add_demand(now_ms)
            token = holding.take(now_ms)
            if token is None:
                end_ms = now_ms + wait_max_ms if wait_max_ms is not None else float("inf")
                token = self._wait(account, organisation, end_ms)
            account.granted_count += 1
            self._metrics.quota_requests.labels(account.label, "granted").inc()
            if account.exchange is None and holding.should_refill(now_ms):
                self._ask(account, organisation, now_ms)
            return token

    def give_back(self, organisation: Organisation, token: Token) -> None:
        """Take back the token of a request that no upstream ran."""
        account = self._get_account(organisation.name)
        with account.condition:
            account.holding.give_back(token)

    def describe_use(self, organisation: Organisation) -> QuotaUse:
        """Return what this instance has done for an organisation."""
        deciders: list[InstanceRecord] = []
        if organisation.has_quota:
            seats_max = count_deciders_max(organisation, self._bounds)
            deciders = self._seats.get_standing(organisation.name, seats_max).deciders
        account = self._account_by_name.get(organisation.name)
        now_ms = self._clock.now_ms()
        return QuotaUse(
            name=organisation.name,
            rate_per_s=organisation.rate_per_s,
            burst=organisation.burst,
            per_s=0.0 if account is None else round(account.holding.get_demand_per_s(now_ms), 2),
            granted=0 if account is None else account.granted_count,
            refused=0 if account is None else account.refused_count,
            deciders=[record.id for record in deciders],
        )

    def handle_answer(self, payload: bytes, sender: str) -> None:
        """Apply the answer of a decider; raise ``msgspec.MsgspecError`` if it is malformed."""
        answer = decode_answer(payload)
        account = self._account_by_number.get(answer.number)
        if account is None:
            return
        with account.condition:
            exchange = account.exchange
            if exchange is not None and exchange.number == answer.number:
                self._apply(account, exchange, answer)
                account.condition.notify_all()

    def _get_account(self, name: str) -> _Account:
        account = self._account_by_name.get(name)
        if account is None:
            with self._lock:
                label = name if len(self._account_by_name) < LABELS_MAX_COUNT else OTHER_LABEL
                account = self._account_by_name.setdefault(name, _Account(label))
        return account

    def _wait(self, account: _Account, organisation: Organisation, end_ms: float) -> Token:
        """Return a token from the answer of a decider. The caller holds the condition."""
        account.waiting_count += 1
        try:
            while True:
                now_ms = self._clock.now_ms()
                token = account.holding.take(now_ms)
                if token is not None:
                    return token
                if account.holding.is_denied(now_ms) or now_ms >= end_ms:
                    raise self._make_refusal(account, organisation, now_ms)
                if not _is_busy(account, now_ms):
                    self._ask(account, organisation, now_ms)
                elif account.exchange is not None:
                    until_ms = min(account.exchange.until_ms, end_ms)
                    account.condition.wait((until_ms - now_ms) / 1000)
        finally:
            account.waiting_count -= 1

    def _ask(self, account: _Account, organisation: Organisation, now_ms: float) -> None:
        """Send a question, or repeat it, or ask the next decider."""
        exchange = account.exchange
        is_stale = (
            exchange is not None
            and exchange.is_ahead
            and now_ms - exchange.asked_ms > _TIMEOUTS_MAX_COUNT * self._timeout_ms
        )
        if exchange is None or is_stale:
            self._end(account)
            wanted = account.holding.get_wanted(account.waiting_count, now_ms)
            is_ahead = account.waiting_count == 0
            exchange = Exchange(now_ms=now_ms, wanted=wanted, is_ahead=is_ahead)
            account.exchange = exchange
        if not exchange.may_repeat():
            if exchange.decider is not None and exchange.sends:
                self._record_loss(exchange.decider, now_ms)
            decider = self._choose(organisation, exchange, now_ms)
            if decider is None:
                self._refuse(account, exchange, now_ms)
                return
            self._account_by_number.pop(exchange.number, None)
            exchange.ask(decider, next(self._numbers), now_ms)
            self._account_by_number[exchange.number] = account
        self._send(account, organisation, exchange, now_ms)

    def _choose(
        self, organisation: Organisation, exchange: Exchange, now_ms: float
    ) -> InstanceRecord | None:
        self._observe()
        seats_max = count_deciders_max(organisation, self._bounds)
        standing = self._seats.get_standing(organisation.name, seats_max)
        skipped_until = self._skipped_until_ms_by_id
        return choose_decider(
            self._own,
            organisation.name,
            standing.deciders,
            tried=exchange.tried,
            is_skipped=lambda record: now_ms < skipped_until.get(record.id, float("-inf")),
        )

    def _send(
        self, account: _Account, organisation: Organisation, exchange: Exchange, now_ms: float
    ) -> None:
        decider = exchange.decider
        assert decider is not None
        exchange.record_send(now_ms + self._timeout_ms)
        needed = min(account.waiting_count, exchange.wanted)
        ask = Ask(exchange.number, organisation.name, needed, exchange.wanted)
        if decider.id != self._own.id:
            self._port.send(ASK_TOPIC, encode(ask), decider.address)
            return
        answer = self._decide_here(ask, self._own.address) or Unavailable(ask.number)
        self._apply(account, exchange, answer)
        account.condition.notify_all()

    def _apply(self, account: _Account, exchange: Exchange, answer: AskAnswer) -> None:
        """Apply the answer to the question in progress."""
        now_ms = self._clock.now_ms()
        decider = exchange.decider
        assert decider is not None
        if isinstance(answer, Unavailable):
            self._skipped_until_ms_by_id[decider.id] = now_ms + UNAVAILABLE_BACKOFF_MS
            exchange.leave_decider(now_ms)
            self._metrics.quota_questions.labels("unavailable").inc()
            return
        self._record_recovery(decider, now_ms)
        account.message = f"its quota is used up, says the decider {decider.id}"
        result = "granted" if isinstance(answer, Granted) else "denied"
        self._metrics.quota_questions.labels(result).inc()
        if isinstance(answer, Granted):
            self._end(account)
            account.holding.apply_grant(answer, asked_ms=exchange.asked_ms, now_ms=now_ms)
            return
        exchange.denial = answer
        if answer.is_local:
            exchange.leave_decider(now_ms)
        else:
            self._refuse(account, exchange, now_ms)

    def _refuse(self, account: _Account, exchange: Exchange, now_ms: float) -> None:
        """End the question without a token."""
        self._end(account)
        if exchange.denial is not None:
            account.holding.apply_denial(exchange.denial, now_ms)
        else:
            account.message = "no decider of its quota answers"
            account.holding.refuse_for(NO_DECIDER_WAIT_MS, now_ms)
        account.condition.notify_all()

    def _end(self, account: _Account) -> None:
        """End the question in progress, if there is one."""
        if account.exchange is not None:
            self._account_by_number.pop(account.exchange.number, None)
            account.exchange = None

    def _make_refusal(
        self, account: _Account, organisation: Organisation, now_ms: float
    ) -> QuotaExceededError:
        account.refused_count += 1
        self._metrics.quota_requests.labels(account.label, "refused").inc()
        retry_after_ms = account.holding.get_retry_after_ms(now_ms)
        return QuotaExceededError(
            f"organisation {organisation.name}: {account.message} "
            f"({organisation.rate_per_s:g} requests a second, burst {organisation.burst:g}); "
            f"a token is expected in {retry_after_ms:.0f} ms",
            retry_after_ms=retry_after_ms,
        )

    def _record_loss(self, decider: InstanceRecord, now_ms: float) -> None:
        self._metrics.quota_questions.labels("lost").inc()
        with self._lock:
            self._skipped_until_ms_by_id[decider.id] = now_ms + DECIDER_BACKOFF_MS
            was_lost = decider.id in self._lost_ms_by_id
            self._lost_ms_by_id.setdefault(decider.id, now_ms)
        if not was_lost:
            name = f"quota decider {decider.id}"
            self._on_event(DependencyLost(dependency=name, reason="no reply in time"))

    def _record_recovery(self, decider: InstanceRecord, now_ms: float) -> None:
        if decider.id not in self._lost_ms_by_id:
            return
        with self._lock:
            lost_ms = self._lost_ms_by_id.pop(decider.id, None)
        if lost_ms is not None:
            name = f"quota decider {decider.id}"
            self._on_event(
                DependencyRegained(dependency=name, lost_for_ms=round(now_ms - lost_ms, 1))
            )


def _is_busy(account: _Account, now_ms: float) -> bool:
    """Return whether a question is in progress whose answer may still arrive."""
    return account.exchange is not None and now_ms < account.exchange.until_ms
