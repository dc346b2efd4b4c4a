"""Events for the loss and recovery of hubs, and of control as a whole."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import DependencyRegained
from coltsfootrill.events.catalog import ReplicasChanged
from coltsfootrill.events.log import EventLog


class HubEventLog:
    """Logs events when hubs stop replying and reply again.

    A stopping node logs no lost hubs.
    """

    __slots__ = ("_clock", "_is_stopping", "_log", "_lost_since_ms")

    def __init__(self, log: EventLog, *, clock: Clock, is_stopping: Callable[[], bool]) -> None:
        self._log = log
        self._clock = clock
        self._is_stopping = is_stopping
        self._lost_since_ms: float | None = None

    def record_lost(self, address: str, reason: str) -> None:
        """Log that the hub at an address does not reply, unless this node is stopping."""
        if not self._is_stopping():
            self._log.emit(DependencyLost(dependency=f"hub {address}", reason=reason))

    def record_regained(self, address: str, lost_for_ms: float) -> None:
        """Log that a lost hub replies again."""
        self._log.emit(
            DependencyRegained(dependency=f"hub {address}", lost_for_ms=round(lost_for_ms, 1))
        )

    def record_availability(self, *, has_current_hub: bool, replicas: list[str]) -> None:
        """Log when no hub with a majority replies, and when one replies again.

        ``replicas`` are the addresses of the voting replicas, logged after a recovery.
        """
        now_ms = self._clock.now_ms()
        if not has_current_hub and self._lost_since_ms is None:
            self._lost_since_ms = now_ms
            self._log.emit(
                DependencyLost(dependency="control", reason="no hub with a majority replies")
            )
        elif has_current_hub and self._lost_since_ms is not None:
            lost_for_ms = round(now_ms - self._lost_since_ms, 1)
            self._lost_since_ms = None
            self._log.emit(DependencyRegained(dependency="control", lost_for_ms=lost_for_ms))
            self._log.emit(ReplicasChanged(replicas=replicas))
