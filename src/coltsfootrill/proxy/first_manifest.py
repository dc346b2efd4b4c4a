"""The wait for the first manifest, by requests that arrive while an instance starts."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.table import RoutingTable

# An instance without a manifest for longer than this is probably cut off from the replicas.
START_PERIOD_MS = 5_000.0
# The rest of the caller's timeout is left for the attempts, or for another instance.
TIMEOUT_SHARE = 0.5
DEFAULT_WAIT_MS = 500.0
CALLER_CHECK_INTERVAL_MS = 50.0


class FirstManifestWait:
    """Lets requests wait for the first manifest during ``START_PERIOD_MS``.

    When a whole fleet restarts, callers return before any instance has a manifest. A request that
    is refused then uses up one of its caller's retries; the manifest usually arrives within the
    timeout of the request.
    """

    __slots__ = ("_clock", "_manifests", "_started_ms")

    def __init__(self, manifests: ManifestHolder, *, clock: Clock) -> None:
        self._manifests = manifests
        self._clock = clock
        self._started_ms = clock.now_ms()

    def wait(
        self,
        *,
        arrived_ms: float,
        timeout_ms: float | None,
        should_stop_waiting: Callable[[], bool],
    ) -> RoutingTable | None:
        """Return the manifest in force, ``None`` if there is none within the time to wait.

        ``timeout_ms`` is how long the caller waits for its answer, ``None`` if it does not say.
        """
        table = self._manifests.current
        end_ms = self._get_end_ms(arrived_ms, timeout_ms)
        while table is None and not should_stop_waiting():
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                return None
            table = self._manifests.wait_for_first(min(left_ms, CALLER_CHECK_INTERVAL_MS))
        return table

    def _get_end_ms(self, arrived_ms: float, timeout_ms: float | None) -> float:
        wait_ms = DEFAULT_WAIT_MS if timeout_ms is None else TIMEOUT_SHARE * timeout_ms
        return min(arrived_ms + wait_ms, self._started_ms + START_PERIOD_MS)
