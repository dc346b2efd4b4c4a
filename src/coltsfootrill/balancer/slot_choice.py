"""The choice of an upstream with a free slot, in the zone of the sender if possible."""

from __future__ import annotations

from coltsfootrill.balancer.choice import ChoiceContext
from coltsfootrill.balancer.choice import ChoicePolicy
from coltsfootrill.balancer.claim import SlotRequirement
from coltsfootrill.balancer.load import UpstreamLoad
from coltsfootrill.balancer.occupancy import SaturationEstimate
from coltsfootrill.balancer.occupancy import count_known
from coltsfootrill.balancer.slot_margin import SlotMargin

REPORT_HALF_LIFE_MS = 300.0
# A request counted in a report may have ended since then.
SLOT_TOLERANCE = 0.25
# With fewer upstreams in a zone, a burst there would fill them while others are idle.
NEAR_MIN_COUNT = 8


class SlotChoice:
    """Applies ``policy`` to the upstreams that suit a request.

    ``saturation`` and ``margin`` are those of the service, which its owner updates.
    """

    __slots__ = ("_margin", "_policy", "_saturation")

    def __init__(
        self, policy: ChoicePolicy, *, saturation: SaturationEstimate, margin: SlotMargin
    ) -> None:
        self._policy = policy
        self._saturation = saturation
        self._margin = margin

    def choose(
        self,
        loads: list[UpstreamLoad],
        context: ChoiceContext,
        requirement: SlotRequirement | None,
    ) -> UpstreamLoad | None:
        """Return the best of ``loads``, or ``None`` if none meets ``requirement``."""
        near = self._choose_near(loads, context, requirement)
        if near is not None:
            return near
        suitable = self._list_suitable(loads, context, requirement)
        return self._policy.choose(suitable, context) if suitable else None

    def has_free_slot(self, load: UpstreamLoad, now_ms: float, *, is_spare: bool) -> bool:
        """Return whether an upstream has a free slot; with ``is_spare``, beyond the margin."""
        known = count_known(load, now_ms, half_life_ms=REPORT_HALF_LIFE_MS)
        if is_spare:
            return known + self._margin.slots < 1 - SLOT_TOLERANCE
        return known < self._saturation.get_cap(load.slots) - SLOT_TOLERANCE

    def _choose_near(
        self,
        loads: list[UpstreamLoad],
        context: ChoiceContext,
        requirement: SlotRequirement | None,
    ) -> UpstreamLoad | None:
        """Choose in the zone of the origin, if many upstreams there share the load."""
        if self._policy.choose_near is None:
            return None
        near = [load for load in loads if load.zone == context.origin.zone]
        if not NEAR_MIN_COUNT <= len(near) < len(loads):
            return None
        suitable = self._list_suitable(near, context, requirement)
        return self._policy.choose_near(suitable, context) if suitable else None

    def _list_suitable(
        self,
        loads: list[UpstreamLoad],
        context: ChoiceContext,
        requirement: SlotRequirement | None,
    ) -> list[UpstreamLoad]:
        """Return the upstreams with a free slot that are expected to answer in time.

        Without ``requirement``, all of them are suitable.
        """
        expect = self._policy.expect
        if expect is None or requirement is None:
            return loads
        suitable: list[UpstreamLoad] = []
        for load in loads:
            has_free_slot = self.has_free_slot(load, context.now_ms, is_spare=requirement.is_spare)
            if has_free_slot and expect(load, context) <= requirement.within_ms:
                suitable.append(load)
        return suitable
