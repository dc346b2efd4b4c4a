"""Fake upstreams that send heartbeats, answer requests, inject faults and leave."""

from __future__ import annotations

import json
import socket
import threading
import time
from random import Random
from typing import Literal

from testing.nodes import Node
from testing.soak.history import History
from testing.soak.history import Run
from testing.soak.history import make_body
from testing.soak.proxy import FaultProxy

Behaviour = Literal["good", "shed", "close", "hang", "fail", "extra-answer"]
HEARTBEAT_INTERVAL_S = 0.5
SLOTS = 3
WORK_TIME_S = 0.02
HANG_TIME_S = 1.5
SERVE_AFTER_LEAVING_S = 3.0
HEADER_END = b"\r\n\r\n"


class SoakUpstream:
    """One upstream behind a fault proxy of its own; ``behaviour`` is how it answers requests.

    ``shed`` refuses requests, ``close`` closes the connection after running a request, ``hang``
    answers after the callers' deadline, ``fail`` answers with status 500, and ``extra-answer``
    sends each answer twice.
    """

    def __init__(
        self, name: str, service: str, nodes: list[Node], history: History, random: Random
    ) -> None:
        self.name = name
        self._service = service
        self._nodes = nodes
        self._history = history
        self._random = random
        self.behaviour: Behaviour = "good"
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._in_flight = 0
        self._is_leaving = False
        self._closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.proxy = FaultProxy(("127.0.0.1", self._listener.getsockname()[1]))
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._run_heartbeats, daemon=True).start()

    def leave(self) -> None:
        """Announce the departure until it is acknowledged, serve a little longer, then close."""
        self._is_leaving = True
        while not self._closed.is_set():
            if self._send_heartbeat("draining"):
                self._history.record_departure(self.name)
                self._closed.wait(SERVE_AFTER_LEAVING_S)
                break
            self._closed.wait(0.1)
        self.close()

    def close(self) -> None:
        self._closed.set()
        self._listener.close()
        self.proxy.close()

    def _run_heartbeats(self) -> None:
        while not self._closed.wait(HEARTBEAT_INTERVAL_S * self._random.uniform(0.8, 1.2)):
            if not self._is_leaving:
                self._send_heartbeat("ready")

    def _send_heartbeat(self, state: str) -> bool:
        """Send one heartbeat to a random node; return whether it was accepted."""
        self._sequence += 1
        body = {
            "address": self.proxy.address,
            "serverInfo": {
                "service": self._service,
                "version": "v1",
                "zone": "z1",
                "concurrency": SLOTS,
            },
            "status": {"state": state, "sequence": self._sequence, "coldRemainingMs": 0},
            "born": self._born_ms,
        }
        node = self._random.choice(self._nodes)
        path = f"/Instances.Heartbeat/{self.name}"
        return node.call("interface", "POST", path, json.dumps(body).encode())[0] == 200

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        try:
            while True:
                while HEADER_END not in data:
                    received = sock.recv(65_536)
                    if not received:
                        return
                    data += received
                head, _, data = data.partition(HEADER_END)
                length = int(_get_header(head, b"content-length") or 0)
                while len(data) < length:
                    data += sock.recv(65_536)
                data = data[length:]
                if not self._answer(sock, head):
                    return
        except OSError:
            return
        finally:
            sock.close()

    def _answer(self, sock: socket.socket, head: bytes) -> bool:
        """Answer one request; return whether to keep the connection open."""
        load = f"x-server-load: {self._in_flight},0,{SLOTS},100\r\n"
        if head.startswith(b"GET /health"):
            extra = f"x-instance-identifier: {self.name}\r\n{load}"
            sock.sendall(_encode("200 OK", b"", extra))
            return True
        request_id = _get_header(head, b"x-attempt-id").decode()
        extra = f"x-attempt-id: {request_id}\r\n{load}"
        expected = _get_header(head, b"x-expected-instance").decode()
        if expected != self.name:
            sock.sendall(_encode("421 Misdirected Request", b"", extra))
            return True
        if self.behaviour == "shed" or self._in_flight >= 2 * SLOTS:
            self._history.record_run(Run(request_id, self.name, is_executed=False))
            extra += "x-not-executed: 1\r\n"
            sock.sendall(_encode("503 Service Unavailable", b"", extra))
            return True
        self._history.record_run(Run(request_id, self.name, is_executed=True))
        return self._work(sock, request_id, extra + "x-server-signature: s\r\n")

    def _work(self, sock: socket.socket, request_id: str, extra: str) -> bool:
        behaviour = self.behaviour
        self._in_flight += 1
        try:
            time.sleep(
                HANG_TIME_S if behaviour == "hang" else WORK_TIME_S * self._random.uniform(0.5, 2)
            )
        finally:
            self._in_flight -= 1
        if behaviour == "close":
            return False
        status = "500 Internal Server Error" if behaviour == "fail" else "200 OK"
        answer = _encode(status, make_body(request_id), extra)
        sock.sendall(answer * 2 if behaviour == "extra-answer" else answer)
        return True


def _get_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def _encode(status: str, body: bytes, extra: str) -> bytes:
    return f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{extra}\r\n".encode() + body
