"""Checks and records whether upstreams crash when they run one request."""

from __future__ import annotations

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.request import ProxyRequest

REFUSED_RETRY_AFTER_S = 60.0


class RequestGuard:
    """The view of ``CrashGuard`` on one request, whose digest is computed only when needed."""

    __slots__ = ("_guard", "_request")

    def __init__(self, guard: CrashGuard, request: ProxyRequest) -> None:
        self._guard = guard
        self._request = request

    def check(self) -> None:
        """Raise ``NotRunError`` if the request crashes the upstreams that run it."""
        if self._guard.has_suspects and self._guard.is_refused(self._request.get_digest()):
            raise NotRunError(
                "503 Service Unavailable",
                "crashes-upstreams",
                "upstreams crash when they run this request; it is sent to none for some minutes",
                retry_after_s=REFUSED_RETRY_AFTER_S,
            )

    def is_suspect(self) -> bool:
        """Return whether any upstream crashed during the request and none has answered it."""
        return self._guard.has_suspects and self._guard.is_suspect(self._request.get_digest())

    def record_crash(self, claim: Claim) -> None:
        """Record that the upstream of ``claim`` ended the connection without an answer."""
        self._guard.record_crash(self._request.get_digest(), claim.load.id, claim.load.incarnation)

    def record_answer(self) -> None:
        """Record that an upstream answered."""
        if self.is_suspect():
            self._guard.record_answer(self._request.get_digest())
