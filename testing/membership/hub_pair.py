"""A hub and the view of an instance that follows it, and announcements of upstreams."""

from __future__ import annotations

import msgspec

from coltsfootrill.clock import ManualClock
from coltsfootrill.membership.hub import SETTLED_AFTER_MS
from coltsfootrill.membership.hub import Hub
from coltsfootrill.membership.messages import DepartureRequest
from coltsfootrill.membership.messages import FollowReply
from coltsfootrill.membership.messages import FollowRequest
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import SuspectEntry
from coltsfootrill.membership.snapshot import UpstreamSnapshot
from coltsfootrill.membership.view import HubView
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.zones.orders import ZoneOrders


class Pair:
    """A hub, and the view of an instance that follows it, on one clock."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000_000)
        self.shared: list[Announcement | DepartureRequest] = []
        self.is_shared = True
        self.snapshot: UpstreamSnapshot | None = None
        self.refused: list[SuspectEntry] = []
        self.zone_orders = ZoneOrders()
        self.hub = self.make_hub(boot=1)
        self.view = HubView(clock=self.clock)
        self.hub.record_majority_read(["a", "b", "c"])

    def make_hub(self, *, boot: int) -> Hub:
        return Hub(
            InstanceRecord("h1", boot, "10.0.0.1:1", "z1", False, 0),
            boot=boot,
            clock=self.clock,
            share=self.share,
            get_manifest_version=lambda: 3,
            snapshot=self.snapshot,
            list_refused=lambda: self.refused,
            get_zone_orders=lambda: self.zone_orders,
        )

    def share(self, departure: Announcement | DepartureRequest) -> bool:
        self.shared.append(departure)
        return self.is_shared

    def follow(self, *, position: int = 0, boot: int = 0) -> FollowReply:
        sender = InstanceRecord("n1", 1, "10.0.0.9:1", "z1", False, 0)
        request = FollowRequest(sender, True, False, boot, position, 0)
        reply = self.hub.answer(request)
        self.view.apply("h1", reply)
        return reply

    def settle(self) -> None:
        self.clock.advance(SETTLED_AFTER_MS + 1)
        self.hub.record_majority_read(["a", "b", "c"])

    def list_usable(self) -> list[str]:
        return [record.announcement.id for record in self.view.list_usable()]


def announce(upstream_id: str = "u1", **changes: object) -> Announcement:
    default = Announcement(
        id=upstream_id,
        incarnation=1,
        sequence=1,
        address=f"10.1.0.1:{int(upstream_id[1:]) + 80}",
        zone="z1",
        services=["work"],
        slots=3,
        state="serving",
    )
    return msgspec.structs.replace(default, **changes)
