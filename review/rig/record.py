"""The record of a case: what was sent, answered and run, one line each."""

from __future__ import annotations

import os
import threading
import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start of the case. Thread-safe."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"
