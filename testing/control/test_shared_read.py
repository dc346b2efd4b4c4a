"""Callers that wait share one read of the register."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor

import pytest

from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.shared_read import SharedRead
from testing.processes import wait_until

CALLERS_COUNT = 20


class Majority:
    """Reads of a register that end when ``release`` allows the next one; ``count`` have begun."""

    def __init__(self) -> None:
        self.count = 0
        self.release = threading.Semaphore(0)
        self.error: Exception | None = None

    def read(self) -> ControlState:
        self.count += 1
        version = self.count
        self.release.acquire()
        if self.error is not None:
            raise self.error
        return ControlState(1, 1, {}, version, "", b"", [], [], 0)


class Callers:
    """Threads that read from one ``SharedRead``."""

    def __init__(self, majority: Majority) -> None:
        self.shared = SharedRead(majority.read)
        self._executor = ThreadPoolExecutor(CALLERS_COUNT + 1)

    def start(self, count: int) -> list[Future[ControlState]]:
        """Start reads, one for each of ``count`` callers."""
        return [self._executor.submit(self.shared.get) for _ in range(count)]


class TestSharedRead:
    # Guards against RECOVER in a large fleet: each instance that started had a read of its own.
    def test_callers_that_come_during_a_read_share_the_next_one(self) -> None:
        majority = Majority()
        callers = Callers(majority)
        first = callers.start(1)
        wait_until(lambda: majority.count == 1)
        others = callers.start(CALLERS_COUNT)
        wait_until(lambda: callers.shared.waiting_count == CALLERS_COUNT)
        majority.release.release(2)
        assert [read.result().version for read in [*first, *others]] == [1, *[2] * CALLERS_COUNT]
        assert majority.count == 2

    def test_a_caller_never_gets_a_read_that_began_before_its_call(self) -> None:
        majority = Majority()
        callers = Callers(majority)
        callers.start(1)
        wait_until(lambda: majority.count == 1)
        later = callers.start(1)
        wait_until(lambda: callers.shared.waiting_count == 1)
        majority.release.release(2)
        assert later[0].result().version == 2

    def test_a_read_without_a_majority_fails_for_all_and_is_tried_again(self) -> None:
        majority = Majority()
        majority.error = NoQuorumError("cut off")
        callers = Callers(majority)
        majority.release.release()
        with pytest.raises(NoQuorumError):
            callers.start(1)[0].result()
        majority.error = None
        majority.release.release()
        assert callers.start(1)[0].result().version == 2
