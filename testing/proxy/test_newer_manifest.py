"""The pattern: callers use a new route or key before an instance has the manifest that adds it."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.proxy.newer_manifest import TIMEOUT_SHARE
from coltsfootrill.proxy.newer_manifest import WAIT_MAX_MS
from coltsfootrill.proxy.newer_manifest import WAITS_MAX_COUNT
from coltsfootrill.proxy.newer_manifest import NewerManifestWait
from testing.proxy.instance import make_manifest

SHORT_TIMEOUT_MS = 100.0


class _LateInstance:
    """Has manifest 1 in force; a hub has reported ``reported``."""

    def __init__(self, reported: int, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.has_left = threading.Event()
        self.manifests = ManifestHolder(collect_schemes(load_plugins()))
        self.manifests.adopt(make_manifest(1))
        self._wait = NewerManifestWait(
            self.manifests, get_reported_version=lambda: reported, clock=self.clock
        )

    def wait(self, *, age_ms: float = 0.0, timeout_ms: float | None = None) -> RoutingTable | None:
        """Let a request wait that arrived ``age_ms`` ago."""
        return self._wait.wait(
            1,
            arrived_ms=self.clock.now_ms() - age_ms,
            timeout_ms=timeout_ms,
            should_stop_waiting=self.has_left.is_set,
        )


@pytest.fixture
def late() -> _LateInstance:
    return _LateInstance(reported=2)


class TestLateInstance:
    def test_a_request_gets_the_manifest_that_a_hub_has_reported(self, late: _LateInstance) -> None:
        with ThreadPoolExecutor(1) as executor:
            call: Future[RoutingTable | None] = executor.submit(late.wait)
            late.manifests.adopt(make_manifest(2))
            assert call.result() is late.manifests.current

    def test_a_manifest_that_came_since_is_used_at_once(self, late: _LateInstance) -> None:
        late.manifests.adopt(make_manifest(2))
        late.has_left.set()
        assert late.wait() is late.manifests.current

    def test_the_wait_is_bounded(self, late: _LateInstance) -> None:
        before_ms = late.clock.now_ms()
        assert late.wait() is None
        assert late.clock.now_ms() - before_ms >= WAIT_MAX_MS


class TestNoWait:
    """On a clock that stands still a wait would not end."""

    def test_nobody_waits_without_a_report(self) -> None:
        assert _LateInstance(reported=1, clock=ManualClock()).wait() is None

    def test_nobody_waits_once_the_caller_has_left(self) -> None:
        late = _LateInstance(reported=2, clock=ManualClock())
        late.has_left.set()
        assert late.wait() is None

    @pytest.mark.parametrize(
        ("age_ms", "timeout_ms"),
        [(WAIT_MAX_MS, None), (TIMEOUT_SHARE * SHORT_TIMEOUT_MS, SHORT_TIMEOUT_MS)],
    )
    def test_nobody_waits_beyond_the_time_from_the_arrival(
        self, age_ms: float, timeout_ms: float | None
    ) -> None:
        late = _LateInstance(reported=2, clock=ManualClock())
        assert late.wait(age_ms=age_ms, timeout_ms=timeout_ms) is None


class TestInventedKeys:
    def test_callers_with_invented_keys_hold_few_threads(self) -> None:
        # On a clock that stands still no wait ends by itself.
        late = _LateInstance(reported=2, clock=ManualClock())
        calls_count = 3 * WAITS_MAX_COUNT
        ended = threading.Semaphore(0)

        def wait() -> None:
            late.wait()
            ended.release()

        with ThreadPoolExecutor(calls_count) as executor:
            for _ in range(calls_count):
                executor.submit(wait)
            refused_at_once = 0
            while refused_at_once < calls_count - WAITS_MAX_COUNT and ended.acquire(timeout=5):
                refused_at_once += 1
            late.has_left.set()
        assert refused_at_once == calls_count - WAITS_MAX_COUNT
        assert late.wait() is None
