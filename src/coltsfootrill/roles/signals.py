"""The event that the signals which stop a process set."""

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
