"""A caller's request on its way to an upstream."""

from __future__ import annotations

from collections.abc import Mapping

from coltsfootrill.proxy.caller import CallerWatch


class ProxyRequest:
    """One request of a caller, whole. ``headers`` have waitress's upper-case names.

    ``age_ms`` is how long the caller had been waiting when the request arrived.
    """

    __slots__ = (
        "age_ms",
        "arrived_ms",
        "body",
        "deadline_ms",
        "depth",
        "headers",
        "is_marked",
        "method",
        "target",
        "watch",
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        arrived_ms: float,
        deadline_ms: float,
        depth: int,
        is_marked: bool,
        watch: CallerWatch,
        age_ms: float = 0.0,
    ) -> None:
        self.age_ms = age_ms
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.depth = depth
        self.is_marked = is_marked
        self.watch = watch
