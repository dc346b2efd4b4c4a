"""One read of the register that answers everybody who asked before it began."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future

from coltsfootrill.control.messages import ControlState


class SharedRead:
    """Runs ``read`` for all who wait: one at a time, and one more for those who came meanwhile.

    The number of reads does not grow with the number of callers. ``waiting_count`` is the number of
    callers for whom no read has begun yet. Thread-safe.
    """

    __slots__ = ("_lock", "_next", "_read", "_running", "waiting_count")

    def __init__(self, read: Callable[[], ControlState]) -> None:
        self._read = read
        self._lock = threading.Lock()
        self._running = threading.Lock()
        self._next: Future[ControlState] | None = None
        self.waiting_count = 0

    def get(self) -> ControlState:
        """Return the result of a read that began after this call; raise what it raised."""
        with self._lock:
            result = self._next
            is_first = result is None
            if result is None:
                result = self._next = Future()
            self.waiting_count += 1
        if is_first:
            self._run(result)
        return result.result()

    def _run(self, result: Future[ControlState]) -> None:
        with self._running:
            with self._lock:
                self._next = None
                self.waiting_count = 0
            try:
                state = self._read()
            except BaseException as error:
                result.set_exception(error)
                return
            result.set_result(state)
