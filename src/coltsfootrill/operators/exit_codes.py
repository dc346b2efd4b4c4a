"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a shell script can tell from the exit code.

    ``REFUSED`` means that nothing was changed; ``UNKNOWN`` that it may have been, and that the
    same call may be made again.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    NO_ANSWER = 4
