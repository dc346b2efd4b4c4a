from __future__ import annotations

import asyncio
from typing import Any

from coltsfootrill.replay.fake_upstream import FakeFleet
from coltsfootrill.replay.fake_upstream import FakeUpstream


class RecordingFleet(FakeFleet):
    """Records the announced states; the state changes while the first announcement is sent."""

    def __init__(self, upstream: FakeUpstream) -> None:
        super().__init__([upstream], announce_to=["127.0.0.1:9"], token="t", seed=1)
        self.states: list[str] = []

    async def _announce(self, upstream: FakeUpstream) -> bool:
        announcement: dict[str, Any] = upstream.make_announcement()
        if not self.states:
            upstream.set_behaviour("leave", 1.0)
        self.states.append(announcement["state"])
        return True


class TestAnnouncements:
    def test_leaving_is_announced_after_an_announcement_already_being_sent(self) -> None:
        upstream = FakeUpstream("u1", "work", zone="z1", port=9, work_ms=1, seed=1)
        recorder = RecordingFleet(upstream)

        async def announce() -> None:
            async with asyncio.timeout(5):
                await recorder._announce_periodically(upstream)

        asyncio.run(announce())
        assert recorder.states == ["serving", "leaving"]
