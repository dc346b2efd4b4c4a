"""A clock that runs, and that a test can move forward."""

from __future__ import annotations

from coltsfootrill.clock import Clock


class ShiftedClock(Clock):
    """The system clock, which a test can move forward."""

    __slots__ = ("_shift_ms",)

    def __init__(self) -> None:
        self._shift_ms = 0.0

    def now_ms(self) -> float:
        return super().now_ms() + self._shift_ms

    def shift(self, duration_ms: float) -> None:
        self._shift_ms += duration_ms
