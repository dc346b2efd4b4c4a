"""Keeps the requests to an upstream within the rate that it states, and that of its warm-up.

Both rates are for all instances together. The instance that chooses for the whole fleet has the
whole rate; any other instance has a share of it, for the time in which it has to choose itself.
"""

from __future__ import annotations

from random import Random

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
# Times are whole milliseconds on their way, and a request may arrive a moment after its grant.
COLD_MARGIN_MS = 100.0


class RateLimit:
    """The rate of requests to one upstream, and whether it allows one now.

    ``per_s`` is the rate that the upstream states, ``None`` while it states none. While it is cold,
    ``warm_up_per_s`` binds too, if its service has a warm-up; the lower rate binds. Without either,
    every request is allowed.
    ``share`` is the part of the rate that this instance has. With the whole rate, requests are
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
        "share",
        "warm_up_per_s",
    )

    def __init__(self, *, share: float, random: Random, started_ms: float = float("-inf")) -> None:
        self.per_s: float | None = None
        self.share = share
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

    def set_share(self, share: float, now_ms: float) -> None:
        """Change the share of this instance."""
        if share == self.share:
            return
        self.share = share
        if self._get_per_s(now_ms) is not None:
            self._restart(now_ms)

    def set_warm_up(self, per_s: float | None, now_ms: float) -> None:
        """Set the rate that binds while the upstream is cold; ``None`` for no such limit."""
        if per_s == self.warm_up_per_s:
            return
        before = self._get_per_s(now_ms)
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
        per_s = self._get_per_s(now_ms)
        if per_s is None:
            return True
        if self.share == WHOLE_SHARE:
            return now_ms >= self._next_ms - (BURST_COUNT - 1) * self._get_interval_ms(per_s)
        if now_ms >= self._allowed_until_ms:
            elapsed_ms = min(now_ms - self._checked_ms, UNUSED_MAX_MS)
            self._checked_ms = now_ms
            if self._random.random() * self._get_interval_ms(per_s) >= elapsed_ms:
                return False
            self._allowed_until_ms = now_ms + UNUSED_MAX_MS
        return True

    def record_request(self, now_ms: float) -> None:
        """Record a request that is sent now."""
        per_s = self._get_per_s(now_ms)
        if per_s is not None:
            self._next_ms = max(self._next_ms, now_ms) + self._get_interval_ms(per_s)
            self._allowed_until_ms = float("-inf")

    def get_concurrency(self, latency_ms: float, now_ms: float) -> float:
        """Return how many requests of ``latency_ms`` run at a time at this rate."""
        per_s = self._get_per_s(now_ms)
        if per_s is None:
            return float("inf")
        return latency_ms / self._get_interval_ms(per_s)

    def _get_per_s(self, now_ms: float) -> float | None:
        """Return the rate that binds now, ``None`` if there is none."""
        if self.warm_up_per_s is None or now_ms >= self._cold_until_ms:
            return self.per_s
        return self.warm_up_per_s if self.per_s is None else min(self.per_s, self.warm_up_per_s)

    def _set_cold_until(self, until_ms: float, now_ms: float) -> None:
        before = self._get_per_s(now_ms)
        self._cold_until_ms = until_ms
        self._restart_if_lower(before, now_ms)

    def _record_rate(self, per_s: float, now_ms: float) -> None:
        is_first = self.per_s is None
        self.per_s = max(per_s, RATE_MIN_PER_S)
        self._stated_ms = now_ms
        if is_first:
            self._restart(now_ms)

    def _restart_if_lower(self, before_per_s: float | None, now_ms: float) -> None:
        per_s = self._get_per_s(now_ms)
        if per_s is not None and (before_per_s is None or per_s < before_per_s):
            self._restart(now_ms)

    def _restart(self, now_ms: float) -> None:
        """Forget what was sent before; requests sent until now may already exceed the rate."""
        per_s = self._get_per_s(now_ms)
        assert per_s is not None
        self._next_ms = now_ms + BURST_COUNT * self._get_interval_ms(per_s)
        self._checked_ms = now_ms
        self._allowed_until_ms = float("-inf")

    def _get_interval_ms(self, per_s: float) -> float:
        return MS_PER_SECOND / (per_s * self.share)
