"""A caller's request and its deadlines, as forwarded to an upstream."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from collections.abc import Mapping

from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.manifest.model import Service
from coltsfootrill.proxy.block_buffer import BlockBuffer
from coltsfootrill.proxy.disconnect_monitor import DisconnectMonitor
from coltsfootrill.proxy.headers import list_request_headers

DIGEST_BYTES = 16


class RequestTimes:
    """Holds the arrival time and the deadline of a request, as clock readings in milliseconds.

    ``age_ms`` is how long the caller had already waited when the request arrived.
    """

    __slots__ = ("age_ms", "arrived_ms", "deadline_ms")

    def __init__(self, *, arrived_ms: float, deadline_ms: float, age_ms: float = 0.0) -> None:
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.age_ms = age_ms


class AttemptDemand:
    """Describes one attempt that needs an upstream, preferably outside ``exclude``.

    ``should_stop_waiting`` returns whether to refuse the attempt if it still has no upstream.
    ``second_within_ms`` is set for a second attempt, which does not wait for an upstream and is
    useful only if it ends within that time. ``organisation`` is that of the caller, if any.
    """

    __slots__ = (
        "exclude",
        "kind",
        "organisation",
        "second_within_ms",
        "service",
        "should_stop_waiting",
        "times",
    )

    def __init__(
        self,
        service: Service,
        kind: Kind,
        times: RequestTimes,
        *,
        exclude: frozenset[str],
        should_stop_waiting: Callable[[], bool] = lambda: False,
        second_within_ms: float | None = None,
        organisation: Organisation | None = None,
    ) -> None:
        self.service = service
        self.kind = kind
        self.times = times
        self.exclude = exclude
        self.should_stop_waiting = should_stop_waiting
        self.second_within_ms = second_within_ms
        self.organisation = organisation


class ProxyRequest:
    """Holds a complete request of a caller. ``headers`` have waitress's upper-case names.

    ``organisation`` is the one whose key the caller sent, ``None`` if callers need no key.
    ``withheld_headers`` are the lower-case names of the caller's headers that upstreams do not get.
    """

    __slots__ = (
        "_digest",
        "_variant",
        "body",
        "depth",
        "headers",
        "is_retried",
        "method",
        "monitor",
        "organisation",
        "target",
        "times",
        "withheld_headers",
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: BlockBuffer,
        times: RequestTimes,
        depth: int,
        is_retried: bool,
        monitor: DisconnectMonitor,
        organisation: Organisation | None = None,
        withheld_headers: frozenset[str] = frozenset(),
    ) -> None:
        self.organisation = organisation
        self.withheld_headers = withheld_headers
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.times = times
        self.depth = depth
        self.is_retried = is_retried
        self.monitor = monitor
        self._digest: bytes | None = None
        self._variant: bytes | None = None

    def get_digest(self) -> bytes:
        """Return what identifies the request when its caller sends it again, in another attempt."""
        if self._digest is None:
            state = hashlib.blake2b(digest_size=DIGEST_BYTES)
            for part in (self.method, self.target, *self._list_caller_marks()):
                state.update(part.encode("latin-1", "replace") + b"\n")
            for block in self.body:
                state.update(block)
            self._digest = state.digest()
        return self._digest

    def get_variant(self, attempt_headers: frozenset[str]) -> bytes:
        """Return what identifies the request with all headers by which upstreams can tell it apart.

        ``attempt_headers`` are the lower-case names of those that change with each attempt.
        """
        if self._variant is None:
            state = hashlib.blake2b(self.get_digest(), digest_size=DIGEST_BYTES)
            excluded = attempt_headers | self.withheld_headers
            for name, value in sorted(list_request_headers(self.headers, excluded)):
                state.update(f"{name}:{value}\n".encode("latin-1", "replace"))
            self._variant = state.digest()
        return self._variant

    def _list_caller_marks(self) -> tuple[str, str, str]:
        """Return what a caller sends with each of its requests to the same service.

        The organisation stands in for a key that upstreams do not get.
        """
        get = self.headers.get
        if not self.withheld_headers:
            return get("HOST", ""), get("AUTHORIZATION", ""), get("COOKIE", "")
        name = "" if self.organisation is None else self.organisation.name
        return get("HOST", ""), name, get("COOKIE", "")
