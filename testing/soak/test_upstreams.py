"""Verifies the faults of the stand-ins for upstreams that no check of the soak shows."""

from __future__ import annotations

import socket

import pytest

from testing.soak.upstreams import AnswerWriter


# Guards against soaks without the fault that preceded a refused request that ran.
def test_a_copy_is_written_once_after_the_next_request() -> None:
    near, far = socket.socketpair()
    with near, far:
        writer = AnswerWriter(near)
        writer.start_next()
        writer.write(b"first", is_copied=True)
        assert far.recv(100) == b"first"
        writer.start_next()
        assert far.recv(100) == b"first"
        writer.write(b"second")
        writer.start_next()
        assert far.recv(100) == b"second"
        far.setblocking(False)
        with pytest.raises(BlockingIOError):
            far.recv(100)
