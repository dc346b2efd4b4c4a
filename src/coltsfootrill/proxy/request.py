"""A caller's request on its way to an upstream."""

from __future__ import annotations

from collections.abc import Mapping

from coltsfootrill.proxy.caller import CallerWatch


class RequestTimes:
    """When a request arrived, and its deadline, as times of the clock.

    ``age_ms`` is how long the caller had been waiting when the request arrived.
    """

    __slots__ = ("age_ms", "arrived_ms", "deadline_ms")

    def __init__(self, *, arrived_ms: float, deadline_ms: float, age_ms: float = 0.0) -> None:
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.age_ms = age_ms


class ProxyRequest:
    """A caller's request, whole. ``headers`` have waitress's upper-case names."""

    __slots__ = (
        "body",
        "depth",
        "headers",
        "is_marked",
        "method",
        "target",
        "times",
        "watch",
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
        watch: CallerWatch,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.times = times
        self.depth = depth
        self.is_marked = is_marked
        self.watch = watch
