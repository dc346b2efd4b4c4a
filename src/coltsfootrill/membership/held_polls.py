"""Long polls of followers, held without a thread each and answered at a bounded rate."""

from __future__ import annotations

import asyncio
from random import Random

from coltsfootrill.membership.hub import BATCH_MS
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.hub import limit_hold_ms
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.rpc import pack_if_taken

MS_PER_SECOND = 1_000.0
# Bounds the replies to followers in a second, however many follow. Between two replies the event
# loop serves the calls of other replicas.
REPLY_INTERVAL_MS = 1.0
# A reply comes no later than this after the hold: the follower's call times out soon after it.
LATE_MAX_MS = 400.0


class ReplyPace:
    """Times of the replies to followers, ``REPLY_INTERVAL_MS`` apart."""

    __slots__ = ("_next_ms",)

    def __init__(self) -> None:
        self._next_ms = 0.0

    def reserve(self, now_ms: float, *, latest_ms: float) -> float:
        """Return when the next reply may be made, and reserve that time.

        A reply whose turn would come after ``latest_ms`` is made then, and has no turn.
        """
        earliest_ms = now_ms + BATCH_MS
        if self._next_ms > latest_ms:
            return max(earliest_ms, latest_ms)
        at_ms = max(earliest_ms, self._next_ms)
        self._next_ms = at_ms + REPLY_INTERVAL_MS
        return at_ms


class HeldPolls:
    """Answers the polls of a hub on one event loop, in a random order after each change.

    With a random order, a follower of several hubs hears of a change from one of them early.
    """

    def __init__(self, hub: Hub, *, loop: asyncio.AbstractEventLoop, random: Random) -> None:
        self._hub = hub
        self._loop = loop
        self._random = random
        self._waiting: set[asyncio.Future[None]] = set()
        self._is_wake_due = False
        self._pace = ReplyPace()
        hub.add_listener(self._request_wake)

    @property
    def waiting_count(self) -> int:
        """Return the number of polls that wait for a change."""
        return len(self._waiting)

    async def answer(self, request: FollowRequest) -> bytes:
        """Return the encoded changes for a follower, held until a change or the timeout."""
        position = self._hub.begin_poll(request)
        end_ms = self._now_ms() + limit_hold_ms(request)
        while not self._hub.has_changes(position) and self._now_ms() < end_ms:
            await self._wait(end_ms)
        if self._hub.has_changes(position):
            await self._wait_for_turn(request, end_ms)
        raw = self._hub.encode_reply(position, is_for_hub=request.is_hub)
        return pack_if_taken(request, raw)

    async def _wait(self, end_ms: float) -> None:
        """Wait for a change, until ``end_ms`` at most."""
        woken: asyncio.Future[None] = self._loop.create_future()
        timer = self._loop.call_at(end_ms / MS_PER_SECOND, _wake, woken)
        self._waiting.add(woken)
        try:
            await woken
        finally:
            self._waiting.discard(woken)
            timer.cancel()

    async def _wait_for_turn(self, request: FollowRequest, end_ms: float) -> None:
        """Wait until a reply with changes may be made; other hubs do not wait for followers."""
        now_ms = self._now_ms()
        at_ms = now_ms + BATCH_MS
        if not request.is_hub:
            at_ms = self._pace.reserve(now_ms, latest_ms=end_ms + LATE_MAX_MS)
        await asyncio.sleep((at_ms - now_ms) / MS_PER_SECOND)

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_SECOND

    def _request_wake(self) -> None:
        """Wake the waiting polls on the event loop; thread-safe, called once for each change."""
        if not self._is_wake_due:
            self._is_wake_due = True
            self._loop.call_soon_threadsafe(self._wake_all)

    def _wake_all(self) -> None:
        self._is_wake_due = False
        waiting = sorted(self._waiting, key=lambda woken: self._random.random())
        for woken in waiting:
            _wake(woken)


def _wake(woken: asyncio.Future[None]) -> None:
    if not woken.done():
        woken.set_result(None)
