"""The pattern: a whole fleet restarts, and callers return before any instance has a manifest."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor

from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.manifest.holder import ManifestHolder
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import load_plugins
from coltsfootrill.proxy.first_manifest import START_PERIOD_MS
from coltsfootrill.proxy.first_manifest import TIMEOUT_SHARE
from coltsfootrill.proxy.first_manifest import FirstManifestWait
from testing.proxy.instance import make_manifest

REQUEST_COUNT = 40
TIMEOUT_MS = 8_000.0
SHORT_TIMEOUT_MS = 200.0


def _has_not_left() -> bool:
    return False


class TestRestartOfAWholeFleet:
    def _submit(
        self,
        executor: ThreadPoolExecutor,
        wait: FirstManifestWait,
        clock: Clock,
        *,
        timeout_ms: float = TIMEOUT_MS,
        should_stop_waiting: Callable[[], bool] = _has_not_left,
    ) -> Future[RoutingTable | None]:
        return executor.submit(
            wait.wait,
            arrived_ms=clock.now_ms(),
            timeout_ms=timeout_ms,
            should_stop_waiting=should_stop_waiting,
        )

    def test_requests_before_the_first_manifest_are_resolved_with_it(self) -> None:
        clock = Clock()
        manifests = ManifestHolder(collect_schemes(load_plugins()))
        wait = FirstManifestWait(manifests, clock=clock)
        with ThreadPoolExecutor(REQUEST_COUNT) as executor:
            calls = [self._submit(executor, wait, clock) for _ in range(REQUEST_COUNT)]
            assert not any(call.done() for call in calls)
            manifests.adopt(make_manifest(1))
            assert {call.result() for call in calls} == {manifests.current}

    def test_request_is_refused_while_time_is_left_for_another_instance(self) -> None:
        clock = Clock()
        wait = FirstManifestWait(ManifestHolder(collect_schemes(load_plugins())), clock=clock)
        start_ms = clock.now_ms()
        with ThreadPoolExecutor(1) as executor:
            call = self._submit(executor, wait, clock, timeout_ms=SHORT_TIMEOUT_MS)
            assert call.result() is None
        assert clock.now_ms() - start_ms >= TIMEOUT_SHARE * SHORT_TIMEOUT_MS

    def test_request_is_refused_at_once_by_an_instance_that_started_long_ago(self) -> None:
        clock = ManualClock()
        manifests = ManifestHolder(collect_schemes(load_plugins()))
        wait = FirstManifestWait(manifests, clock=clock)
        clock.advance(START_PERIOD_MS)
        before_ms = clock.now_ms()
        result = wait.wait(arrived_ms=before_ms, timeout_ms=1e9, should_stop_waiting=_has_not_left)
        assert result is None

    def test_wait_ends_when_the_caller_leaves(self) -> None:
        clock = Clock()
        wait = FirstManifestWait(ManifestHolder(collect_schemes(load_plugins())), clock=clock)
        has_left = threading.Event()
        with ThreadPoolExecutor(1) as executor:
            call = self._submit(executor, wait, clock, should_stop_waiting=has_left.is_set)
            assert not call.done()
            has_left.set()
            assert call.result() is None
