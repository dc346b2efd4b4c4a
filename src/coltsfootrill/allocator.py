"""Settings of the C allocator that keep the memory of a process with many threads small."""

from __future__ import annotations

import ctypes
import os

ARENAS_MAX_COUNT = 2
# From malloc.h of the GNU C library.
_M_ARENA_MAX = -8
_ENVIRONMENT_VARIABLE = "MALLOC_ARENA_MAX"


def limit_arenas() -> None:
    """Limit the arenas of the allocator; call this before the first thread starts.

    The GNU C library gives threads up to eight arenas a core, and each keeps what its threads have
    freed. Threads of this program allocate in turn, so a few arenas are enough. The number in the
    environment takes precedence, and other C libraries have no such limit.
    """
    if _ENVIRONMENT_VARIABLE in os.environ:
        return
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_ARENA_MAX, ARENAS_MAX_COUNT)
