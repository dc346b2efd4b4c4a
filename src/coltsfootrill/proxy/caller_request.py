"""A complete request of a caller, as the server passes it on to be answered."""

from __future__ import annotations

from typing import Literal

from coltsfootrill.proxy.block_buffer import BlockBuffer
from coltsfootrill.proxy.disconnect_monitor import DisconnectMonitor

# Too many requests are in progress, the connection was closing for others when the request came,
# the instance is about to end, or it has no room for the body.
Refusal = Literal["too-many-requests", "too-many-connections", "stopping", "no-room-for-body"]


class CallerRequest:
    """A complete request; ``headers`` have waitress's names: upper case with underscores.

    ``refusal`` is the reason for which the server accepts no request at the moment, ``None`` if it
    does. ``monitor`` detects that the caller disconnects and starts the reading of pipelined
    requests.
    """

    __slots__ = (
        "arrived_ms",
        "body",
        "headers",
        "method",
        "monitor",
        "path",
        "refusal",
        "target",
    )

    def __init__(
        self,
        *,
        method: str,
        target: str,
        path: str,
        headers: dict[str, str],
        body: BlockBuffer,
        arrived_ms: float,
        refusal: Refusal | None,
        monitor: DisconnectMonitor,
    ) -> None:
        self.method = method
        self.target = target
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.refusal = refusal
        self.monitor = monitor

    def get_header(self, name: str) -> str:
        """Return the value of a header by its usual name, empty when it is absent."""
        return self.headers.get(name.upper().replace("-", "_"), "")
