"""The tokens that one decider has for one organisation."""

from __future__ import annotations

import math

from coltsfootrill.quotas.limits import BucketLimit

# A bucket that was to hold a whole token at a promised time may lack this much of it.
ROUNDING_ERROR = 1e-6
AHEAD_SHARE = 0.25


class TokenBucket:
    """Gains tokens at a rate up to a capacity, from none at ``created_ms``. Not thread-safe."""

    __slots__ = ("_filled_ms", "_level", "_promised_ms", "limit")

    def __init__(self, limit: BucketLimit, *, created_ms: float) -> None:
        self.limit = limit
        self._level = 0.0
        self._filled_ms = created_ms
        # Until when the tokens to come are promised to those who were refused.
        self._promised_ms = created_ms

    def set_limit(self, limit: BucketLimit, now_ms: float) -> None:
        """Change the limits; a lower capacity applies at once."""
        self._fill(now_ms)
        self.limit = limit
        self._level = min(self._level, limit.capacity)

    def get_level(self, now_ms: float) -> float:
        """Return the number of tokens in the bucket."""
        self._fill(now_ms)
        return self._level

    def take(self, needed: int, wanted: int, now_ms: float) -> int:
        """Take tokens and return how many.

        ``needed`` are for requests that wait. Of what is left after these, only a part is given
        for requests to come, since it may stay unused.
        """
        self._fill(now_ms)
        level = int(self._level + ROUNDING_ERROR)
        count = min(needed, level)
        count += min(wanted - needed, int(AHEAD_SHARE * (level - count)))
        self._level = max(0.0, self._level - count)
        return count

    def add(self, count: int, now_ms: float) -> None:
        """Add tokens that another decider handed over, up to the capacity."""
        self._fill(now_ms)
        self._level = min(self.limit.capacity, self._level + count)
        if self.limit.rate_per_ms > 0:
            self._promised_ms -= count / self.limit.rate_per_ms

    def promise(self, now_ms: float) -> float:
        """Return in how many milliseconds there may be a token for an instance that got too few.

        Each instance gets a later time than the one before, so that they don't all return at once.
        """
        self._fill(now_ms)
        if self.limit.rate_per_ms <= 0:
            return math.inf
        missing_ms = max(0.0, 1.0 - self._level) / self.limit.rate_per_ms
        first_ms = max(self._promised_ms, now_ms + missing_ms)
        self._promised_ms = first_ms + 1 / self.limit.rate_per_ms
        return first_ms - now_ms

    def _fill(self, now_ms: float) -> None:
        gained = max(0.0, now_ms - self._filled_ms) * self.limit.rate_per_ms
        self._level = min(self.limit.capacity, self._level + gained)
        self._filled_ms = max(self._filled_ms, now_ms)
