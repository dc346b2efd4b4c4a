"""Threads for tasks that may never return, such as requests of callers."""

from __future__ import annotations

import _thread
import threading
from collections import deque
from collections.abc import Callable

from absl import logging

from coltsfootrill.clock import Clock


class WorkerThreads:
    """Runs tasks in up to ``count_max`` threads, started when they are needed.

    The interpreter does not join the threads when it exits, as it does those of a
    ``ThreadPoolExecutor``: a single task that never returned would keep the process from ending.
    ``submit`` does not wait until a new thread runs, as ``Thread.start`` does: where many threads
    want the interpreter, that takes hundreds of milliseconds, one thread after the other.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_count_max",
        "_idle_count",
        "_is_closed",
        "_name",
        "_tasks",
        "_thread_count",
    )

    def __init__(self, count_max: int, *, name: str, clock: Clock) -> None:
        self._clock = clock
        self._count_max = count_max
        self._name = name
        self._changed = threading.Condition()
        self._tasks: deque[Callable[[], None]] = deque()
        self._thread_count = 0
        self._idle_count = 0
        self._is_closed = False

    def submit(self, task: Callable[[], None]) -> None:
        """Run a task once a thread is free; raise ``RuntimeError`` if none ever will be.

        That is the case after ``close``, or when no thread can be started.
        """
        with self._changed:
            if self._is_closed:
                raise RuntimeError("the worker threads have been closed")
            if len(self._tasks) >= self._idle_count and self._thread_count < self._count_max:
                self._start_thread(task)
                return
            self._tasks.append(task)
            self._changed.notify()

    def close(self, *, timeout_ms: float) -> int:
        """Accept no more tasks and wait for the threads; return how many still run."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
            until_ms = self._clock.now_ms() + timeout_ms
            while self._thread_count and (left_ms := until_ms - self._clock.now_ms()) > 0:
                self._changed.wait(left_ms / 1000)
            return self._thread_count

    def _start_thread(self, task: Callable[[], None]) -> None:
        _thread.start_new_thread(self._run, (f"{self._name}_{self._thread_count}", [task]))
        self._thread_count += 1

    def _run(self, name: str, first: list[Callable[[], None]]) -> None:
        """Run the task in ``first`` and further ones.

        The thread keeps its arguments to its end, so the task is taken out of ``first``: otherwise
        the connection that it serves would be kept as long.
        """
        threading.current_thread().name = name
        task: Callable[[], None] | None = first.pop()
        while task is not None:
            try:
                task()
            except Exception:
                logging.exception("unhandled exception in a task; this is a bug in coltsfootrill")
            task = self._take()
        with self._changed:
            self._thread_count -= 1
            self._changed.notify_all()

    def _take(self) -> Callable[[], None] | None:
        """Return the next task, ``None`` once there are none and no more are accepted."""
        with self._changed:
            self._idle_count += 1
            self._changed.wait_for(lambda: self._tasks or self._is_closed)
            self._idle_count -= 1
            return self._tasks.popleft() if self._tasks else None
