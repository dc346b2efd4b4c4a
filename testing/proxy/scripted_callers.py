"""Callers that pipeline, and a handler that ends each request when and how it is told."""

from __future__ import annotations

import re
import select
import socket
import struct
import threading
from collections.abc import Container
from collections.abc import Sequence
from queue import SimpleQueue

from coltsfootrill.proxy.caller_request import CallerRequest
from coltsfootrill.proxy.outcome import Answer

# More than the buffers of a connection hold, so that its writer waits until the caller reads.
LARGE_BYTES = 6 * 1024 * 1024
# Large enough for a share of the budget for bodies.
BODY_BYTES = 100_000
ANSWER_WITHIN_S = 5.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HANDLER_POLL_MS = 5
_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


class RequestInHand:
    """A request that waits in the handler until ``how`` is set."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.how = ""
        self.ends = threading.Event()


class ScriptedHandler:
    """Answers a request with its path; ``how`` is answer, large, raise or unencodable.

    Like the proxy it lets the next request be read while one waits, and ends a request whose
    caller has disconnected.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._waiting: list[RequestInHand] = []
        self.ends_all = False
        self.failed_paths: set[str] = set()

    def __call__(self, request: CallerRequest) -> Answer:
        if request.refusal is not None:
            return _make_answer("503 Service Unavailable", request.path)
        in_hand = RequestInHand(request.path)
        with self._lock:
            self._waiting.append(in_hand)
        while not in_hand.ends.is_set() and not self.ends_all:
            if self._has_disconnected(request):
                return _make_answer("499 Client Closed Request", request.path)
        return self._end(in_hand)

    def end(self, index: int, how: str) -> None:
        """End one of the requests that wait, if there is any."""
        with self._lock:
            if not self._waiting:
                return
            in_hand = self._waiting.pop(index % len(self._waiting))
            if how in ("raise", "unencodable"):
                self.failed_paths.add(in_hand.path)
        in_hand.how = how
        in_hand.ends.set()

    def _has_disconnected(self, request: CallerRequest) -> bool:
        poller = select.poll()
        poller.register(request.monitor.fileno(), request.monitor.events)
        events = poller.poll(HANDLER_POLL_MS)
        return any(request.monitor.handle_event(event) for _, event in events)

    def _end(self, in_hand: RequestInHand) -> Answer:
        if in_hand.how == "raise":
            raise ValueError("this request fails")
        answer = _make_answer("200 OK", in_hand.path)
        if in_hand.how == "unencodable":
            answer.headers.append(("X-Price", "\N{EURO SIGN}"))
        elif in_hand.how == "large":
            answer.body += b"." * LARGE_BYTES
        return answer


class ScriptedCaller:
    """A caller that checks what it reads: whole answers to its own requests, in their order."""

    def __init__(self, name: str, port: int) -> None:
        self._sock = socket.create_connection(("127.0.0.1", port))
        self._sock.settimeout(ANSWER_WITHIN_S)
        self.is_open = True
        self.may_send = True
        self.paths: list[str] = []
        self._name = name
        self._expecting: set[str] = set()
        self._withheld = b""
        self._received = bytearray()
        self._has_ended = False
        self._to_send: SimpleQueue[bytes | None] = SimpleQueue()
        threading.Thread(target=self._run_sender, daemon=True).start()

    def send(self, kinds: Sequence[str]) -> None:
        """Send requests of the kinds plain, body and expect.

        If the last one expects to be asked for its body, that is withheld until the next call.
        """
        data = self._withheld
        self._withheld = b""
        for kind in kinds:
            path = f"/{self._name}/{len(self.paths)}"
            self.paths.append(path)
            data += self._withheld + _encode_head(path, kind)
            self._withheld = b"" if kind == "plain" else b"b" * BODY_BYTES
            if kind == "expect":
                self._expecting.add(path)
        if kinds and kinds[-1] != "expect":
            data += self._withheld
            self._withheld = b""
        self._to_send.put(data)

    def close_half(self) -> None:
        """Send the rest, and then the end of the stream."""
        self.send(())
        self._to_send.put(None)
        self.may_send = False

    def close(self, *, has_reset: bool = False) -> None:
        """Leave without reading the rest."""
        if has_reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.is_open = False
        self._to_send.put(None)
        self._sock.close()

    def read_available(self) -> None:
        """Read what has arrived."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        while not self._has_ended and poller.poll(0):
            self._read()

    def read_rest(self, *, failed_paths: Container[str] = ()) -> None:
        """Read until all requests are answered or the stream ends; fail if neither happens."""
        while not self._has_ended:
            count = self.count_answers(may_be_cut=True, failed_paths=failed_paths)
            if count == len(self.paths):
                return
            self._read()

    def count_answers(self, *, may_be_cut: bool, failed_paths: Container[str] = ()) -> int:
        """Check all that was read, and return how many requests are answered."""
        data = bytes(self._received)
        count = 0
        while data:
            assert count < len(self.paths), "an answer without a request"
            path = self.paths[count]
            if data.startswith(CONTINUE):
                assert path in self._expecting, f"100 Continue in place of the answer to {path}"
                data = data.removeprefix(CONTINUE)
                continue
            head, end, rest = data.partition(b"\r\n\r\n")
            length = _LENGTH.search(head)
            if not end or length is None or len(rest) < int(length[1]):
                assert may_be_cut, f"the answer to {path} is not whole"
                break
            body, data = rest[: int(length[1])], rest[int(length[1]) :]
            if not head.startswith(b"HTTP/1.1 500") or path not in failed_paths:
                assert body.rstrip(b".") == path.encode(), f"another answer in place of {path}"
            assert not (data and b"connection: close" in head.lower()), "more after the last answer"
            count += 1
        return count

    def _read(self) -> None:
        try:
            data = self._sock.recv(1024 * 1024)
        except ConnectionError:
            data = b""
        self._received += data
        self._has_ended = not data

    def _run_sender(self) -> None:
        try:
            while (data := self._to_send.get()) is not None:
                self._sock.sendall(data)
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            # Either end has closed the connection.
            return


def _make_answer(status: str, path: str) -> Answer:
    return Answer(status=status, headers=[], body=path.encode(), outcome="answered")


def _encode_head(path: str, kind: str) -> bytes:
    if kind == "plain":
        return f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    extra = "Expect: 100-continue\r\n" if kind == "expect" else ""
    length = f"Content-Length: {BODY_BYTES}\r\n"
    return f"POST {path} HTTP/1.1\r\nHost: a\r\n{length}{extra}\r\n".encode()
