"""Background tasks in threads of their own."""

from __future__ import annotations

import threading
from collections.abc import Callable

from absl import logging

RESTART_DELAY_S = 1.0


def start_task(name: str, run: Callable[[], None]) -> threading.Thread:
    """Run a task in a daemon thread and return the thread.

    An exception from ``run`` is logged, and ``run`` is called again after ``RESTART_DELAY_S``. The
    thread ends when ``run`` returns.
    """

    def run_until_return() -> None:
        pause = threading.Event()
        while True:
            try:
                run()
                return
            except Exception:
                logging.exception('task failed name="%s"', name)
                pause.wait(RESTART_DELAY_S)

    thread = threading.Thread(target=run_until_return, name=name, daemon=True)
    thread.start()
    return thread
