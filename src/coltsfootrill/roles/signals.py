"""Events for the signals that stop a process or reload its settings."""

from __future__ import annotations

import signal
import threading
from typing import Any


def install_stop_event() -> threading.Event:
    """Return an event that SIGTERM or SIGINT sets to request a stop."""
    stop = threading.Event()

    def request_stop(signal_number: int, frame: Any) -> None:
        stop.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop


def install_reload_event() -> threading.Event:
    """Return an event that SIGHUP sets to request a reload of the settings."""
    reload = threading.Event()
    signal.signal(signal.SIGHUP, lambda signal_number, frame: reload.set())
    return reload
