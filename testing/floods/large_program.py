"""A node whose program takes much of the memory of its instance, as a busy voter's does."""

from __future__ import annotations

from coltsfootrill.start import main

# With about 50 MB of the program, a little more than the busiest voter of a large fleet has.
BALLAST_BYTES = 80 * 1024 * 1024
PAGE_BYTES = 4096
# The page is written, so that it is resident.
ballast = bytearray(BALLAST_BYTES)
ballast[::PAGE_BYTES] = b"b" * (BALLAST_BYTES // PAGE_BYTES)

if __name__ == "__main__":
    main()
