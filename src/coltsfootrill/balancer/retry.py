"""Whether another attempt may be made: budget, proof that nothing ran, and depth."""

from __future__ import annotations

from typing import Literal

from coltsfootrill.manifest.model import Kind

BUDGET_START = 3.0
BUDGET_MAX = 20.0
RECONNECTS_MAX_COUNT = 3

FailureKind = Literal["refused", "shed", "failed-answer", "lost"]


class RetryBudget:
    """Tokens earned by first attempts and spent by retries and hedges of one service."""

    __slots__ = ("share", "tokens")

    def __init__(self, share: float) -> None:
        self.share = share
        self.tokens = BUDGET_START if share > 0 else 0.0

    def earn(self) -> None:
        """Note a first attempt."""
        self.tokens = min(BUDGET_MAX, self.tokens + self.share)

    def spend(self) -> bool:
        """Take one token and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class AttemptHistory:
    """What happened so far to one request.

    ``unproven`` counts attempts of which a byte was sent and that the upstream did not explicitly
    refuse: as long as there is one, the request may have run.
    ``is_marked`` tells that the request is part of a call that was itself retried further up.
    """

    __slots__ = ("is_marked", "reconnects", "retries", "unproven")

    def __init__(self, *, is_marked: bool) -> None:
        self.is_marked = is_marked
        self.unproven = 0
        self.reconnects = 0
        self.retries = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run the request."""
        return self.unproven > 0


def may_retry(
    history: AttemptHistory, failure: FailureKind, *, kind: Kind, budget: RetryBudget
) -> bool:
    """Return whether another attempt may be made after ``failure``, spending the budget.

    A refused connection costs upstreams nothing: it has a small bound of its own. A request that
    is part of a retried call gets no retry beyond that, so that retries do not multiply along
    the depth of calls.
    """
    if failure == "refused":
        history.reconnects += 1
        return history.reconnects <= RECONNECTS_MAX_COUNT
    if failure != "shed" and not kind.idempotent:
        return False
    if history.is_marked or history.retries >= kind.retries:
        return False
    if not budget.spend():
        return False
    history.retries += 1
    return True


def may_hedge(history: AttemptHistory, *, kind: Kind, budget: RetryBudget) -> bool:
    """Return whether a second attempt may run beside the first, spending the budget."""
    if not kind.idempotent or kind.hedge_quantile is None or history.is_marked:
        return False
    return budget.spend()
