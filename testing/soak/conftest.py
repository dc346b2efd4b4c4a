"""A clock that the tests of the soak's checks set."""

from __future__ import annotations

import pytest

from testing.soak import evacuations
from testing.soak import history
from testing.soak import judge


class FakeTime:
    """Replaces ``now_ms`` of the history and the judges."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0

    def __call__(self) -> float:
        return self.now_ms


@pytest.fixture
def time(monkeypatch: pytest.MonkeyPatch) -> FakeTime:
    fake_time = FakeTime()
    for module in (evacuations, history, judge):
        monkeypatch.setattr(module, "now_ms", fake_time)
    return fake_time
