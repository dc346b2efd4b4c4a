"""Bounds the memory that incomplete answers take in the whole process."""

from __future__ import annotations

import threading

# A small instance has 200 MB, of which the program itself takes about a third.
INCOMPLETE_MAX_BYTES = 32 * 1024 * 1024
# Answers up to this size are never given up for the memory that others take.
SMALL_ANSWER_MAX_BYTES = 256 * 1024


class ReceiveBudget:
    """Counts the received bytes of all answers that are still incomplete. Thread-safe."""

    __slots__ = ("_held_bytes", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._held_bytes = 0

    def add(self, count: int) -> None:
        """Count received bytes."""
        with self._lock:
            self._held_bytes += count

    def release(self, count: int) -> None:
        """Stop counting the bytes of an answer that has ended."""
        with self._lock:
            self._held_bytes -= count

    def is_exceeded_by(self, answer_bytes: int) -> bool:
        """Return whether an answer of ``answer_bytes`` so far has to be given up.

        While the bound is exceeded, only large answers are given up: an upstream in trouble that
        sends without end must not fail the usual answers of others.
        """
        return answer_bytes > SMALL_ANSWER_MAX_BYTES and self._held_bytes > INCOMPLETE_MAX_BYTES
