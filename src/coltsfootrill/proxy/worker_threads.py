"""Threads for tasks that may never return, such as requests of callers."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from absl import logging

from coltsfootrill.clock import Clock


class WorkerThreads:
    """Runs tasks in up to ``count_max`` threads, started when they are needed.

    The threads are daemons. Those of a ``ThreadPoolExecutor`` are joined when the interpreter
    exits, so a single task that never returned would keep the process from ending.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_count_max",
        "_idle_count",
        "_is_closed",
        "_name",
        "_tasks",
        "_threads",
    )

    def __init__(self, count_max: int, *, name: str, clock: Clock) -> None:
        self._clock = clock
        self._count_max = count_max
        self._name = name
        self._changed = threading.Condition()
        self._tasks: deque[Callable[[], None]] = deque()
        self._threads: list[threading.Thread] = []
        self._idle_count = 0
        self._is_closed = False

    def submit(self, task: Callable[[], None]) -> None:
        """Run a task once a thread is free; raise ``RuntimeError`` if none ever will be.

        That is the case after ``close``, or when no thread can be started.
        """
        with self._changed:
            if self._is_closed:
                raise RuntimeError("the worker threads have been closed")
            if len(self._tasks) >= self._idle_count and len(self._threads) < self._count_max:
                self._start_thread()
            self._tasks.append(task)
            self._changed.notify()

    def close(self, *, timeout_ms: float) -> int:
        """Accept no more tasks and wait for the threads; return how many still run."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        until_ms = self._clock.now_ms() + timeout_ms
        for thread in self._threads:
            thread.join(max(0.0, until_ms - self._clock.now_ms()) / 1000)
        return sum(thread.is_alive() for thread in self._threads)

    def _start_thread(self) -> None:
        name = f"{self._name}_{len(self._threads)}"
        thread = threading.Thread(target=self._run, name=name, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _run(self) -> None:
        while (task := self._take()) is not None:
            try:
                task()
            except Exception:
                logging.exception("unhandled exception in a task; this is a bug in coltsfootrill")

    def _take(self) -> Callable[[], None] | None:
        """Return the next task, ``None`` once there are none and no more are accepted."""
        with self._changed:
            self._idle_count += 1
            self._changed.wait_for(lambda: self._tasks or self._is_closed)
            self._idle_count -= 1
            return self._tasks.popleft() if self._tasks else None
