"""Errors of the quotas."""

from __future__ import annotations

from coltsfootrill.errors import ColtsfootrillError


class QuotaExceededError(ColtsfootrillError):
    """Raised when there is no token for a request; one is expected after ``retry_after_ms``."""

    def __init__(self, message: str, *, retry_after_ms: float) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms
