from __future__ import annotations

from typing import Any

import pytest
from minicheck import check_safety

from testing.control.register_model import RULES
from testing.control.register_model import Operation
from testing.control.register_model import make_model

STATES_MAX_COUNT = 1_000_000

REPLACE = Operation("replace_replica")
READ = Operation("read")


def _submit(version: int, content: str) -> Operation:
    return Operation("submit_manifest", version, content)


CASES: dict[str, tuple[tuple[Operation, ...], dict[str, int]]] = {
    "race and resend": ((_submit(1, "a"), _submit(1, "b"), _submit(1, "a")), {"restarts": 1}),
    "race and a lost disk": ((_submit(1, "a"), _submit(1, "b")), {"losses": 1}),
    "resend after a later version": ((_submit(1, "a"), _submit(2, "b"), _submit(1, "a")), {}),
    "lower version": ((_submit(2, "a"), _submit(1, "b"), READ), {}),
    "repair between submit and read": ((_submit(1, "a"), REPLACE, READ), {}),
    "repair before submit and read": ((REPLACE, _submit(1, "a"), READ), {}),
    "second loss right after a repair": (
        (_submit(1, "a"), REPLACE, READ),
        {"losses": 1, "loss_after_round": 1},
    ),
}

# For each rule, the case in which leaving it out is detected soonest.
CASE_BY_RULE = {
    "adopt-newest-accepted": "race and resend",
    "newer-set-must-promise": "repair before submit and read",
    "key-of-lost-disk-does-not-vote": "race and a lost disk",
    "lower-version-refused": "lower version",
    "only-chosen-sets-are-adopted": "repair between submit and read",
    "majorities-of-both-sets": "repair between submit and read",
    "majority-accepts": "race and resend",
    "majority-promises": "race and resend",
    "promise-blocks-lower-ballots": "race and resend",
    "promise-is-durable": "race and resend",
    "repeats-are-found-in-history": "resend after a later version",
}


def _check(name: str, **options: Any) -> dict[str, bool | None]:
    operations, extra = CASES[name]
    result = check_safety(make_model(operations, **extra, **options), max_states=STATES_MAX_COUNT)
    return {label: found["holds"] for label, found in result["properties"].items()}


class TestRegisterModel:
    @pytest.mark.parametrize("name", CASES)
    def test_every_reachable_state_is_safe(self, name: str) -> None:
        assert set(_check(name).values()) == {True}

    @pytest.mark.parametrize("rule", sorted(RULES))
    def test_missing_rule_is_detected(self, rule: str) -> None:
        assert False in _check(CASE_BY_RULE[rule], disabled_rule=rule).values()
