"""The wait for a manifest that a hub has reported, by requests that the one in force refuses."""

from __future__ import annotations

import threading
from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.table import RoutingTable

WAIT_MAX_MS = 300.0
# The rest of the caller's timeout is left for the attempts.
TIMEOUT_SHARE = 0.5
CALLER_CHECK_INTERVAL_MS = 50.0
# Each wait holds a thread, and callers choose what is refused.
WAITS_MAX_COUNT = 16


class NewerManifestWait:
    """Lets requests that have no route or no known key wait while a newer manifest is fetched.

    Callers do not send a request again that was refused for its route or its key, although the
    newer manifest may allow it. ``get_reported_version`` returns the newest version that a hub
    has reported. Without a report of a newer one nobody waits.
    """

    __slots__ = ("_clock", "_get_reported_version", "_manifests", "_places")

    def __init__(
        self, manifests: ManifestHolder, *, get_reported_version: Callable[[], int], clock: Clock
    ) -> None:
        self._manifests = manifests
        self._get_reported_version = get_reported_version
        self._clock = clock
        self._places = threading.BoundedSemaphore(WAITS_MAX_COUNT)

    def wait(
        self,
        version: int,
        *,
        arrived_ms: float,
        timeout_ms: float | None,
        should_stop_waiting: Callable[[], bool],
    ) -> RoutingTable | None:
        """Return a manifest newer than ``version``, ``None`` if there is none within the time.

        ``timeout_ms`` is how long the caller waits for its answer, ``None`` if it does not say.
        """
        table = self._find_newer(version)
        if table is not None or self._get_reported_version() <= version:
            return table
        if not self._places.acquire(blocking=False):
            return None
        try:
            wait_ms = WAIT_MAX_MS
            if timeout_ms is not None:
                wait_ms = min(wait_ms, TIMEOUT_SHARE * timeout_ms)
            return self._wait_until(arrived_ms + wait_ms, version, should_stop_waiting)
        finally:
            self._places.release()

    def _wait_until(
        self, end_ms: float, version: int, should_stop_waiting: Callable[[], bool]
    ) -> RoutingTable | None:
        while not should_stop_waiting():
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                return None
            self._manifests.wait_for_newer(version, min(left_ms, CALLER_CHECK_INTERVAL_MS))
            table = self._find_newer(version)
            if table is not None:
                return table
        return None

    def _find_newer(self, version: int) -> RoutingTable | None:
        table = self._manifests.current
        return table if table is not None and table.version > version else None
