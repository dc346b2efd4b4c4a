from __future__ import annotations

from random import Random

from coltsfootrill.proxy.block_buffer import BlockBuffer


class TestBlockBuffer:
    def test_bytes_are_returned_in_order(self) -> None:
        random = Random(1)
        buffer = BlockBuffer()
        parts = [random.randbytes(random.choice([0, 1, 5, 1_000, 65_536])) for _ in range(200)]
        for part in parts:
            buffer.append(part)
        assert buffer.to_bytes() == b"".join(parts)
        assert len(buffer) == len(b"".join(parts))

    def test_small_pieces_share_blocks(self) -> None:
        # A list entry for each piece would take ten times the memory of pieces of five bytes.
        buffer = BlockBuffer()
        for _ in range(65_536):
            buffer.append(b"piece")
        assert len(list(buffer)) <= 6

    def test_no_block_is_large(self) -> None:
        buffer = BlockBuffer()
        for _ in range(100):
            buffer.append(b"a" * 50_000)
        assert max(len(block) for block in buffer) <= 262_144
