"""What the kernel is told and asked about a connection."""

from __future__ import annotations

import select
import socket
import struct

MS_PER_SECOND = 1_000


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes have arrived that were not received, or the other end has closed."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def set_receive_timeout(sock: socket.socket, timeout_ms: float) -> None:
    """Set the kernel's receive timeout, which needs no system call before each receive."""
    seconds, rest_ms = divmod(int(timeout_ms), MS_PER_SECOND)
    value = struct.pack("ll", seconds, rest_ms * 1_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)
