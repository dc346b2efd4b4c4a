"""What an attempt asks for, and the upstream that it got."""

from __future__ import annotations

import math
from typing import Literal

from coltsfootrill.balancer.load import UpstreamLoad

Result = Literal["answered", "shed", "failed", "misdirected", "abandoned", "straggled"]


class SlotRequirement:
    """Where a request with a target may go.

    An answer must be expected within ``within_ms``. With ``is_spare`` only upstreams without any
    other request will do, so that late requests and second attempts take nothing from those that
    can meet their target.
    """

    __slots__ = ("is_spare", "within_ms")

    def __init__(self, *, within_ms: float = math.inf, is_spare: bool = False) -> None:
        self.within_ms = within_ms
        self.is_spare = is_spare


ANY_SLOT = SlotRequirement()


class Grant:
    """What another instance, the ``dispatcher`` of a service, has chosen for one attempt.

    ``token`` names the attempt in messages to that instance, which listens at ``address``.
    """

    __slots__ = ("address", "dispatcher", "token", "upstream_id")

    def __init__(self, *, dispatcher: str, address: str, token: int, upstream_id: str) -> None:
        self.dispatcher = dispatcher
        self.address = address
        self.token = token
        self.upstream_id = upstream_id


class Claim:
    """One request in flight at one upstream; ended exactly once.

    ``grant`` is set where another instance chose the upstream.
    """

    __slots__ = (
        "grant",
        "kind_id",
        "load",
        "occupancy",
        "pace",
        "report_age_ms",
        "started_ms",
        "token",
        "usual_ms",
    )

    def __init__(
        self,
        *,
        load: UpstreamLoad,
        token: int,
        kind_id: str,
        started_ms: float,
        usual_ms: float,
        pace: float = 1.0,
        occupancy: float = 1.0,
        report_age_ms: float = 0.0,
    ) -> None:
        self.grant: Grant | None = None
        self.report_age_ms = report_age_ms
        self.pace = pace
        self.occupancy = occupancy
        self.load = load
        self.token = token
        self.kind_id = kind_id
        self.started_ms = started_ms
        self.usual_ms = usual_ms
