"""The margin of slots that is left for requests that load reports do not show yet."""

from __future__ import annotations

from coltsfootrill.balancer.load import LoadReport

# Requests that other instances start become visible only with the next report. Spare capacity is
# therefore what remains beyond a margin of slots, which grows while more than one report in five
# shows requests waiting.
MARGIN_STEP_UP = 0.02
MARGIN_STEP_DOWN = 0.005


class SlotMargin:
    """A number of slots, between none and all of an upstream's, that follows the load reports."""

    __slots__ = ("slots",)

    def __init__(self) -> None:
        self.slots = 0.0

    def update(self, report: LoadReport) -> None:
        """Raise the margin if the upstream has requests waiting, otherwise lower it."""
        if report.in_flight > report.slots:
            self.slots = min(float(report.slots), self.slots + MARGIN_STEP_UP)
        else:
            self.slots = max(0.0, self.slots - MARGIN_STEP_DOWN)
