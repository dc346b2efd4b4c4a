"""Retry and hedging rules: the budget, idempotency, and retries further up the call chain."""

from __future__ import annotations

from typing import Literal
from typing import Protocol

from coltsfootrill.manifest.model import Kind

BUDGET_START = 3.0
BUDGET_MAX = 20.0
RECONNECTS_MAX_COUNT = 3
WINDOW_STEPS = 40
# Each instance counts its own attempts, and its counts differ slightly from those of the
# upstreams, so part of the budget is left unused.
BUDGET_USE = 0.9

FailureKind = Literal["refused", "shed", "misdirected", "failed-answer", "lost", "zone-evacuated"]


class BudgetUse:
    """Extra attempts that count at present, and how many are allowed."""

    __slots__ = ("allowed", "spent")

    def __init__(self, *, spent: int, allowed: float) -> None:
        self.spent = spent
        self.allowed = allowed


class AttemptBudget(Protocol):
    """Bounds the attempts of one service beyond the first of each request."""

    def get_use(self, now_ms: float) -> BudgetUse:
        """Return what is spent and what is allowed at ``now_ms``."""

    def earn(self, now_ms: float = 0.0) -> None:
        """Record a first attempt."""

    def spend(self, now_ms: float = 0.0) -> bool:
        """Spend one extra attempt and return whether it is allowed."""


class WindowBudget:
    """A retry budget over a sliding window: a share of its first attempts plus an allowance.

    The fleet has one allowance for all instances; ``allowance`` is this instance's part. The
    window is divided into steps. A step that is only partly within the window counts for extra
    attempts but not for first ones, so that rounding never exceeds the budget.
    """

    __slots__ = ("_extras_by_step", "_firsts_by_step", "_step_ms", "allowance", "share")

    def __init__(self, share: float, *, window_ms: float, allowance: float) -> None:
        self.share = share
        self.allowance = allowance
        self._step_ms = window_ms / WINDOW_STEPS
        self._firsts_by_step: dict[int, int] = {}
        self._extras_by_step: dict[int, int] = {}

    def earn(self, now_ms: float = 0.0) -> None:
        """Record a first attempt."""
        self._add(self._firsts_by_step, now_ms)

    def spend(self, now_ms: float = 0.0) -> bool:
        """Spend one extra attempt and return whether it is allowed."""
        use = self.get_use(now_ms)
        if use.spent + 1 > use.allowed:
            return False
        self._add(self._extras_by_step, now_ms)
        return True

    def get_use(self, now_ms: float) -> BudgetUse:
        """Return the extra attempts within the window, and how many are allowed there."""
        step = int(now_ms / self._step_ms)
        firsts = _count_since(self._firsts_by_step, step - WINDOW_STEPS + 1)
        extras = _count_since(self._extras_by_step, step - WINDOW_STEPS)
        return BudgetUse(spent=extras, allowed=self.share * firsts + self.allowance)

    def _add(self, count_by_step: dict[int, int], now_ms: float) -> None:
        step = int(now_ms / self._step_ms)
        count_by_step[step] = count_by_step.get(step, 0) + 1


def _count_since(count_by_step: dict[int, int], oldest: int) -> int:
    """Return the sum of the steps from ``oldest`` on, and drop those before ``oldest - 1``."""
    for step in [step for step in count_by_step if step < oldest - 1]:
        del count_by_step[step]
    return sum(count for step, count in count_by_step.items() if step >= oldest)


def share_allowance(
    total: float, *, instances: int | None, running_ms: float, window_ms: float
) -> float:
    """Return this instance's part of the fleet's allowance.

    It is 0 while the number of instances is unknown, and during one window after the start, since
    attempts that this instance made before a restart may still count.
    """
    if not instances or running_ms < window_ms:
        return 0.0
    return BUDGET_USE * total / instances


class RetryBudget:
    """Tokens earned by first attempts and spent by retries and hedges of one service."""

    __slots__ = ("share", "tokens")

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = BUDGET_START if share > 0 else 0.0

    def earn(self, now_ms: float = 0.0) -> None:
        """Record a first attempt."""
        self.tokens = min(BUDGET_MAX, self.tokens + self.share)

    def spend(self, now_ms: float = 0.0) -> bool:
        """Spend one token and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def get_use(self, now_ms: float) -> BudgetUse:
        """Return the tokens that are left; spent tokens are not counted."""
        return BudgetUse(spent=0, allowed=self.tokens)


class AttemptHistory:
    """The attempts made so far for one request.

    ``possibly_run`` counts attempts of which at least one byte was sent and that the upstream did
    not explicitly refuse; if there is one, the request may have run. ``is_retried`` is true if the
    request is part of a call that a caller further up the chain has already retried. ``sends``
    counts the upstreams that it was sent to.
    """

    __slots__ = ("is_retried", "possibly_run", "reconnects", "retries", "sends")

    def __init__(self, *, is_retried: bool) -> None:
        self.is_retried = is_retried
        self.possibly_run = 0
        self.reconnects = 0
        self.retries = 0
        self.sends = 0

    def has_attempt_left(self, kind: Kind) -> bool:
        """Return whether the kind allows sending the request to another upstream."""
        return kind.attempts_max is None or self.sends < kind.attempts_max

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run the request."""
        return self.possibly_run > 0


def may_retry(
    history: AttemptHistory,
    failure: FailureKind,
    *,
    kind: Kind,
    budget: AttemptBudget,
    now_ms: float = 0.0,
) -> bool:
    """Return whether another attempt may be made after ``failure``, spending the budget.

    A refused connection costs upstreams nothing, so it is bounded by ``RECONNECTS_MAX_COUNT``
    instead of the budget. After any other failure, a request that is part of a retried call is not
    retried, since retries would otherwise multiply along a chain of calls.
    """
    if failure == "refused":
        history.reconnects += 1
        return history.reconnects <= RECONNECTS_MAX_COUNT
    if failure not in ("shed", "misdirected") and not kind.idempotent:
        return False
    if history.is_retried or history.retries >= kind.retries:
        return False
    if not history.has_attempt_left(kind):
        return False
    if not budget.spend(now_ms):
        return False
    history.retries += 1
    return True


def may_hedge(
    history: AttemptHistory, *, kind: Kind, budget: AttemptBudget, now_ms: float = 0.0
) -> bool:
    """Return whether a hedged request may be sent, spending the budget."""
    if not kind.idempotent or history.is_retried or not history.has_attempt_left(kind):
        return False
    if kind.hedge_quantile is None and kind.target_ms is None:
        return False
    return budget.spend(now_ms)
