"""What a process that runs long sets up before its role starts."""

from __future__ import annotations

from coltsfootrill.allocator import set_up_allocator
from coltsfootrill.log import set_up_log


def set_up_process() -> None:
    """Set up the allocator and the log; call this before the first thread starts."""
    set_up_allocator()
    set_up_log()
