"""Checks and records whether upstreams crash when they run one request."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.crash_guard import CrashGuard
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.request import ProxyRequest

REFUSED_RETRY_AFTER_S = 60.0


class RequestGuard:
    """The view of ``CrashGuard`` on one request, whose digests are computed only when needed.

    ``attempt_headers`` are the lower-case names of headers that change with each attempt.
    """

    __slots__ = ("_attempt_headers", "_guard", "_request")

    def __init__(
        self, guard: CrashGuard, request: ProxyRequest, attempt_headers: frozenset[str]
    ) -> None:
        self._guard = guard
        self._request = request
        self._attempt_headers = attempt_headers

    def check(self) -> None:
        """Raise ``NotRunError`` if the request crashes the upstreams that run it."""
        self._check(self._guard.is_trial_due)

    def begin(self) -> None:
        """Check again, directly before the request is sent; if it is refused, begin its trial."""
        self._check(self._guard.begin_trial)

    def _check(self, may_try: Callable[[bytes], bool]) -> None:
        if not self._guard.has_suspects:
            return
        refused = [digest for digest in self._list_digests() if self._guard.is_refused(digest)]
        if not all(map(may_try, refused)):
            raise NotRunError(
                "503 Service Unavailable",
                "crashes-upstreams",
                "upstreams crash when they run this request; it is sent to none for some minutes",
                retry_after_s=REFUSED_RETRY_AFTER_S,
            )

    def is_suspect(self) -> bool:
        """Return whether any upstream crashed during the request and none has answered it."""
        return self._guard.has_suspects and any(map(self._guard.is_suspect, self._list_digests()))

    def record_crash(self, claim: Claim) -> None:
        """Record that the upstream of ``claim`` ended the connection without an answer."""
        content, variant = self._list_digests()
        upstream_id, incarnation = claim.load.id, claim.load.incarnation
        self._guard.record_crash(variant, upstream_id, incarnation)
        self._guard.record_crash(content, upstream_id, incarnation, variant=variant)

    def record_answer(self) -> None:
        """Record that an upstream answered."""
        if self.is_suspect():
            content, variant = self._list_digests()
            self._guard.record_answer(variant)
            self._guard.record_answer(content, variant=variant)

    def _list_digests(self) -> tuple[bytes, bytes]:
        """Return the digests of the content and of the variant."""
        request = self._request
        return request.get_digest(), request.get_variant(self._attempt_headers)
