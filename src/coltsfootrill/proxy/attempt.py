"""One attempt of a request at an upstream: in progress, or failed."""

from __future__ import annotations

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.retry import FailureKind
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.outcome import Answer


class AttemptInProgress:
    """One attempt that was sent at ``sent_ms`` and is not answered yet."""

    __slots__ = ("claim", "connection", "sent_ms", "was_idle")

    def __init__(self, claim: Claim, connection: UpstreamConnection, sent_ms: float) -> None:
        self.claim = claim
        self.connection = connection
        self.was_idle = not connection.is_fresh
        self.sent_ms = sent_ms


class AttemptFailure:
    """A failed attempt, with the answer to forward if no retry follows."""

    __slots__ = ("answer", "kind", "message")

    def __init__(self, kind: FailureKind, message: str, answer: Answer | None = None) -> None:
        self.kind = kind
        self.message = message
        self.answer = answer
