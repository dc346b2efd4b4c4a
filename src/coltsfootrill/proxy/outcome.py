"""Answers to callers, and the outcome that each answer states."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from email.utils import formatdate
from typing import Literal

from absl import logging

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.events.catalog import Admission

Outcome = Literal["answered", "not-run", "unknown"]
Header = tuple[str, str]

OUTCOME_HEADER = "Coltsfootrill-Outcome"
REASON_HEADER = "Coltsfootrill-Reason"


class Answer:
    """A complete answer for a caller: status code and phrase, headers and body.

    Work that need not delay the answer runs in callbacks after it has been sent.
    """

    __slots__ = ("_sent_callbacks", "body", "headers", "outcome", "reason", "status")

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
        self._sent_callbacks: list[Callable[[], None]] = []

    def add_sent_callback(self, callback: Callable[[], None]) -> None:
        """Register a callback that runs once the answer is sent, has failed, or has to wait."""
        self._sent_callbacks.append(callback)

    def run_sent_callbacks(self) -> None:
        """Run the callbacks that are registered and have not run.

        One that fails is logged: neither this answer nor later requests of its connection, nor the
        other callbacks, may be lost for it.
        """
        callbacks, self._sent_callbacks = self._sent_callbacks, []
        for callback in callbacks:
            try:
                callback()
            except Exception:
                logging.exception("work after an answer failed; this is a bug in coltsfootrill")


class ProxyError(ColtsfootrillError):
    """Raised when a request ends without an answer from an upstream.

    ``status`` is the HTTP status, ``reason`` a short fixed identifier for scripts and metrics, and
    ``retry_after_s`` a hint for callers that may send the request again.
    """

    outcome: Outcome = "unknown"
    # What HTTP asks for beside the status.
    headers: tuple[Header, ...] = ()

    def __init__(
        self, status: str, reason: str, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRunError(ProxyError):
    """Raised when it is certain that no upstream ran the request.

    ``admission`` describes the state of the service if it had no upstream for the request.
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


class UnauthorizedError(NotRunError):
    """Raised when a request does not carry the key of an organisation."""

    headers = (("WWW-Authenticate", "Bearer"),)

    def __init__(self, reason: str, message: str) -> None:
        super().__init__("401 Unauthorized", reason, message)


class UnknownOutcomeError(ProxyError):
    """Raised when an upstream may or may not have run the request."""

    outcome: Outcome = "unknown"


def make_error_answer(error: ProxyError, *, has_fractional_retry_after: bool = False) -> Answer:
    """Return the answer that reports ``error`` to the caller.

    HTTP allows only whole seconds in ``Retry-After``, so the value is rounded up unless
    ``has_fractional_retry_after`` states that callers accept fractions.
    """
    body = json.dumps(
        {"outcome": error.outcome, "reason": error.reason, "message": str(error)}
    ).encode()
    headers: list[Header] = [("Content-Type", "application/json"), *error.headers]
    if error.retry_after_s is not None:
        wait_s = (
            error.retry_after_s if has_fractional_retry_after else math.ceil(error.retry_after_s)
        )
        headers.append(("Retry-After", f"{wait_s:.3g}"))
    return Answer(
        status=error.status,
        headers=headers,
        body=body,
        outcome=error.outcome,
        reason=error.reason,
    )


def encode_answer(answer: Answer, method: str, *, is_closing: bool) -> bytes:
    """Return an answer as bytes for the caller, head and body together."""
    lines = [f"HTTP/1.1 {answer.status}"]
    lines.extend(f"{name}: {value}" for name, value in answer.headers)
    lines.append(f"{OUTCOME_HEADER}: {answer.outcome}")
    if answer.reason:
        lines.append(f"{REASON_HEADER}: {answer.reason}")
    if not any(name.lower() == "date" for name, _ in answer.headers):
        lines.append(f"Date: {formatdate(usegmt=True)}")
    if is_closing:
        lines.append("Connection: close")
    has_length = not answer.status.startswith(("204", "304"))
    if has_length and method != "HEAD":
        lines.append(f"Content-Length: {len(answer.body)}")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + answer.body if has_length and method != "HEAD" else head
