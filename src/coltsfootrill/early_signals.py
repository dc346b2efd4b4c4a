"""Signals that arrive while the program is still loading; imports only the standard library.

By default SIGHUP ends a process. Loading takes a few hundred milliseconds, in which the settings
may change, so this is called before the other imports.
"""

from __future__ import annotations

import signal
import sys
from typing import Any


class ReloadRequest:
    """Whether the settings are to be read again. Has no lock, so a signal handler may set it."""

    __slots__ = ("_is_set",)

    def __init__(self) -> None:
        self._is_set = False

    def set(self) -> None:
        """Request one more reading of the settings."""
        self._is_set = True

    def take(self) -> bool:
        """Return whether a reading was requested since the last call."""
        was_set, self._is_set = self._is_set, False
        return was_set


reload_request = ReloadRequest()


def handle_early_signals() -> None:
    """Remember SIGHUP in ``reload_request``, and let SIGTERM end the process with code 0.

    SIGTERM has this effect until the role stops gracefully on it; see ``roles.signals``.
    """
    signal.signal(signal.SIGHUP, _request_reload)
    signal.signal(signal.SIGTERM, _exit)


def _request_reload(signal_number: int, frame: Any) -> None:
    reload_request.set()


def _exit(signal_number: int, frame: Any) -> None:
    sys.exit(0)
