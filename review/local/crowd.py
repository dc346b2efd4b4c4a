"""Consumers that the operators do not control: bodies of legal size that stop just short of their end.

Usage: crowd.py HOST PORT COUNT:BODY_BYTES ... Each of COUNT callers states a body of BODY_BYTES,
sends all of it but the last byte and stays open. One that is refused or closed returns at once.
"""

from __future__ import annotations

import errno
import itertools
import selectors
import socket
import sys
import time

PIECE = b"x" * 65_536
RETURN_S = 0.05
# Connections that are opened in one turn.
OPENED_MAX_COUNT = 40
_numbers = itertools.count(1)


class Caller:
    def __init__(self, address: tuple[str, int], body_bytes: int, host: str) -> None:
        self.address = address
        self.body_bytes = body_bytes
        self.host = host
        self.sock: socket.socket | None = None
        self.back_s = 0.0
        self.head = b""
        self.left = 0

    def open(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        code = self.sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            self.close()
            return
        self.head = (
            f"POST /orders/1 HTTP/1.1\r\nHost: {self.host}\r\nX-Attempt-Id: c{next(_numbers)}\r\n"
            f"X-Deadline-Milliseconds: 4000\r\nContent-Length: {self.body_bytes}\r\n\r\n"
        ).encode()
        self.left = self.body_bytes - 1

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.sock = None
        self.back_s = time.monotonic() + RETURN_S

    def send_some(self) -> None:
        assert self.sock is not None
        try:
            if self.head:
                self.head = self.head[self.sock.send(self.head) :]
            elif self.left:
                self.left -= self.sock.send(PIECE[: self.left])
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def receive(self) -> None:
        assert self.sock is not None
        try:
            if not self.sock.recv(65_536):
                self.close()
        except BlockingIOError:
            return
        except OSError:
            self.close()


def main() -> None:
    address = (sys.argv[1], int(sys.argv[2]))
    callers: list[Caller] = []
    for group in sys.argv[4:]:
        count, _, body_bytes = group.partition(":")
        callers += [Caller(address, int(body_bytes), sys.argv[3]) for _ in range(int(count))]
    selector = selectors.DefaultSelector()
    while True:
        opened = 0
        now_s = time.monotonic()
        for caller in callers:
            if caller.sock is None and now_s >= caller.back_s and opened < OPENED_MAX_COUNT:
                caller.open()
                opened += 1
                if caller.sock is not None:
                    events = selectors.EVENT_READ | selectors.EVENT_WRITE
                    selector.register(caller.sock, events, caller)
        for key, events in selector.select(0.02):
            caller = key.data
            sock = caller.sock
            if events & selectors.EVENT_READ:
                caller.receive()
            if caller.sock is not None and events & selectors.EVENT_WRITE:
                caller.send_some()
            if caller.sock is None:
                selector.unregister(sock)
            elif not caller.left and not caller.head:
                selector.modify(sock, selectors.EVENT_READ, caller)


if __name__ == "__main__":
    main()
