"""A scripted upstream on a real socket, for tests of one connection or one instance."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

from testing.serving import serve_in_thread

Script = Callable[[socket.socket, bytes, int], bool]


class ScriptedUpstream:
    """Calls ``script(socket, head, number)`` for each request.

    The connection stays open if the script returns true.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self.heads: list[bytes] = []
        self.connections = 0
        self._sockets: list[socket.socket] = []
        self._is_listening = True
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def close(self) -> None:
        self._listener.close()
        for sock in self._sockets:
            sock.close()

    def stop_listening(self) -> None:
        """Refuse connections from now on, as when the process has ended."""
        self._is_listening = False
        # Closing alone would leave it open for as long as a thread waits in accept.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def listen_again(self) -> None:
        """Accept connections at the same address again, after ``stop_listening``."""
        if self._is_listening:
            return
        self._listener = socket.create_server(("127.0.0.1", self._port))
        self._is_listening = True
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.connections += 1
            self._sockets.append(sock)
            serve_in_thread(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            while True:
                head = _read_head(sock)
                if not head:
                    return
                self.heads.append(head)
                if not self._script(sock, head, len(self.heads)):
                    return
        except OSError:
            return
        finally:
            sock.close()


def read_all(sock: socket.socket) -> bytes:
    """Return all bytes until the other end closes."""
    data = b""
    while part := sock.recv(65_536):
        data += part
    return data


def _read_head(sock: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65_536)
        if not part:
            return b""
        data += part
    return data


def encode(body: bytes = b"hello", *, status: str = "200 OK", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{extra}\r\n".encode() + body


def answer(body: bytes = b"hello", *, status: str = "200 OK", extra: str = "") -> Script:
    def script(sock: socket.socket, head: bytes, number: int) -> bool:
        sock.sendall(encode(body, status=status, extra=extra))
        return True

    return script


def send_raw(data: bytes, *, keeps_open: bool = False) -> Script:
    def script(sock: socket.socket, head: bytes, number: int) -> bool:
        sock.sendall(data)
        return keeps_open

    return script


def stay_silent(seconds: float = 30.0) -> Script:
    def script(sock: socket.socket, head: bytes, number: int) -> bool:
        threading.Event().wait(seconds)
        return False

    return script
