"""Bodies in chunks, cut at every place."""

from __future__ import annotations

import pytest

from coltsfootrill.proxy.chunk_decoder import CHUNK_FRAMING_MAX_BYTES
from coltsfootrill.proxy.chunk_decoder import ChunkDecoder

ENCODED = b"5\r\nhello\r\n1;name=value\r\n,\r\nA\r\n and so on\r\n0\r\n"
BODY = b"hello, and so on"
NEXT = b"GET /next HTTP/1.1\r\n\r\n"


def decode(data: bytes, step: int) -> tuple[ChunkDecoder, int]:
    """Return a decoder that got ``data`` in steps, and how many bytes belonged to the body."""
    decoder = ChunkDecoder()
    consumed = 0
    while consumed < len(data) and not decoder.completed and decoder.error is None:
        consumed += decoder.received(data[consumed : consumed + step])
    return decoder, consumed


class TestDecoding:
    @pytest.mark.parametrize("trailer", [b"", b"x-a: b\r\n"], ids=["none", "trailer"])
    @pytest.mark.parametrize("step", [1, 2, 3, 7, 1_000])
    def test_body_is_decoded_and_what_follows_is_left(self, step: int, trailer: bytes) -> None:
        encoded = ENCODED + trailer + b"\r\n"
        decoder, consumed = decode(encoded + NEXT, step)
        assert decoder.completed and decoder.error is None
        assert decoder.buf.to_bytes() == BODY
        assert consumed == len(encoded)

    def test_size_of_a_chunk_is_announced_before_its_data(self) -> None:
        decoder, _ = decode(b"3\r\nabc\r\nffffffff\r\nxy", 1_000)
        assert len(decoder) == 5
        assert decoder.announced_bytes == 3 + 0xFFFFFFFF


class TestBounds:
    @pytest.mark.parametrize(
        "encoded",
        [
            pytest.param(b"g\r\n", id="size"),
            pytest.param(b"-1\r\n", id="sign"),
            pytest.param(b"5\n\r\nhello\r\n", id="line-feed-in-size"),
            pytest.param(b"1;\x00\r\n", id="extension"),
            pytest.param(b"1\r\nab\r\n", id="no-end"),
        ],
    )
    @pytest.mark.parametrize("step", [1, 1_000])
    def test_unsound_framing_is_an_error(self, encoded: bytes, step: int) -> None:
        assert decode(encoded, step)[0].error is not None

    @pytest.mark.parametrize(
        "start",
        [
            pytest.param(b"1;", id="extension"),
            pytest.param(b"0\r\nx-a: ", id="trailer"),
            pytest.param(b"1\r\nab", id="end"),
        ],
    )
    def test_endless_framing_is_an_error(self, start: bytes) -> None:
        decoder, _ = decode(start + b"a" * 2 * CHUNK_FRAMING_MAX_BYTES, 1_000)
        assert decoder.error is not None
