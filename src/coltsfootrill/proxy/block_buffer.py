"""A growing byte buffer made of blocks."""

from __future__ import annotations

from collections.abc import Iterator

BLOCK_BYTES = 256 * 1024


class BlockBuffer:
    """Collects bytes until they are complete.

    A single buffer would be reallocated as it grows, and take up to twice its size. Full blocks
    are large enough to be mapped one by one; see ``coltsfootrill.allocator``.
    """

    __slots__ = ("_blocks", "_last", "_size")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._last = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[bytes | bytearray]:
        """Iterate over the blocks, in order."""
        yield from self._blocks
        if self._last:
            yield self._last

    def append(self, data: bytes) -> None:
        """Append bytes; small pieces share a block."""
        self._size += len(data)
        if len(self._last) + len(data) <= BLOCK_BYTES:
            self._last += data
            return
        if self._last:
            # A copy has the exact size, while a buffer that grows has room to spare.
            self._blocks.append(bytes(self._last))
        self._last = bytearray(data)

    def to_bytes(self) -> bytes:
        """Return all bytes as one object."""
        return b"".join(self)
