"""The tokens of one organisation that an instance holds, and when it asks for more."""

from __future__ import annotations

import math
from collections import deque

from coltsfootrill.quotas.messages import Denied
from coltsfootrill.quotas.messages import Granted

MS_PER_SECOND = 1_000.0
# The demand of an instance is averaged over this time.
DEMAND_WINDOW_MS = 1_000.0
# Tokens are asked for ahead of the requests of this part of their validity.
AHEAD_SHARE = 0.5
# An instance that asks ahead does so while it holds less than this share of what it wants.
REFILL_SHARE = 0.5
WANTED_MAX_COUNT = 1_000
# What a refused caller is told at most.
RETRY_AFTER_MAX_MS = 5_000.0


class Token:
    """The permission to send one request to an upstream until ``expires_ms``."""

    __slots__ = ("expires_ms",)

    def __init__(self, expires_ms: float) -> None:
        self.expires_ms = expires_ms

    def is_valid(self, now_ms: float) -> bool:
        """Return whether a request may still be sent with it."""
        return now_ms < self.expires_ms


class _Demand:
    """The requests a millisecond of one organisation, as an exponentially weighted average."""

    __slots__ = ("_counted_ms", "_per_ms")

    def __init__(self) -> None:
        self._per_ms = 0.0
        self._counted_ms = float("-inf")

    def add(self, now_ms: float) -> None:
        """Count one request."""
        self._per_ms = self.get_per_ms(now_ms) + 1 / DEMAND_WINDOW_MS
        self._counted_ms = now_ms

    def get_per_ms(self, now_ms: float) -> float:
        """Return the average as of now."""
        return self._per_ms * math.exp((self._counted_ms - now_ms) / DEMAND_WINDOW_MS)


class Holding:
    """Tokens in hand, and how long a refusal by a decider holds. Not thread-safe."""

    __slots__ = (
        "_demand",
        "_denied_until_ms",
        "_interval_ms",
        "_refused_count",
        "_tokens",
        "_valid_ms",
    )

    def __init__(self) -> None:
        # Ordered by the time at which they expire.
        self._tokens: deque[Token] = deque()
        self._demand = _Demand()
        self._valid_ms = 0.0
        self._denied_until_ms = float("-inf")
        self._interval_ms = 0.0
        self._refused_count = 0

    def add_demand(self, now_ms: float) -> None:
        """Record that a request needs a token."""
        self._demand.add(now_ms)

    def get_demand_per_s(self, now_ms: float) -> float:
        """Return how many requests a second have needed a token in the last second or so."""
        return self._demand.get_per_ms(now_ms) * MS_PER_SECOND

    def take(self, now_ms: float) -> Token | None:
        """Return a token that is in hand, ``None`` if there is none."""
        tokens = self._tokens
        while tokens and not tokens[0].is_valid(now_ms):
            tokens.popleft()
        return tokens.popleft() if tokens else None

    def give_back(self, token: Token) -> None:
        """Take back the token of a request that no upstream ran; it expires as before."""
        self._tokens.appendleft(token)

    def apply_grant(self, granted: Granted, *, asked_ms: float, now_ms: float) -> None:
        """Add the tokens of a grant that was asked for at ``asked_ms``."""
        self._valid_ms = granted.valid_ms
        self._deny(granted.wait_ms, granted.interval_ms, now_ms)
        expires_ms = asked_ms + granted.valid_ms
        self._tokens.extend(Token(expires_ms) for _ in range(granted.count))

    def apply_denial(self, denied: Denied, now_ms: float) -> None:
        """Refuse requests without asking until the decider expects to have a token."""
        self._deny(denied.wait_ms, denied.interval_ms, now_ms)

    def refuse_for(self, wait_ms: float, now_ms: float) -> None:
        """Refuse requests without asking for some time, since no decider could be asked."""
        self._deny(wait_ms, 0.0, now_ms)

    def is_denied(self, now_ms: float) -> bool:
        """Return whether a decider has refused a token and is not to be asked again yet."""
        return now_ms < self._denied_until_ms

    def get_retry_after_ms(self, now_ms: float) -> float:
        """Return after what time a request that is refused now may find a token.

        Each refused one gets a later time than the one before.
        """
        wait_ms = max(0.0, self._denied_until_ms - now_ms)
        wait_ms += self._refused_count * self._interval_ms
        self._refused_count += 1
        return min(wait_ms, RETRY_AFTER_MAX_MS)

    def get_wanted(self, needed: int, now_ms: float) -> int:
        """Return how many tokens to ask for while ``needed`` requests wait for one."""
        return min(needed + self._get_ahead(now_ms), WANTED_MAX_COUNT)

    def should_refill(self, now_ms: float) -> bool:
        """Return whether to ask for tokens ahead, before a request has to wait for one."""
        ahead = self._get_ahead(now_ms)
        return len(self._tokens) < REFILL_SHARE * ahead and not self.is_denied(now_ms)

    def _deny(self, wait_ms: float, interval_ms: float, now_ms: float) -> None:
        self._denied_until_ms = now_ms + wait_ms
        self._interval_ms = interval_ms
        self._refused_count = 0

    def _get_ahead(self, now_ms: float) -> int:
        return int(self._demand.get_per_ms(now_ms) * self._valid_ms * AHEAD_SHARE)
