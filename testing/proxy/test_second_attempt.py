from __future__ import annotations

from typing import Any
from typing import cast

from coltsfootrill.manifest.model import Kind
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.request import RequestTimes
from coltsfootrill.proxy.second_attempt import HEDGE_WAIT_FACTOR
from coltsfootrill.proxy.second_attempt import HEDGE_WORK_FACTOR
from coltsfootrill.proxy.second_attempt import SILENCE_FACTOR
from coltsfootrill.proxy.second_attempt import SILENCE_MIN_MS
from coltsfootrill.proxy.second_attempt import get_second_attempt_at_ms
from coltsfootrill.proxy.second_attempt import get_silence_timeout_ms
from coltsfootrill.proxy.second_attempt import get_target_left_ms

ARRIVED_MS = 1_000.0
DEADLINE_MS = 3_000.0
TYPICAL_MS = 100.0


class FakeController:
    """Returns latencies only."""

    def __init__(self, quantile_ms: float | None = None) -> None:
        self._quantile_ms = quantile_ms

    def get_typical_ms(self, kind: Kind) -> float:
        return TYPICAL_MS

    def get_quantile_ms(self, kind: Kind, quantile: float) -> float | None:
        return self._quantile_ms


def _make_times(*, age_ms: float = 0.0) -> RequestTimes:
    return RequestTimes(arrived_ms=ARRIVED_MS, deadline_ms=DEADLINE_MS, age_ms=age_ms)


def _kind(**changes: Any) -> Kind:
    fields: dict[str, Any] = {"id": "k", "names": ["a"], "idempotent": True, "deadline_ms": 2_000}
    return Kind(**(fields | changes))


def _find(
    kind: Kind, *, sent_ms: float, controller: FakeController | None = None, was_idle: bool = False
) -> float:
    return get_second_attempt_at_ms(
        cast(AdmissionController, controller or FakeController()),
        kind,
        _make_times(),
        sent_ms=sent_ms,
        was_idle=was_idle,
    )


class TestSecondAttempt:
    def test_non_idempotent_request_gets_none(self) -> None:
        kind = _kind(idempotent=False, target_ms=400)
        assert _find(kind, sent_ms=ARRIVED_MS, was_idle=True) == DEADLINE_MS

    def test_starts_at_the_last_time_that_meets_the_target(self) -> None:
        at_ms = _find(_kind(target_ms=400), sent_ms=ARRIVED_MS)
        assert at_ms == ARRIVED_MS + 400 - HEDGE_WORK_FACTOR * TYPICAL_MS

    def test_waits_until_most_first_attempts_would_be_answered(self) -> None:
        at_ms = _find(_kind(target_ms=400), sent_ms=ARRIVED_MS + 300)
        assert at_ms == ARRIVED_MS + 300 + HEDGE_WAIT_FACTOR * TYPICAL_MS

    def test_starts_sooner_on_a_previously_idle_connection(self) -> None:
        controller = FakeController(quantile_ms=30.0)
        at_ms = _find(
            _kind(target_ms=1_500), sent_ms=ARRIVED_MS, controller=controller, was_idle=True
        )
        assert at_ms == ARRIVED_MS + SILENCE_FACTOR * 30.0

    def test_starts_only_on_silence_without_target_or_quantile(self) -> None:
        assert _find(_kind(), sent_ms=ARRIVED_MS) == float("inf")


class TestSilence:
    def test_slow_kind_is_not_silent_before_its_latency_is_known(self) -> None:
        controller = cast(AdmissionController, FakeController())
        assert get_silence_timeout_ms(controller, _kind(target_ms=400)) == SILENCE_FACTOR * 400
        assert get_silence_timeout_ms(controller, _kind()) == SILENCE_FACTOR * SILENCE_MIN_MS


class TestTargetLeft:
    def test_time_already_waited_by_the_caller_is_subtracted(self) -> None:
        times = _make_times(age_ms=150.0)
        left_ms = get_target_left_ms(_kind(target_ms=400), times, ARRIVED_MS + 50)
        assert left_ms == 200
