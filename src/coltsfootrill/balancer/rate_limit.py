"""Keeps the requests to an upstream within the rate that it states, and that of its warm-up.

Both rates are for all instances together. The instance that chooses for the whole fleet has the
whole rate; any other instance has a share of it, for the time in which it has to choose itself.
The instance that chooses next if that one is lost has the whole rate of a warm-up too: the bound of
a warm-up has room for two, and a warm-up is often over when the lost one is no longer listed.
"""

from __future__ import annotations

from random import Random

import msgspec

MS_PER_SECOND = 1_000.0
# Requests that may go to an upstream at once after a pause, as long as they keep to its rate.
BURST_COUNT = 2
# Only answers tell that the rate has changed, so some requests are sent even at a rate of 0.
RATE_MIN_PER_S = 0.25
# The share of all instances together that do not choose for the fleet. What they send comes on top
# of the whole rate, until they all use the same dispatcher again.
FALLBACK_SHARE = 0.25
# How long a request that is allowed with a share may be left unused.
UNUSED_MAX_MS = 1_000.0
WHOLE_SHARE = 1.0
# So many instances, the first in rank, have the whole rate of a warm-up.
WARM_UP_DISPATCHERS_COUNT = 2
# Times are whole milliseconds on their way, and a request may arrive a moment after its grant.
COLD_MARGIN_MS = 100.0


class RateShares(msgspec.Struct, frozen=True):
    """The parts of the rates that upstreams state, and of warm-ups, that an instance has."""

    stated: float = WHOLE_SHARE
    warm_up: float = WHOLE_SHARE


class _OwnRate:
    """The part ``share`` of a rate, and the milliseconds between two requests at it."""

    __slots__ = ("interval_ms", "is_whole")

    def __init__(self, per_s: float, share: float) -> None:
        self.interval_ms = MS_PER_SECOND / (per_s * share)
        self.is_whole = share == WHOLE_SHARE


class RateLimit:
    """The rate of requests to one upstream, and whether it allows one now.

    ``per_s`` is the rate that the upstream states, ``None`` while it states none. While it is cold,
    ``warm_up_per_s`` binds too, if its service has a warm-up; the lower rate binds. Without either,
    every request is allowed.
    ``shares`` are the parts of the rates that this instance has. With a whole rate, requests are
    spaced evenly. With a share of it, which may be less than a request in several seconds, they are
    allowed at random times: instances that begin to choose themselves at the same moment would
    otherwise all have a request left from before. What was stated before ``started_ms`` may be of
    an earlier start of the upstream.
    """

    __slots__ = (
        "_allowed_until_ms",
        "_announced_until_ms",
        "_checked_ms",
        "_cold_stated_ms",
        "_cold_until_ms",
        "_lifted_ms",
        "_next_ms",
        "_random",
        "_started_ms",
        "_stated_ms",
        "per_s",
        "shares",
        "warm_up_per_s",
    )

    def __init__(
        self,
        *,
        random: Random,
        shares: RateShares | None = None,
        started_ms: float = float("-inf"),
    ) -> None:
        self.per_s: float | None = None
        self.shares = shares or RateShares()
        self._random = random
        # With the whole rate: when the next request is due.
        self._next_ms = 0.0
        # With a share: when it was last checked, and until when a request may be sent.
        self._checked_ms = 0.0
        self._allowed_until_ms = float("-inf")
        self._stated_ms = float("-inf")
        self._lifted_ms = float("-inf")
        self.warm_up_per_s: float | None = None
        self._cold_until_ms = float("-inf")
        # When the upstream last stated how long it stays cold, and the latest end it announced.
        self._started_ms = started_ms
        self._cold_stated_ms = float("-inf")
        self._announced_until_ms = float("-inf")

    def set_shares(self, shares: RateShares, now_ms: float) -> None:
        """Change the shares of this instance."""
        has_stated = self.per_s is not None and shares.stated != self.shares.stated
        has_warm_up = self.is_warming_up(now_ms) and shares.warm_up != self.shares.warm_up
        self.shares = shares
        if has_stated or has_warm_up:
            self._restart(now_ms)

    def set_warm_up(self, per_s: float | None, now_ms: float) -> None:
        """Set the rate that binds while the upstream is cold; ``None`` for no such limit."""
        if per_s == self.warm_up_per_s:
            return
        before = self._get_own_rate(now_ms)
        self.warm_up_per_s = per_s
        self._restart_if_lower(before, now_ms)

    def record_announced_cold(self, until_ms: float, now_ms: float) -> None:
        """Record an announcement by which the upstream is cold until ``until_ms``.

        Announcements may arrive late, so one can only lengthen the time.
        """
        if until_ms <= self._announced_until_ms:
            return
        self._announced_until_ms = until_ms
        if until_ms + COLD_MARGIN_MS > self._cold_until_ms:
            self._set_cold_until(until_ms + COLD_MARGIN_MS, now_ms)

    def record_cold(self, remaining_ms: float, *, stated_ms: float, now_ms: float) -> None:
        """Record that at ``stated_ms`` the upstream stated to be cold for ``remaining_ms`` more.

        The latest statement counts; with 0 the upstream is warm. One that may be of an earlier
        start can only lengthen the time.
        """
        if stated_ms < self._cold_stated_ms:
            return
        self._cold_stated_ms = stated_ms
        margin_ms = COLD_MARGIN_MS if remaining_ms > 0 else 0.0
        until_ms = stated_ms + remaining_ms + margin_ms
        if stated_ms < self._started_ms:
            until_ms = max(until_ms, self._cold_until_ms)
        self._set_cold_until(until_ms, now_ms)

    def is_warming_up(self, now_ms: float) -> bool:
        """Return whether the upstream is cold and limited for that."""
        return self.warm_up_per_s is not None and now_ms < self._cold_until_ms

    def record_answer(self, per_s: float | None, *, started_ms: float, now_ms: float) -> None:
        """Record the rate that an answer states; ``None`` lifts the limit.

        An answer to a request that was started before the last statement lifts nothing.
        """
        if per_s is not None:
            self._record_rate(per_s, now_ms)
        elif started_ms > self._stated_ms:
            self.per_s = None
            self._lifted_ms = now_ms

    def record_shared(self, per_s: float, stated_ms: float) -> None:
        """Record a rate that another instance was told at ``stated_ms``."""
        if stated_ms > max(self._stated_ms, self._lifted_ms):
            self._record_rate(per_s, stated_ms)

    def allows_request(self, now_ms: float) -> bool:
        """Return whether a request may be sent now."""
        if self.per_s is None and self.warm_up_per_s is None:
            return True
        own = self._get_own_rate(now_ms)
        if own is None:
            return True
        if own.is_whole:
            return now_ms >= self._next_ms - (BURST_COUNT - 1) * own.interval_ms
        if now_ms >= self._allowed_until_ms:
            elapsed_ms = min(now_ms - self._checked_ms, UNUSED_MAX_MS)
            self._checked_ms = now_ms
            if self._random.random() * own.interval_ms >= elapsed_ms:
                return False
            self._allowed_until_ms = now_ms + UNUSED_MAX_MS
        return True

    def record_request(self, now_ms: float) -> None:
        """Record a request that is sent now."""
        own = self._get_own_rate(now_ms)
        if own is not None:
            self._next_ms = max(self._next_ms, now_ms) + own.interval_ms
            self._allowed_until_ms = float("-inf")

    def get_concurrency(self, latency_ms: float, now_ms: float) -> float:
        """Return how many requests of ``latency_ms`` run at a time at this rate."""
        own = self._get_own_rate(now_ms)
        return float("inf") if own is None else latency_ms / own.interval_ms

    def _get_own_rate(self, now_ms: float) -> _OwnRate | None:
        """Return the rate of this instance that binds now, ``None`` if there is none."""
        stated: _OwnRate | None = None
        if self.per_s is not None:
            stated = _OwnRate(self.per_s, self.shares.stated)
        if self.warm_up_per_s is None or now_ms >= self._cold_until_ms:
            return stated
        warm_up = _OwnRate(self.warm_up_per_s, self.shares.warm_up)
        if stated is None or warm_up.interval_ms > stated.interval_ms:
            return warm_up
        return stated

    def _set_cold_until(self, until_ms: float, now_ms: float) -> None:
        before = self._get_own_rate(now_ms)
        self._cold_until_ms = until_ms
        self._restart_if_lower(before, now_ms)

    def _record_rate(self, per_s: float, now_ms: float) -> None:
        is_first = self.per_s is None
        self.per_s = max(per_s, RATE_MIN_PER_S)
        self._stated_ms = now_ms
        if is_first:
            self._restart(now_ms)

    def _restart_if_lower(self, before: _OwnRate | None, now_ms: float) -> None:
        own = self._get_own_rate(now_ms)
        if own is not None and (before is None or own.interval_ms > before.interval_ms):
            self._restart(now_ms)

    def _restart(self, now_ms: float) -> None:
        """Forget what was sent before; requests sent until now may already exceed the rate."""
        own = self._get_own_rate(now_ms)
        assert own is not None
        self._next_ms = now_ms + BURST_COUNT * own.interval_ms
        self._checked_ms = now_ms
        self._allowed_until_ms = float("-inf")
