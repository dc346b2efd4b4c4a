"""Whether another attempt may be made: budget, proof that nothing ran, and depth."""

from __future__ import annotations

from typing import Literal
from typing import Protocol

from coltsfootrill.manifest.model import Kind

BUDGET_START = 3.0
BUDGET_MAX = 20.0
RECONNECTS_MAX_COUNT = 3
WINDOW_STEPS = 40
# The instances count for themselves, and not quite as the upstreams do: a part stays unused.
BUDGET_USE = 0.9

FailureKind = Literal["refused", "shed", "misdirected", "failed-answer", "lost"]


class BudgetUse:
    """Further attempts that count now, and how many may."""

    __slots__ = ("allowed", "spent")

    def __init__(self, *, spent: int, allowed: float) -> None:
        self.spent = spent
        self.allowed = allowed


class AttemptBudget(Protocol):
    """Bounds attempts beyond the first ones of one service."""

    def get_use(self, now_ms: float) -> BudgetUse:
        """Return what is spent and what is allowed at this moment."""

    def earn(self, now_ms: float = 0.0) -> None:
        """Note a first attempt."""

    def spend(self, now_ms: float = 0.0) -> bool:
        """Take one further attempt and return whether it is allowed."""


class WindowBudget:
    """Further attempts within a sliding window, bounded by a share of the first ones there.

    All instances share an allowance on top; ``allowance`` is the part of this one. The window is
    cut into steps: a step that is only partly within the window counts for further attempts, and
    does not count for first ones.
    """

    __slots__ = ("_extras_by_step", "_firsts_by_step", "_step_ms", "allowance", "share")

    def __init__(self, share: float, *, window_ms: float, allowance: float) -> None:
        self.share = share
        self.allowance = allowance
        self._step_ms = window_ms / WINDOW_STEPS
        self._firsts_by_step: dict[int, int] = {}
        self._extras_by_step: dict[int, int] = {}

    def earn(self, now_ms: float = 0.0) -> None:
        """Note a first attempt."""
        self._add(self._firsts_by_step, now_ms)

    def spend(self, now_ms: float = 0.0) -> bool:
        """Take one further attempt and return whether it is allowed."""
        use = self.get_use(now_ms)
        if use.spent + 1 > use.allowed:
            return False
        self._add(self._extras_by_step, now_ms)
        return True

    def get_use(self, now_ms: float) -> BudgetUse:
        """Return the further attempts within the window, and how many may be there."""
        step = int(now_ms / self._step_ms)
        firsts = _count_since(self._firsts_by_step, step - WINDOW_STEPS + 1)
        extras = _count_since(self._extras_by_step, step - WINDOW_STEPS)
        return BudgetUse(spent=extras, allowed=self.share * firsts + self.allowance)

    def _add(self, count_by_step: dict[int, int], now_ms: float) -> None:
        step = int(now_ms / self._step_ms)
        count_by_step[step] = count_by_step.get(step, 0) + 1


def _count_since(count_by_step: dict[int, int], oldest: int) -> int:
    """Return the sum of the steps from ``oldest`` on, and drop what is older by far."""
    for step in [step for step in count_by_step if step < oldest - 1]:
        del count_by_step[step]
    return sum(count for step, count in count_by_step.items() if step >= oldest)


def share_allowance(
    total: float, *, instances: int | None, running_ms: float, window_ms: float
) -> float:
    """Return this instance's part of the fleet's allowance.

    It is nothing while the others are not known, and for a window after the start: what this
    instance spent before a restart may still count.
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
        """Note a first attempt."""
        self.tokens = min(BUDGET_MAX, self.tokens + self.share)

    def spend(self, now_ms: float = 0.0) -> bool:
        """Take one token and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def get_use(self, now_ms: float) -> BudgetUse:
        """Return the tokens that are left; what was spent is not kept."""
        return BudgetUse(spent=0, allowed=self.tokens)


class AttemptHistory:
    """What happened so far to one request.

    ``unproven`` counts attempts of which a byte was sent and that the upstream did not explicitly
    refuse: as long as there is one, the request may have run.
    ``is_marked`` tells that the request is part of a call that was itself retried further up.
    ``sends`` counts all upstreams that it was sent to.
    """

    __slots__ = ("is_marked", "reconnects", "retries", "sends", "unproven")

    def __init__(self, *, is_marked: bool) -> None:
        self.is_marked = is_marked
        self.unproven = 0
        self.reconnects = 0
        self.retries = 0
        self.sends = 0

    def has_attempt_left(self, kind: Kind) -> bool:
        """Return whether the kind allows to send the request to another upstream."""
        return kind.attempts_max is None or self.sends < kind.attempts_max

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run the request."""
        return self.unproven > 0


def may_retry(
    history: AttemptHistory,
    failure: FailureKind,
    *,
    kind: Kind,
    budget: AttemptBudget,
    now_ms: float = 0.0,
) -> bool:
    """Return whether another attempt may be made after ``failure``, spending the budget.

    A refused connection costs upstreams nothing: it has a small bound of its own. A request that
    is part of a retried call gets no retry beyond that, so that retries do not multiply along
    the depth of calls.
    """
    if failure == "refused":
        history.reconnects += 1
        return history.reconnects <= RECONNECTS_MAX_COUNT
    if failure not in ("shed", "misdirected") and not kind.idempotent:
        return False
    if history.is_marked or history.retries >= kind.retries:
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
    """Return whether a second attempt may run beside the first, spending the budget."""
    if not kind.idempotent or history.is_marked or not history.has_attempt_left(kind):
        return False
    if kind.hedge_quantile is None and kind.target_ms is None:
        return False
    return budget.spend(now_ms)
