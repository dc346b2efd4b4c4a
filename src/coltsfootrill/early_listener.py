"""The socket for callers, opened before the rest of the program is loaded.

Loading takes a few hundred milliseconds. Callers that return meanwhile would be refused by a closed
port, which uses up their retries; on an open port they wait. Imports only the standard library.
"""

from __future__ import annotations

import configparser
import socket
from pathlib import Path

BACKLOG = 512


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens for callers; raise ``OSError`` if the address is not free."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG)


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
