"""A growing byte buffer made of small blocks."""

from __future__ import annotations

BLOCK_BYTES = 64 * 1024


class BlockBuffer:
    """Collects bytes until they are complete.

    A single buffer would be reallocated as it grows. The C allocator keeps what large buffers
    leave behind for each thread, which takes more memory than the bytes themselves; blocks are
    small enough to be used again.
    """

    __slots__ = ("_blocks", "_size")

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Append bytes; small pieces share a block."""
        self._size += len(data)
        if self._blocks and len(self._blocks[-1]) + len(data) <= BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))

    def to_bytes(self) -> bytes:
        """Return all bytes as one object."""
        return b"".join(self._blocks)
