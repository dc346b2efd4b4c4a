"""Decodes bodies in chunks, in time that is linear in their bytes however small the chunks are."""

from __future__ import annotations

import threading

from waitress.rfc7230 import CHUNK_EXT_RE
from waitress.rfc7230 import ONLY_HEXDIG_RE
from waitress.utilities import BadRequest
from waitress.utilities import find_double_newline

from coltsfootrill.proxy.block_buffer import BlockBuffer

# Of the size of a chunk with its extensions, and of all trailers.
CHUNK_FRAMING_MAX_BYTES = 16 * 1024
# Of one part of a body. Usual chunks have fewer.
FEW_LINES_MAX_COUNT = 64
# Held while a thread decodes more of them: the others leave the interpreter to other requests.
_many_lines_lock = threading.Lock()
_LINE_END = b"\r\n"


class ChunkDecoder:
    """Collects the body of one request in ``buf``; takes the place of waitress's receiver.

    ``error`` is an error of waitress, ``None`` while the framing is sound.
    """

    __slots__ = (
        "_is_after_last",
        "_left_bytes",
        "_needs_end",
        "_partial",
        "buf",
        "completed",
        "error",
    )

    def __init__(self) -> None:
        self.buf = BlockBuffer()
        self.completed = False
        self.error: BadRequest | None = None
        self._left_bytes = 0
        self._needs_end = False
        self._is_after_last = False
        # The start of a line that is still incomplete.
        self._partial = b""

    def __len__(self) -> int:
        return len(self.buf)

    @property
    def announced_bytes(self) -> int:
        """Return the size that the body has at least, with the rest of the chunk in progress."""
        return len(self.buf) + self._left_bytes

    def received(self, data: bytes) -> int:
        """Decode bytes; return how many belong to the body and its framing."""
        if self.completed:
            return 0
        kept_bytes = len(self._partial)
        data = self._partial + data
        self._partial = b""
        position = self._decode_chunks(data)
        if self._is_after_last:
            position = self._skip_trailers(data, position)
        if self.completed:
            return position - kept_bytes
        self._partial = data[position:]
        if self.error is None and len(self._partial) > CHUNK_FRAMING_MAX_BYTES:
            self.error = BadRequest("the framing of a chunk, or the trailers, are too long")
        return len(data) - kept_bytes

    def _decode_chunks(self, data: bytes) -> int:
        """Decode whole lines and all data of chunks; return the position of the first byte left."""
        position = self._decode_lines(data, 0, FEW_LINES_MAX_COUNT)
        if position == len(data) or self.error is not None or self._is_after_last:
            return position
        with _many_lines_lock:
            return self._decode_lines(data, position, len(data))

    def _decode_lines(self, data: bytes, position: int, lines_max_count: int) -> int:
        """Decode up to so many lines and the data between them; return where the next begins."""
        pieces: list[bytes] = []
        while position < len(data) and self.error is None and not self._is_after_last:
            if self._left_bytes:
                piece = data[position : position + self._left_bytes]
                pieces.append(piece)
                position += len(piece)
                self._left_bytes -= len(piece)
                self._needs_end = self._left_bytes == 0
                continue
            end = data.find(_LINE_END, position)
            if end < 0 or lines_max_count == 0:
                break
            lines_max_count -= 1
            self._read_line(data[position:end])
            position = end + len(_LINE_END)
        self.buf.append(b"".join(pieces))
        return position

    def _read_line(self, line: bytes) -> None:
        """Read the end of a chunk's data, or the size of the next chunk."""
        if self._needs_end:
            self._needs_end = False
            if line:
                self.error = BadRequest("Chunk not properly terminated")
            return
        size, semicolon, extensions = line.partition(b";")
        if semicolon and not CHUNK_EXT_RE.fullmatch(semicolon + extensions):
            self.error = BadRequest("Invalid chunk extension")
        elif line and not ONLY_HEXDIG_RE.fullmatch(size):
            self.error = BadRequest("Invalid chunk size")
        elif line:
            self._left_bytes = int(size, 16)
            self._is_after_last = self._left_bytes == 0

    def _skip_trailers(self, data: bytes, position: int) -> int:
        """Skip the trailers if they are complete; return the position of the first byte left."""
        if data.startswith(_LINE_END, position):
            self.completed = True
            return position + len(_LINE_END)
        length = find_double_newline(data[position:])
        if length < 0:
            return position
        self.completed = True
        return position + int(length)
