"""Stand-in of an endpoint and of a consumer, as the pages describe them."""

from __future__ import annotations

import http.client
import itertools
import json
import random
import socket
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any

from fleet import Fleet
from fleet import Record

HEARTBEAT_INTERVAL_S = 1.5
DEFAULT_WORK_MS = 50.0


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        # The caller has closed the connection.
        pass


class Endpoint:
    """One endpoint; the time of its work is the ``work`` of the request's query, in ms."""

    def __init__(
        self, fleet: Fleet, record: Record, name: str, service: str, zone: str, *, slots: int = 3
    ) -> None:
        self.id = name
        self.record = record
        self.slots = slots
        self._fleet = fleet
        self._service = service
        self._zone = zone
        self._born = time.time_ns() // 1_000_000
        self._sequence = itertools.count()
        self._running = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.in_flight = 0
        self.runs: list[str] = []
        self._stopped = threading.Event()
        endpoint = self

        class Handler(_Handler):
            owner = endpoint

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self) -> None:
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def run(self, attempt_id: str, work_ms: float) -> None:
        with self.lock:
            self.runs.append(attempt_id)
            self.in_flight += 1
        try:
            with self._running:
                time.sleep(work_ms / 1000)
        finally:
            with self.lock:
                self.in_flight -= 1

    def describe_load(self) -> str:
        with self.lock:
            running = min(self.in_flight, self.slots)
            return f"{running},{self.in_flight - running},{self.slots},100"

    def _beat(self) -> None:
        while not self._stopped.is_set():
            self._send_heartbeat()
            self._stopped.wait(HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self) -> None:
        body = {
            "address": self.address,
            "born": self._born,
            "serverInfo": {
                "service": self._service,
                "version": "v1",
                "zone": self._zone,
                "concurrency": self.slots,
            },
            "status": {
                "state": "ready",
                "sequence": next(self._sequence),
                "coldRemainingMs": 0,
            },
        }
        path = f"/Instances.Heartbeat/{self.id}"
        headers = {"Content-Type": "application/json"}
        for node in random.sample(self._fleet.nodes, len(self._fleet.nodes)):
            raw = json.dumps(body).encode()
            status, _ = node.call("interface", "POST", path, raw, headers, timeout_s=1.0)
            if 200 <= status < 300:
                return


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    owner: Endpoint

    def log_message(self, *args: Any) -> None:
        pass

    def do_GET(self) -> None:
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        if len(body) < length:
            # The request was cut off, so it is not run.
            self.close_connection = True
            return
        if self.path == "/health":
            self._answer(200, b"", {"X-Instance-Identifier": self.owner.id})
            return
        if self.headers.get("X-Expected-Instance", self.owner.id) != self.owner.id:
            self._answer(421, b"", {"X-Not-Executed": "1"})
            return
        attempt_id = self.headers.get("X-Attempt-Id", "")
        if not attempt_id:
            self._answer(400, b"", {"X-Not-Executed": "1"})
            return
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
        work_ms = float(query.get("work", [DEFAULT_WORK_MS])[0])
        self.owner.record.write(
            f"endpoint {self.owner.id} runs {attempt_id}: {self.command} with {len(body)} bytes"
        )
        self.owner.run(attempt_id, work_ms)
        answer = f"{self.owner.id} ran {attempt_id}".encode()
        headers = {"X-Attempt-Id": attempt_id, "X-Server-Signature": f"sig.{attempt_id}"}
        self._answer(200, answer, headers)

    do_POST = do_GET
    do_DELETE = do_GET

    def _answer(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("X-Server-Load", self.owner.describe_load())
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Consumer:
    """A consumer with one kept connection to one node."""

    _numbers = itertools.count(1)

    def __init__(self, record: Record, host: str, port: int, name: str) -> None:
        self._record = record
        self._name = name
        self._address = (host, port)
        self._connection: http.client.HTTPConnection | None = None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def send(
        self, method: str, path: str, body: bytes = b"", *, deadline_ms: int = 3000
    ) -> tuple[str, int]:
        """Send one request; return its attempt id and the status, 0 without an answer."""
        attempt_id = f"{self._name}-{next(self._numbers):05d}"
        headers = {
            "Host": "rota.example",
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Milliseconds": str(deadline_ms),
        }
        status, note = 0, ""
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    *self._address, timeout=deadline_ms / 1000 + 1
                )
                self._connection.connect()
                assert self._connection.sock is not None
                self._connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connection.request(method, path, body=body or None, headers=headers)
            response = self._connection.getresponse()
            answer = response.read()
            status = response.status
            note = answer[:80].decode("latin-1")
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            note = f"no answer: {type(error).__name__}"
            self.close()
        self._record.write(f"consumer sent {attempt_id} {method} {path}: {status} {note}")
        return attempt_id, status
