"""What the kernel is told and asked about a connection."""

from __future__ import annotations

import contextlib
import ctypes
import select
import socket
import struct

MS_PER_SECOND = 1_000
# Lets a body of the largest legal size arrive within seconds on a link with a delay of 20 ms.
WIDE_RECEIVE_BUFFER_BYTES = 128 * 1024
# The kernel holds up to so many times the size that it is asked for.
KERNEL_FACTOR = 2
WIDE_ROOM_BYTES = KERNEL_FACTOR * WIDE_RECEIVE_BUFFER_BYTES
# ``tcpi_bytes_received`` in the ``tcp_info`` of Linux, which only ever grows at its end.
_BYTES_RECEIVED = struct.Struct("=Q")
_BYTES_RECEIVED_OFFSET = 128
_TCP_INFO_BYTES = _BYTES_RECEIVED_OFFSET + _BYTES_RECEIVED.size
# Of Linux; the module ``socket`` does not name it on all architectures.
_SO_ATTACH_FILTER = 26
# Instructions of a ``sock_filter``: code, jumps if true and if false, and operand.
_FILTER_INSTRUCTION = struct.Struct("=HBBI")
_TCP_FLAGS_OFFSET = 13
_TCP_SYN = 0x02
_TCP_ACK = 0x10
# Drops the packet that opens a connection, and keeps all others.
_DROP_OPENING = [
    (0x30, 0, 0, _TCP_FLAGS_OFFSET),  # load a byte of the header
    (0x54, 0, 0, _TCP_SYN | _TCP_ACK),  # and
    (0x15, 0, 1, _TCP_SYN),  # jump if equal
    (0x06, 0, 0, 0),  # return 0: keep nothing
    (0x06, 0, 0, 0xFFFF_FFFF),  # return: keep all
]
_DROP_OPENING_PROGRAM = ctypes.create_string_buffer(
    b"".join(_FILTER_INSTRUCTION.pack(*instruction) for instruction in _DROP_OPENING)
)
# The structure ``sock_fprog``: the count of instructions and their address.
_SOCK_FPROG = struct.Struct("HP")


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes have arrived that were not received, or either end has closed."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLIN)
    except ValueError:
        # Another thread has closed the socket.
        return True
    return bool(poller.poll(0))


def count_received_bytes(sock: socket.socket) -> int | None:
    """Return how many bytes of the stream have arrived in all, ``None`` if the system can't tell.

    Unlike a receive this does not release the interpreter, so no time passes with the answer.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < _TCP_INFO_BYTES:
        return None
    (count,) = _BYTES_RECEIVED.unpack_from(info, _BYTES_RECEIVED_OFFSET)
    return int(count)


def drop_new_connections(listener: socket.socket) -> None:
    """Let the kernel begin to open no more connections; those begun can be accepted once open.

    Their callers send the opening packet again, after a second as a rule, and are refused once the
    listener is closed. A system that does not support this goes on opening connections.
    """
    program = _SOCK_FPROG.pack(len(_DROP_OPENING), ctypes.addressof(_DROP_OPENING_PROGRAM))
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def set_receive_buffer(sock: socket.socket, size_bytes: int) -> None:
    """Bound what the kernel holds unread, to ``KERNEL_FACTOR`` times this.

    Without the clamp, older kernels keep to the window with which the connection began. A smaller
    bound holds once what has arrived is received; with large segments, as on loopback, senders then
    wait long between them. What a system does not support is left as it is.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size_bytes * KERNEL_FACTOR)


def set_receive_timeout(sock: socket.socket, timeout_ms: float) -> None:
    """Set the kernel's receive timeout, which needs no system call before each receive."""
    seconds, rest_ms = divmod(int(timeout_ms), MS_PER_SECOND)
    value = struct.pack("ll", seconds, rest_ms * 1_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
