"""Counts of answers that arrive on a connection to an upstream and that no request waits for."""

from __future__ import annotations

from typing import Literal

# ``other-request`` and ``nameless`` answers were skipped: they name another request, or none.
# ``surplus`` arrived together with a complete answer, behind it; ``idle`` between two requests.
UnsolicitedCause = Literal["other-request", "nameless", "surplus", "idle"]
CountByCause = dict[UnsolicitedCause, int]


def count_skipped(count_by_cause: CountByCause) -> int:
    """Return how many answers were skipped because they do not name the request."""
    return count_by_cause.get("other-request", 0) + count_by_cause.get("nameless", 0)
