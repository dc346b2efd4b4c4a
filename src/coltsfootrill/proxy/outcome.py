"""Answers to callers and the outcome that each of them states."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Literal

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.events.catalog import Admission

Outcome = Literal["answered", "not-run", "unknown"]
Header = tuple[str, str]

OUTCOME_HEADER = "Coltsfootrill-Outcome"
REASON_HEADER = "Coltsfootrill-Reason"


class Answer:
    """A whole answer for a caller: status code and phrase, headers and body.

    Follow-ups are what can wait until the answer has been sent.
    """

    __slots__ = ("_follow_ups", "body", "headers", "outcome", "reason", "status")

    def __init__(
        self,
        *,
        status: str,
        headers: list[Header],
        body: bytes,
        outcome: Outcome,
        reason: str = "",
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.outcome = outcome
        self.reason = reason
        self._follow_ups: list[Callable[[], None]] = []

    def add_follow_up(self, follow_up: Callable[[], None]) -> None:
        """Have something done once the answer has been sent, or could not be sent."""
        self._follow_ups.append(follow_up)

    def follow_up(self) -> None:
        """Do what had to wait; called exactly once."""
        for follow_up in self._follow_ups:
            follow_up()
        self._follow_ups.clear()


class ProxyError(ColtsfootrillError):
    """A request ends without an upstream's answer.

    ``status`` is the HTTP status, ``reason`` a short fixed word for scripts and metrics, and
    ``retry_after_s`` a hint for callers that may send the request again.
    """

    outcome: Outcome = "unknown"

    def __init__(
        self, status: str, reason: str, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRunError(ProxyError):
    """The request was certainly not run by any upstream.

    ``admission`` is what was known of the service, where it had no upstream for the request.
    """

    outcome: Outcome = "not-run"

    def __init__(
        self,
        status: str,
        reason: str,
        message: str,
        *,
        retry_after_s: float | None = None,
        admission: Admission | None = None,
    ) -> None:
        super().__init__(status, reason, message, retry_after_s=retry_after_s)
        self.admission = admission


class UnknownOutcomeError(ProxyError):
    """The request may or may not have been run."""

    outcome: Outcome = "unknown"


def make_error_answer(error: ProxyError, *, has_fractions: bool = False) -> Answer:
    """Return the answer that tells a caller of ``error``.

    HTTP knows whole seconds to wait only; ``has_fractions`` is for callers that take parts.
    """
    body = json.dumps(
        {"outcome": error.outcome, "reason": error.reason, "message": str(error)}
    ).encode()
    headers: list[Header] = [("Content-Type", "application/json")]
    if error.retry_after_s is not None:
        wait_s = error.retry_after_s if has_fractions else math.ceil(error.retry_after_s)
        headers.append(("Retry-After", f"{wait_s:.3g}"))
    return Answer(
        status=error.status,
        headers=headers,
        body=body,
        outcome=error.outcome,
        reason=error.reason,
    )
