"""The requirement of an attempt, the grant of another instance, and the claimed slot."""

from __future__ import annotations

import math
from typing import Literal

from coltsfootrill.balancer.load import UpstreamLoad

Result = Literal["answered", "shed", "failed", "misdirected", "abandoned", "straggled"]


class SlotRequirement:
    """Which upstreams a request with a target may use.

    The upstream must be expected to answer within ``within_ms``. With ``is_spare`` it must also
    have no other request, so that late requests and second attempts take no slot from requests
    that can meet their target.
    """

    __slots__ = ("is_spare", "within_ms")

    def __init__(self, *, within_ms: float = math.inf, is_spare: bool = False) -> None:
        self.within_ms = within_ms
        self.is_spare = is_spare


ANY_SLOT = SlotRequirement()


class Grant:
    """The upstream that another instance, the ``dispatcher`` of a service, chose for an attempt.

    ``token`` identifies the attempt in messages to that instance, which listens at ``address``.
    """

    __slots__ = ("address", "dispatcher", "token", "upstream_id")

    def __init__(self, *, dispatcher: str, address: str, token: int, upstream_id: str) -> None:
        self.dispatcher = dispatcher
        self.address = address
        self.token = token
        self.upstream_id = upstream_id


class Claim:
    """An upstream slot held by one attempt; ended exactly once.

    ``pace`` is the upstream's pace and ``occupancy`` the requests known to be there, this one
    included, both at the start. ``report_age_ms`` is the age of the load report at that time.
    ``grant`` is set if another instance chose the upstream. The last three are stated by the
    upstream on its answer: ``stated_per_s`` is the rate of requests that it takes, ``None`` if not
    stated, ``states_leaving`` is true if it is leaving, and ``declined_for_ms`` is for how long it
    wants no other request of this instance.
    """

    __slots__ = (
        "declined_for_ms",
        "grant",
        "kind_id",
        "load",
        "occupancy",
        "pace",
        "report_age_ms",
        "started_ms",
        "stated_per_s",
        "states_leaving",
        "token",
        "typical_ms",
    )

    def __init__(
        self,
        *,
        load: UpstreamLoad,
        token: int,
        kind_id: str,
        started_ms: float,
        typical_ms: float,
        pace: float = 1.0,
        occupancy: float = 1.0,
        report_age_ms: float = 0.0,
    ) -> None:
        self.grant: Grant | None = None
        self.stated_per_s: float | None = None
        self.states_leaving = False
        self.declined_for_ms = 0.0
        self.report_age_ms = report_age_ms
        self.pace = pace
        self.occupancy = occupancy
        self.load = load
        self.token = token
        self.kind_id = kind_id
        self.started_ms = started_ms
        self.typical_ms = typical_ms


def record_stated_rate(claim: Claim, now_ms: float, *, is_success: bool) -> None:
    """Record the rate that the upstream states on the answer to an attempt.

    An answer that is no success lifts no rate: an upstream that fails may leave it out.
    """
    if is_success or claim.stated_per_s is not None:
        claim.load.rate_limit.record_answer(
            claim.stated_per_s, started_ms=claim.started_ms, now_ms=now_ms
        )
