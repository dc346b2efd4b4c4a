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
    "concurrent and repeated submissions": (
        (_submit(1, "a"), _submit(1, "b"), _submit(1, "a")),
        {"restarts": 1},
    ),
    "concurrent submissions and a lost disk": ((_submit(1, "a"), _submit(1, "b")), {"losses": 1}),
    "repeat after a later version": ((_submit(1, "a"), _submit(2, "b"), _submit(1, "a")), {}),
    "lower version": ((_submit(2, "a"), _submit(1, "b"), READ), {}),
    "replacement between submission and read": ((_submit(1, "a"), REPLACE, READ), {}),
    "replacement before submission and read": ((REPLACE, _submit(1, "a"), READ), {}),
    "forgotten keys at the first change": (
        (_submit(1, "a"), READ),
        {"losses": 1, "forgets_keys": True, "learns": True},
    ),
    "forgotten keys after two changes": (
        (_submit(1, "a"), _submit(2, "b"), READ),
        {"losses": 1, "loss_after_round": 1, "forgets_keys": True},
    ),
    "chosen states stored by readers": (
        (_submit(1, "a"), _submit(2, "b"), READ),
        {"learns": True},
    ),
    "lost disk right after a replacement": (
        (_submit(1, "a"), REPLACE, READ),
        {"losses": 1, "loss_after_round": 1},
    ),
}

# For each rule, the case in which leaving it out is detected soonest.
CASE_BY_RULE = {
    "adopt-newest-accepted": "concurrent and repeated submissions",
    "newer-set-must-promise": "replacement before submission and read",
    "key-of-lost-disk-does-not-vote": "concurrent submissions and a lost disk",
    "lower-version-refused": "lower version",
    "only-chosen-keys-are-adopted": "forgotten keys after two changes",
    "unknown-keys-need-all": "forgotten keys at the first change",
    "only-chosen-sets-are-adopted": "replacement between submission and read",
    "majorities-of-both-sets": "replacement between submission and read",
    "majority-accepts": "concurrent and repeated submissions",
    "majority-promises": "concurrent and repeated submissions",
    "promise-blocks-lower-ballots": "concurrent and repeated submissions",
    "promise-is-durable": "concurrent and repeated submissions",
    "repeats-are-found-in-history": "repeat after a later version",
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
