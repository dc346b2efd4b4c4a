"""What the users count as the memory of a process: what it holds, and what it has not read yet."""

from __future__ import annotations

import os
import socket
import sys
import threading
from pathlib import Path

BYTES_PER_MB = 1_000_000
SAMPLE_INTERVAL_S = 0.02
_LISTEN = "0A"
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class MemoryWatch:
    """Samples the memory of a process in a thread, and keeps the largest sum.

    ``host`` is the address on which only this process listens. Bytes that have arrived on a
    connection that waits to be accepted count as well.
    """

    def __init__(self, pid: int, host: str) -> None:
        self._statm = Path(f"/proc/{pid}/statm")
        number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
        self._host = f"{number:08X}:"
        self.peak_mb = 0.0
        self.peak_unread_mb = 0.0
        self._is_closed = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def close(self) -> None:
        self._is_closed.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_closed.wait(SAMPLE_INTERVAL_S):
            unread_bytes = self._count_unread()
            try:
                resident_bytes = int(self._statm.read_text().split()[1]) * _PAGE_BYTES
            except (OSError, IndexError):
                # The process has ended, which its test notices.
                continue
            self.peak_unread_mb = max(self.peak_unread_mb, unread_bytes / BYTES_PER_MB)
            self.peak_mb = max(self.peak_mb, (unread_bytes + resident_bytes) / BYTES_PER_MB)

    def _count_unread(self) -> int:
        rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines())
        return sum(_read_queue(row) for row in rows if row[1].startswith(self._host))

    def __str__(self) -> str:
        return f"peak of {self.peak_mb:.1f} MB, unread at most {self.peak_unread_mb:.1f} MB"


def _read_queue(fields: list[str]) -> int:
    """Return how many bytes a connection has not read; that of a listener counts connections."""
    if fields[3] == _LISTEN:
        return 0
    return int(fields[4].partition(":")[2], 16)
