"""The clock used by the whole program, in milliseconds."""

from __future__ import annotations

import time


class Clock:
    """Monotonic and wall time of the machine, in milliseconds."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds; only differences have a meaning."""
        return time.monotonic_ns() / 1e6

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records that people read."""
        return time.time_ns() // 1_000_000

    def sleep_ms(self, duration_ms: float) -> None:
        """Block the calling thread for ``duration_ms``."""
        if duration_ms > 0:
            time.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """A clock that moves only when told to, for replayable decisions."""

    __slots__ = ("_now_ms",)

    def __init__(self, now_ms: float = 0.0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> float:
        """Return the time that was set, in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time that was set, as whole milliseconds."""
        return int(self._now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Advance the clock by ``duration_ms`` instead of blocking."""
        self.advance(duration_ms)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms``."""
        self._now_ms += duration_ms
