"""Polls that wait without a thread, and the rate of their replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.membership.following import FOLLOW
from coltsfootrill.membership.held_polls import REPLY_INTERVAL_MS
from coltsfootrill.membership.held_polls import HeldPolls
from coltsfootrill.membership.held_polls import ReplyPace
from coltsfootrill.membership.hub import BATCH_MS
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.zones.orders import ZoneOrders
from testing.membership.test_hub import announce

FOLLOWERS_COUNT = 40
# The number of nodes that the users expect at most.
FLEET_MAX_COUNT = 1_263
HOLD_MS = 5_000


def make_request(
    number: int, *, position: int = 0, hold_ms: int = HOLD_MS, takes_packed: bool = False
) -> FollowRequest:
    sender = InstanceRecord(f"n{number}", 1, f"10.0.1.{number}:1", "z1", False, 0)
    return FollowRequest(sender, False, False, 1, position, hold_ms, takes_packed)


class Scene:
    """A hub with a manifest version, and the polls that it holds."""

    def __init__(self) -> None:
        self.version = 1
        self.zone_orders = ZoneOrders()
        self.hub = Hub(
            InstanceRecord("h1", 1, "10.0.0.1:1", "z1", False, 0),
            boot=1,
            clock=Clock(),
            share=lambda announcement: True,
            get_manifest_version=lambda: self.version,
            get_zone_orders=lambda: self.zone_orders,
        )
        self.hub.record_majority_read(["h1"])
        self.polls = HeldPolls(self.hub, loop=asyncio.get_running_loop(), random=Random(1))

    async def poll(self, number: int, **changes: Any) -> FollowReply:
        return FOLLOW.decode_reply(await self.polls.answer(make_request(number, **changes)))

    async def hold(self, count: int) -> list[asyncio.Task[FollowReply]]:
        """Let followers learn the state of the hub and poll again; return the held polls."""
        position = 0
        for number in range(count):
            position = (await self.poll(number, hold_ms=0)).position
        held = [
            asyncio.create_task(self.poll(number, position=position)) for number in range(count)
        ]
        while self.polls.waiting_count < count:
            await asyncio.sleep(0)
        return held


def run(play: Callable[[Scene], Any]) -> None:
    async def play_scene() -> None:
        await play(Scene())

    asyncio.run(play_scene())


class TestHeldPolls:
    def test_every_held_poll_hears_of_a_change(self) -> None:
        async def play(scene: Scene) -> None:
            held = await scene.hold(FOLLOWERS_COUNT)
            scene.version = 2
            scene.hub.notify_order_change()
            replies = await asyncio.gather(*held)
            assert {reply.manifest_version for reply in replies} == {2}
            assert scene.polls.waiting_count == 0

        run(play)

    def test_every_held_poll_hears_of_an_order_on_a_zone(self) -> None:
        async def play(scene: Scene) -> None:
            held = await scene.hold(FOLLOWERS_COUNT)
            scene.zone_orders = ZoneOrders(1, {"z1": 1})
            scene.hub.notify_order_change()
            replies = await asyncio.gather(*held)
            assert {reply.zone_orders.number for reply in replies} == {1}

        run(play)

    def test_a_change_from_another_thread_is_heard(self) -> None:
        async def play(scene: Scene) -> None:
            held = await scene.hold(1)
            await asyncio.to_thread(scene.hub.announce, announce("u1"))
            assert (await held[0]).live == ["u1"]

        run(play)

    def test_a_poll_without_a_change_ends_with_its_hold(self) -> None:
        async def play(scene: Scene) -> None:
            position = (await scene.poll(1, hold_ms=0)).position
            reply = await scene.poll(1, position=position, hold_ms=50)
            assert (reply.upstreams, reply.is_whole) == ([], False)

        run(play)

    def test_a_poll_that_its_follower_has_given_up_is_no_longer_held(self) -> None:
        async def play(scene: Scene) -> None:
            held = await scene.hold(1)
            held[0].cancel()
            with pytest.raises(asyncio.CancelledError):
                await held[0]
            assert scene.polls.waiting_count == 0

        run(play)

    # Guards against a fleet that is replaced one by one: earlier versions cannot unpack a reply.
    def test_only_a_follower_that_asks_for_it_gets_a_packed_reply(self) -> None:
        async def play(scene: Scene) -> None:
            for number in range(1, FOLLOWERS_COUNT):
                scene.hub.announce(announce(f"u{number}"))
            plain = await scene.polls.answer(make_request(1))
            packed = await scene.polls.answer(make_request(1, takes_packed=True))
            assert len(packed) < len(plain)
            assert msgspec.msgpack.decode(plain, type=FollowReply) == FOLLOW.decode_reply(packed)

        run(play)


class TestReplyPace:
    """The work of a hub in a second must stay bounded, however many instances follow it."""

    def test_other_calls_are_served_between_two_replies(self) -> None:
        pace = ReplyPace()
        times_ms = [pace.reserve(0, latest_ms=HOLD_MS) for _ in range(FLEET_MAX_COUNT)]
        assert times_ms == [
            BATCH_MS + REPLY_INTERVAL_MS * number for number in range(FLEET_MAX_COUNT)
        ]

    def test_no_reply_is_later_than_its_follower_waits(self) -> None:
        pace = ReplyPace()
        latest_ms = FLEET_MAX_COUNT / 2
        times_ms = [pace.reserve(0, latest_ms=latest_ms) for _ in range(FLEET_MAX_COUNT)]
        assert max(times_ms) == latest_ms

    def test_replies_that_cannot_wait_for_their_turn_delay_no_others(self) -> None:
        pace = ReplyPace()
        for _ in range(FLEET_MAX_COUNT):
            pace.reserve(0, latest_ms=HOLD_MS)
        for _ in range(FLEET_MAX_COUNT):
            pace.reserve(0, latest_ms=HOLD_MS / 10)
        next_ms = pace.reserve(0, latest_ms=HOLD_MS)
        assert next_ms == BATCH_MS + REPLY_INTERVAL_MS * FLEET_MAX_COUNT

    def test_a_change_after_a_pause_is_told_at_once(self) -> None:
        pace = ReplyPace()
        for _ in range(FOLLOWERS_COUNT):
            pace.reserve(0, latest_ms=HOLD_MS)
        assert pace.reserve(HOLD_MS, latest_ms=2 * HOLD_MS) == HOLD_MS + BATCH_MS
