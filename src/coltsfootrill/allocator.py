"""Settings of the C allocator that keep the memory of a process with many threads small."""

from __future__ import annotations

import ctypes
import os

ARENAS_MAX_COUNT = 2
# Larger buffers are mapped one by one, and go back to the system when they are freed.
MAPPED_MIN_BYTES = 128 * 1024
# From malloc.h of the GNU C library.
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8


def set_up_allocator() -> None:
    """Limit what the allocator keeps of freed memory; call this before the first thread starts.

    The GNU C library gives threads up to eight arenas a core, and each keeps what its threads have
    freed. Threads of this program allocate in turn, so a few arenas are enough. By default the
    library also raises the size from which it maps buffers with each one that is freed. Values in
    the environment take precedence, and other C libraries have no such settings.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return
    if "MALLOC_ARENA_MAX" not in os.environ:
        mallopt(_M_ARENA_MAX, ARENAS_MAX_COUNT)
    if "MALLOC_MMAP_THRESHOLD_" not in os.environ:
        mallopt(_M_MMAP_THRESHOLD, MAPPED_MIN_BYTES)
