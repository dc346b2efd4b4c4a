"""Waiting for the signal that asks a process to stop."""

from __future__ import annotations

import signal
import threading
from typing import Any


def install_stop_event() -> threading.Event:
    """Return an event that is set by SIGTERM or SIGINT."""
    stop = threading.Event()

    def request_stop(number: int, frame: Any) -> None:
        stop.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop


def install_reload_event() -> threading.Event:
    """Return an event that is set by SIGHUP, which asks to read the settings again."""
    reload = threading.Event()
    signal.signal(signal.SIGHUP, lambda number, frame: reload.set())
    return reload
