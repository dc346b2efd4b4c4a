"""Bounds the memory that the bodies of callers' requests take in the whole process."""

from __future__ import annotations

import threading

MB = 1024 * 1024
# For the program, its threads, and the answers that ``ReceiveBudget`` bounds.
RESERVED_MB = 128
# The smallest bound, for instances with little memory.
BOUND_MIN_MB = 8
# Bodies up to this size always have room; the number of connections bounds them.
SMALL_BODY_MAX_BYTES = 64 * 1024


class BodyBudget:
    """Counts the bytes that are reserved for bodies. Thread-safe."""

    __slots__ = ("_free_bytes", "_lock")

    def __init__(self, bound_bytes: int) -> None:
        self._lock = threading.Lock()
        self._free_bytes = bound_bytes

    @classmethod
    def from_memory_mb(cls, memory_mb: int) -> BodyBudget:
        """Return the budget of an instance with so much memory in all."""
        return cls(max(memory_mb - RESERVED_MB, BOUND_MIN_MB) * MB)

    @property
    def free_bytes(self) -> int:
        """Return how many bytes are not reserved."""
        return self._free_bytes

    def try_reserve(self, count: int) -> bool:
        """Reserve bytes; return whether they were free."""
        with self._lock:
            if count > self._free_bytes:
                return False
            self._free_bytes -= count
            return True

    def release(self, count: int) -> None:
        """Free reserved bytes."""
        with self._lock:
            self._free_bytes += count


class BodyReservation:
    """What is reserved for the body of one request. Used by a single thread at a time."""

    __slots__ = ("_budget", "_reserved_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    @property
    def is_held(self) -> bool:
        """Return whether any bytes are reserved."""
        return self._reserved_bytes > 0

    def extend_to(self, body_bytes: int) -> bool:
        """Reserve memory for a body of ``body_bytes`` in all; return whether there is room.

        If there is none, all that is reserved is freed at once, so that of several bodies that grow
        together not all are refused.
        """
        missing_bytes = body_bytes - self._reserved_bytes
        if body_bytes <= SMALL_BODY_MAX_BYTES or missing_bytes <= 0:
            return True
        if not self._budget.try_reserve(missing_bytes):
            self.release()
            return False
        self._reserved_bytes = body_bytes
        return True

    def release(self) -> None:
        """Free what is reserved, once the request has ended."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
