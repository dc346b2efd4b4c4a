"""Clocks in milliseconds: the system clock, and one that is set by hand for tests and replays."""

from __future__ import annotations

import time


class Clock:
    """Monotonic and wall time of the operating system, in milliseconds."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds; only differences are meaningful."""
        return time.monotonic_ns() / 1e6

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for logs and audit records."""
        return time.time_ns() // 1_000_000

    def sleep_ms(self, duration_ms: float) -> None:
        """Block the calling thread for ``duration_ms``."""
        if duration_ms > 0:
            time.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """A clock that only moves when it is advanced, so that decisions can be reproduced."""

    __slots__ = ("_now_ms",)

    def __init__(self, now_ms: float = 0.0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> float:
        """Return the current manual time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current manual time in whole milliseconds."""
        return int(self._now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Advance the clock by ``duration_ms`` instead of blocking."""
        self.advance(duration_ms)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms``."""
        self._now_ms += duration_ms
