from __future__ import annotations

from typing import Any

from coltsfootrill.balancer.retry import AttemptHistory
from coltsfootrill.balancer.retry import RetryBudget
from coltsfootrill.balancer.retry import may_hedge
from coltsfootrill.balancer.retry import may_retry
from coltsfootrill.manifest.model import Kind


def _kind(**changes: Any) -> Kind:
    fields: dict[str, Any] = {
        "id": "k",
        "names": ["path:/x"],
        "idempotent": True,
        "deadline_ms": 1000,
        "retries": 2,
    }
    return Kind(**(fields | changes))


class TestRetries:
    def test_a_non_idempotent_request_is_retried_only_if_it_cannot_have_run(self) -> None:
        kind = _kind(idempotent=False)
        allowed = {
            failure: may_retry(
                AttemptHistory(is_retried=False), failure, kind=kind, budget=RetryBudget(0.1)
            )
            for failure in ("refused", "shed", "failed-answer", "lost")
        }
        assert allowed == {"refused": True, "shed": True, "failed-answer": False, "lost": False}

    def test_retries_stay_within_a_share_of_first_attempts(self) -> None:
        budget = RetryBudget(0.1)
        retried = 0
        for _ in range(1_000):
            budget.earn()
            history = AttemptHistory(is_retried=False)
            retried += may_retry(history, "lost", kind=_kind(), budget=budget)
        assert retried <= 1_000 * 0.1 + 3

    def test_a_request_of_a_retried_call_is_neither_retried_nor_hedged(self) -> None:
        history = AttemptHistory(is_retried=True)
        budget = RetryBudget(1.0)
        assert not may_retry(history, "lost", kind=_kind(), budget=budget)
        assert not may_hedge(history, kind=_kind(hedge_quantile=0.9), budget=budget)

    def test_retries_do_not_multiply_along_a_chain_of_17_calls(self) -> None:
        attempts = 1
        is_retried = False
        for _ in range(17):
            history = AttemptHistory(is_retried=is_retried)
            budget = RetryBudget(1.0)
            while may_retry(history, "lost", kind=_kind(), budget=budget):
                attempts += 1
            is_retried = True
        assert attempts == 1 + 2

    def test_retries_after_refused_connections_are_bounded(self) -> None:
        history = AttemptHistory(is_retried=True)
        budget = RetryBudget(0.0)
        allowed = [
            may_retry(history, "refused", kind=_kind(idempotent=False), budget=budget)
            for _ in range(5)
        ]
        assert allowed == [True, True, True, False, False]
