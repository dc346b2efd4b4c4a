"""Threads of stand-ins that serve connections."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable


def serve_in_thread(serve: Callable[[socket.socket], object], sock: socket.socket) -> None:
    """Serve a connection in a thread of its own; close it if the system has no thread left.

    The thread that accepts connections goes on, so that later ones are served.
    """
    try:
        threading.Thread(target=serve, args=(sock,), daemon=True).start()
    except RuntimeError:
        sock.close()
