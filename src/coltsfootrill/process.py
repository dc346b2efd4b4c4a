"""What a process that runs long sets up before its role starts."""

from __future__ import annotations

import atexit
import sys

from coltsfootrill.allocator import set_up_allocator
from coltsfootrill.log import set_up_log
from coltsfootrill.output import LineStream
from coltsfootrill.output import LineWriter
from coltsfootrill.output import unblock

STDOUT = 1
STDERR = 2

error_lines: LineWriter[bytes] = LineWriter(
    "stderr",
    STDERR,
    encode=lambda line: line,
    describe_dropped=lambda count: f"lines dropped count={count}\n".encode(),
)


def set_up_process() -> None:
    """Set up the allocator and the log; call this before the first thread starts.

    From then on no thread blocks on standard output or standard error.
    """
    set_up_allocator()
    for descriptor in (STDOUT, STDERR):
        unblock(descriptor)
    error_lines.start()
    atexit.register(error_lines.close)
    sys.stderr = LineStream(error_lines, STDERR)
    set_up_log()
