"""One question for tokens of one organisation: whom to ask, when to repeat, when to give up."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.relay_topology import rank
from coltsfootrill.quotas.messages import Denied

# Datagrams can be lost, so a question without an answer is sent once more.
SENDS_MAX_COUNT = 2
DECIDERS_TRIED_MAX_COUNT = 2


class Exchange:
    """A question that is in progress; ``number`` changes with each decider that is asked.

    ``denial`` is the refusal of a decider while another one may have tokens. ``is_ahead`` means
    that no request waited for a token when it began.
    """

    __slots__ = (
        "asked_ms",
        "decider",
        "denial",
        "is_ahead",
        "number",
        "sends",
        "tried",
        "until_ms",
        "wanted",
    )

    def __init__(self, *, now_ms: float, wanted: int, is_ahead: bool) -> None:
        self.is_ahead = is_ahead
        self.asked_ms = now_ms
        self.until_ms = now_ms
        self.wanted = wanted
        self.decider: InstanceRecord | None = None
        self.denial: Denied | None = None
        self.number = 0
        self.sends = 0
        self.tried: set[str] = set()

    def ask(self, decider: InstanceRecord, number: int, now_ms: float) -> None:
        """Ask another decider."""
        self.decider = decider
        self.number = number
        self.tried.add(decider.id)
        self.sends = 0
        self.asked_ms = now_ms

    def leave_decider(self, now_ms: float) -> None:
        """Give up the decider, so that the next one is asked at once."""
        self.decider = None
        self.until_ms = now_ms

    def record_send(self, until_ms: float) -> None:
        """Record that the question was sent, and until when to wait for its answer."""
        self.sends += 1
        self.until_ms = until_ms

    def may_repeat(self) -> bool:
        """Return whether to send the question to the same decider again."""
        return self.decider is not None and self.sends < SENDS_MAX_COUNT


def choose_decider(
    own: InstanceRecord,
    organisation: str,
    deciders: Sequence[InstanceRecord],
    *,
    tried: set[str],
    is_skipped: Callable[[InstanceRecord], bool],
) -> InstanceRecord | None:
    """Return the next decider to ask, ``None`` if enough of them were asked.

    Those of the own zone come first, those that are to be skipped last.
    """
    if len(tried) >= DECIDERS_TRIED_MAX_COUNT:
        return None
    left = [record for record in deciders if record.id not in tried]
    return min(
        left,
        key=lambda record: (
            is_skipped(record),
            record.zone != own.zone,
            rank(f"{organisation}/{own.id}", record.id),
        ),
        default=None,
    )
