"""Tasks that run as long as the process does."""

from __future__ import annotations

import threading
from collections.abc import Callable

from absl import logging

RESTART_PAUSE_S = 1.0


def start_task(name: str, run: Callable[[], None]) -> threading.Thread:
    """Run a task in a thread; after a fault of this program it is logged and run again.

    A task that ends by itself is over.
    """

    def keep_running() -> None:
        pause = threading.Event()
        while True:
            try:
                run()
                return
            except Exception:
                logging.exception('task failed name="%s"', name)
                pause.wait(RESTART_PAUSE_S)

    thread = threading.Thread(target=keep_running, name=name, daemon=True)
    thread.start()
    return thread
