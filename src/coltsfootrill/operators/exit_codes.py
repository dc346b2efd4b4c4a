"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Result of a command, for shell scripts.

    ``REFUSED`` means that nothing was changed or that a check failed; ``UNKNOWN`` that the
    operation may have been carried out and that it is safe to repeat the command; ``USAGE`` that
    arguments or settings are invalid; ``NO_ANSWER`` that no instance answered or a wait timed out.
    ``QUESTIONABLE`` means that a manifest is valid, but has entries without effect or that
    contradict each other.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    NO_ANSWER = 4
    QUESTIONABLE = 5
