"""The socket for callers, opened before the rest of the program is loaded.

Loading takes a few hundred milliseconds. Callers that return meanwhile would be refused by a closed
port, which uses up their retries; on an open port they wait. Imports only the standard library.
"""

from __future__ import annotations

import configparser
import socket
from pathlib import Path

BACKLOG = 512
# The kernel holds up to twice that of bytes that have arrived and were not received.
RECEIVE_BUFFER_BYTES = 6 * 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens for callers; raise ``OSError`` if the address is not free.

    Connections inherit its receive buffer, which bounds what callers send before they are accepted.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener


def open_from_settings(path: Path) -> socket.socket | None:
    """Return a socket for the callers' address in a settings file, ``None`` if that fails.

    The role reads the same file later and reports what is wrong with it or with the address.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        host, _, port = parser.get("callers", "listen").rpartition(":")
        return open_listener(host.strip("[]"), int(port))
    except (OSError, ValueError, OverflowError, configparser.Error):
        return None
