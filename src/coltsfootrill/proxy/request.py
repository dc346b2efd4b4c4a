"""A caller's request on its way to an upstream."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.proxy.caller import DisconnectMonitor


class RequestTimes:
    """When a request arrived, and its deadline, as times of the clock.

    ``age_ms`` is how long the caller had been waiting when the request arrived.
    """

    __slots__ = ("age_ms", "arrived_ms", "deadline_ms")

    def __init__(self, *, arrived_ms: float, deadline_ms: float, age_ms: float = 0.0) -> None:
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.age_ms = age_ms


class AttemptDemand:
    """One attempt that needs an upstream outside ``exclude``, if there is one.

    ``is_gone`` tells whether its caller has left. With ``extra_within_ms`` it is an attempt beside
    another one, which does not wait and is worth nothing unless it ends within that time.
    """

    __slots__ = ("exclude", "extra_within_ms", "is_gone", "kind", "service", "times")

    def __init__(
        self,
        service: Service,
        kind: Kind,
        times: RequestTimes,
        *,
        exclude: frozenset[str],
        is_gone: Callable[[], bool] = lambda: False,
        extra_within_ms: float | None = None,
    ) -> None:
        self.service = service
        self.kind = kind
        self.times = times
        self.exclude = exclude
        self.is_gone = is_gone
        self.extra_within_ms = extra_within_ms


class ProxyRequest:
    """A caller's request, whole. ``headers`` have waitress's upper-case names."""

    __slots__ = (
        "body",
        "depth",
        "headers",
        "is_marked",
        "method",
        "monitor",
        "target",
        "times",
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        times: RequestTimes,
        depth: int,
        is_marked: bool,
        monitor: DisconnectMonitor,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.times = times
        self.depth = depth
        self.is_marked = is_marked
        self.monitor = monitor
