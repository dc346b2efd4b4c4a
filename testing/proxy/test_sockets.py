"""What the kernel holds of a caller's bytes before they are received."""

from __future__ import annotations

import contextlib
import socket

import pytest

from coltsfootrill.early_listener import RECEIVE_BUFFER_BYTES
from coltsfootrill.early_listener import open_listener
from coltsfootrill.proxy.sockets import KERNEL_FACTOR
from coltsfootrill.proxy.sockets import WIDE_RECEIVE_BUFFER_BYTES
from coltsfootrill.proxy.sockets import WIDE_ROOM_BYTES
from coltsfootrill.proxy.sockets import drop_new_connections
from coltsfootrill.proxy.sockets import has_unread_bytes
from coltsfootrill.proxy.sockets import set_receive_buffer

KB = 1024
SENT_BYTES = 8 * KB * KB
# What the sending end holds itself.
SENDER_BYTES = 16 * KB


def count_taken_bytes(listener: socket.socket, *, is_accepted: bool, is_wide: bool) -> int:
    """Return how much of ``SENT_BYTES`` the other end takes that receives nothing."""
    with contextlib.ExitStack() as stack:
        caller = stack.enter_context(socket.socket())
        # The sending end holds bytes as well, in a buffer of its own.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KB)
        caller.connect(listener.getsockname())
        if is_accepted:
            accepted = stack.enter_context(listener.accept()[0])
            if is_wide:
                set_receive_buffer(accepted, WIDE_RECEIVE_BUFFER_BYTES)
        caller.settimeout(0.3)
        taken_bytes = 0
        with contextlib.suppress(TimeoutError):
            while taken_bytes < SENT_BYTES:
                taken_bytes += caller.send(b"x" * KB)
        return taken_bytes


class TestUnreadBytes:
    # Guards against connections that hold memory before anything is known of their requests.
    @pytest.mark.parametrize("is_accepted", [False, True])
    def test_connection_without_room_takes_few(self, is_accepted: bool) -> None:
        with open_listener("127.0.0.1", 0) as listener:
            taken_bytes = count_taken_bytes(listener, is_accepted=is_accepted, is_wide=False)
        assert taken_bytes < KERNEL_FACTOR * RECEIVE_BUFFER_BYTES + SENDER_BYTES

    # Guards against uploads that take a round trip for each few bytes.
    def test_connection_with_room_takes_more_and_not_more_than_its_room(self) -> None:
        with open_listener("127.0.0.1", 0) as listener:
            taken_bytes = count_taken_bytes(listener, is_accepted=True, is_wide=True)
        assert 8 * RECEIVE_BUFFER_BYTES < taken_bytes < WIDE_ROOM_BYTES + SENDER_BYTES


class TestClosedSocket:
    # Guards against a listener that ends when the connection that it chose closes meanwhile.
    def test_a_socket_that_has_been_closed_raises_nothing(self) -> None:
        ours, theirs = socket.socketpair()
        with theirs:
            assert not has_unread_bytes(ours)
            ours.close()
            assert has_unread_bytes(ours)


class TestClosedToNewConnections:
    # Guards against a stop that takes the first request of a connection that was just opened.
    def test_an_opening_packet_is_dropped_and_requests_arrive(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with socket.create_connection(listener.getsockname()) as early, socket.socket() as late:
                drop_new_connections(listener)
                early.sendall(b"request")
                late.settimeout(0.2)
                with pytest.raises(TimeoutError):
                    late.connect(listener.getsockname())
                accepted, _ = listener.accept()
                with accepted:
                    assert accepted.recv(7) == b"request"
