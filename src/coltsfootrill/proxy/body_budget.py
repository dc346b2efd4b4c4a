"""Bounds the memory that the bodies of callers' requests take in the whole process."""

from __future__ import annotations

import threading
from collections.abc import Callable

MB = 1024 * 1024
# For the program, its threads, small bodies, and the answers that ``ReceiveBudget`` bounds.
RESERVED_MB = 128
# The smallest bound, for instances with little memory.
BOUND_MIN_MB = 8
# Bodies up to this size have room of their own, which larger ones cannot take.
SMALL_BODY_MAX_BYTES = 64 * 1024
SMALL_RESERVED_BYTES = 4 * MB
# Bodies up to this size always have room; the number of connections bounds them.
FREE_BODY_MAX_BYTES = 4 * 1024
# How long a body waits for the room of callers that have stalled, once that is being taken back.
RECLAIM_WAIT_MS = 250.0
# Connections of which the kernel may hold ``WIDE_ROOM_BYTES`` unread at a time.
WIDE_MAX_COUNT = 32
MS_PER_SECOND = 1_000.0


class BodyBudget:
    """Counts the bytes that are reserved for bodies. Thread-safe.

    Small bodies take what is reserved for them first and then, like large ones, the common bound.
    """

    __slots__ = (
        "_bound_bytes",
        "_changed",
        "_large_bytes",
        "_reclaim",
        "_small_bytes",
        "_wide_count",
    )

    def __init__(self, bound_bytes: int) -> None:
        self._changed = threading.Condition()
        self._bound_bytes = bound_bytes
        self._large_bytes = 0
        self._small_bytes = 0
        self._wide_count = 0
        self._reclaim: Callable[[int], bool] = lambda count: False

    @classmethod
    def from_memory_mb(cls, memory_mb: int) -> BodyBudget:
        """Return the budget of an instance with so much memory in all."""
        return cls(max(memory_mb - RESERVED_MB, BOUND_MIN_MB) * MB)

    @property
    def free_bytes(self) -> int:
        """Return how many bytes large bodies may still reserve."""
        return self._count_free(self._small_bytes)

    def set_reclaim(self, reclaim: Callable[[int], bool]) -> None:
        """Call ``reclaim`` with the bytes that a body lacks; it returns whether some become free.

        It is called without a lock, in the thread that asks for room.
        """
        self._reclaim = reclaim

    def try_reserve(self, count: int, *, is_small: bool = False) -> bool:
        """Reserve bytes; return whether they were free or became so in ``RECLAIM_WAIT_MS``."""
        if self._take(count, is_small=is_small):
            return True
        if not self._reclaim(count):
            return False
        with self._changed:
            return self._changed.wait_for(
                lambda: self._take(count, is_small=is_small), RECLAIM_WAIT_MS / MS_PER_SECOND
            )

    @property
    def wide_count(self) -> int:
        """Return how many connections are wide."""
        return self._wide_count

    def take_wide(self) -> bool:
        """Return whether one more connection may be wide; ``release_wide`` ends that."""
        with self._changed:
            if self._wide_count >= WIDE_MAX_COUNT:
                return False
            self._wide_count += 1
            return True

    def release_wide(self) -> None:
        """Let another connection be wide."""
        with self._changed:
            self._wide_count -= 1

    def release(self, count: int, *, is_small: bool = False) -> None:
        """Free reserved bytes."""
        with self._changed:
            if is_small:
                self._small_bytes -= count
            else:
                self._large_bytes -= count
            self._changed.notify_all()

    def _take(self, count: int, *, is_small: bool) -> bool:
        with self._changed:
            if is_small:
                if self._count_free(self._small_bytes + count) < 0:
                    return False
                self._small_bytes += count
                return True
            if count > self.free_bytes:
                return False
            self._large_bytes += count
            return True

    def _count_free(self, small_bytes: int) -> int:
        """Return what is free of the bound while small bodies take ``small_bytes`` in all."""
        overflow_bytes = max(0, small_bytes - SMALL_RESERVED_BYTES)
        return self._bound_bytes - self._large_bytes - overflow_bytes


class BodyReservation:
    """What is reserved for the body of one request. Used by a single thread at a time."""

    __slots__ = ("_is_small", "budget", "reserved_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.reserved_bytes = 0
        self._is_small = False

    @property
    def is_held(self) -> bool:
        """Return whether any bytes are reserved."""
        return self.reserved_bytes > 0

    def extend_to(self, body_bytes: int) -> bool:
        """Reserve memory for a body of ``body_bytes`` in all; return whether there is room.

        If there is none, all that is reserved is freed at once, so that of several bodies that grow
        together not all are refused.
        """
        if body_bytes <= max(FREE_BODY_MAX_BYTES, self.reserved_bytes):
            return True
        is_small = body_bytes <= SMALL_BODY_MAX_BYTES
        if is_small != self._is_small:
            self.release()
        if not self.budget.try_reserve(body_bytes - self.reserved_bytes, is_small=is_small):
            self.release()
            return False
        self._is_small = is_small
        self.reserved_bytes = body_bytes
        return True

    def release(self) -> None:
        """Free what is reserved, once the request has ended."""
        if self.reserved_bytes:
            self.budget.release(self.reserved_bytes, is_small=self._is_small)
            self.reserved_bytes = 0
