"""Turns: the places of pipelined requests in the order of answers of one connection."""

from __future__ import annotations

import threading
from collections.abc import Callable

from absl import logging


class TurnOrder:
    """Lets the turns of one connection send their answers in order, one at a time.

    Once an answer cannot be sent, no later one is: a caller could take it for the missing one.
    ``failure`` says why, ``unsent_count`` how many turns have ended without their answer, and
    ``unended_count`` how many have been taken and not ended. ``is_closing`` is true once the
    connection was asked to close; a turn that is taken nevertheless is to be the last.
    """

    __slots__ = (
        "_changed",
        "_last_allowed",
        "_sent_count",
        "_taken_count",
        "failure",
        "is_closing",
        "unended_count",
        "unsent_count",
    )

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._taken_count = 0
        self._sent_count = 0
        self.unended_count = 0
        self.unsent_count = 0
        self.failure = ""
        self.is_closing = False
        # The last turn whose answer may be sent. No turn is taken once it is set.
        self._last_allowed: int | None = None

    @property
    def is_busy(self) -> bool:
        """Return whether a turn has been taken and not ended."""
        return self.unended_count > 0

    @property
    def is_over(self) -> bool:
        """Return whether all answers that may be sent have been."""
        return self._last_allowed is not None and self._sent_count >= self._last_allowed

    def take(self) -> Turn | None:
        """Return the next turn, ``None`` if the connection takes no more requests."""
        with self._changed:
            if self._last_allowed is not None:
                return None
            self._taken_count += 1
            self.unended_count += 1
            return Turn(self, self._taken_count)

    def ask_to_close(self) -> bool:
        """Let the connection close unless a turn has not ended; return whether there was none."""
        with self._changed:
            if self.is_busy:
                return False
            self.is_closing = True
            return True

    def close_if_idle(self) -> bool:
        """Take no more turns unless one has not ended; return whether there was none."""
        with self._changed:
            if self.is_busy:
                return False
            self._forbid_after(self._taken_count)
            return True

    def is_next(self, turn: Turn) -> bool:
        """Return whether all turns before have been sent."""
        return self._sent_count >= turn.number - 1

    def wait_to_send(self, turn: Turn, *, timeout_ms: float) -> bool:
        """Wait until all turns before have been sent; return whether this one may be.

        Raises ``TimeoutError`` when none of them is sent for ``timeout_ms``.
        """
        turn.is_waiting = True
        try:
            return self._wait_for_sent(turn.number - 1, timeout_ms=timeout_ms)
        finally:
            turn.is_waiting = False

    def wait_until_all_sent(self, *, timeout_ms: float) -> bool:
        """Wait until all turns taken have been sent; return whether more may be sent.

        Raises ``TimeoutError`` when none of them is sent for ``timeout_ms``. Only the thread that
        takes the turns calls this, so no answer is written until it takes the next one.
        """
        return self._wait_for_sent(self._taken_count, timeout_ms=timeout_ms)

    def close_if_newest(self, turn: Turn) -> bool:
        """Take no more turns if this one is the newest; return whether it is."""
        with self._changed:
            if self._taken_count != turn.number or self._last_allowed is not None:
                return False
            self._forbid_after(turn.number)
            return True

    def record_sent(self, turn: Turn) -> None:
        """Let the next turn send its answer."""
        with self._changed:
            self._sent_count = turn.number
            self._changed.notify_all()

    def fail(self, cause: str) -> None:
        """Send nothing more, and end all waits."""
        with self._changed:
            self.failure = self.failure or cause
            self._forbid_after(self._sent_count)

    def end(self, turn: Turn) -> None:
        """End a turn. If its answer has not been sent, no later one is."""
        with self._changed:
            self.unended_count -= 1
            if self._sent_count < turn.number:
                self.unsent_count += 1
                self._forbid_after(turn.number - 1)

    def _wait_for_sent(self, count: int, *, timeout_ms: float) -> bool:
        with self._changed:
            while self._sent_count < count and self._may_send(count + 1):
                if not self._wait_for_change(timeout_ms):
                    raise TimeoutError(f"no answer before turn {count + 1} was sent in time")
            return self._may_send(count + 1)

    def _wait_for_change(self, timeout_ms: float) -> bool:
        before = (self._sent_count, self._last_allowed)
        return self._changed.wait_for(
            lambda: (self._sent_count, self._last_allowed) != before, timeout_ms / 1000
        )

    def _may_send(self, number: int) -> bool:
        return self._last_allowed is None or number <= self._last_allowed

    def _forbid_after(self, number: int) -> None:
        if self._last_allowed is None or number < self._last_allowed:
            self._last_allowed = number
        self._changed.notify_all()


class Turn:
    """The place of a request in the order of answers. Used by a single thread.

    The turn ends once, when its ``with`` block is left in whatever way. The end frees all that was
    registered with ``free_at_end``, in that order. ``is_waiting`` is true while earlier answers are
    being sent.
    """

    __slots__ = ("_frees", "_is_ended", "_order", "is_waiting", "number")

    def __init__(self, order: TurnOrder, number: int) -> None:
        self._order = order
        self._frees: list[Callable[[], object]] = []
        self._is_ended = False
        self.number = number
        self.is_waiting = False

    def __enter__(self) -> Turn:
        return self

    def __exit__(self, *exception: object) -> None:
        self.end()

    def free_at_end(self, free: Callable[[], object]) -> None:
        """Call ``free`` when the turn ends."""
        self._frees.append(free)

    def end(self) -> None:
        """End the turn; further calls do nothing."""
        if self._is_ended:
            return
        self._is_ended = True
        self._order.end(self)
        for free in self._frees:
            try:
                free()
            except Exception:
                logging.exception("a turn was not freed completely; this is a bug in coltsfootrill")
        self._frees.clear()
