"""A stand-in for an endpoint: it sends heartbeats and answers requests as the pages say."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable

from fleet import Fleet

HEARTBEAT_S = 1.0
HEADER_END = b"\r\n\r\n"


class Request:
    """A request that has been read whole."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("x-attempt-id", "")


def encode(status: str, body: bytes, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Upstream:
    """One endpoint. ``work`` answers a request on its socket; it returns whether to keep it."""

    def __init__(
        self,
        fleet: Fleet,
        upstream_id: str,
        service: str,
        *,
        slots: int = 3,
        zone: str = "zone-1",
        work: Callable[[Upstream, socket.socket, Request], bool] | None = None,
        host: str = "127.0.62.1",
    ) -> None:
        self.fleet = fleet
        self.id = upstream_id
        self.service = service
        self.slots = slots
        self.zone = zone
        self.work = work or Upstream.answer_soundly
        self.work_s = 0.02
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.born = time.time_ns() // 1_000_000
        self.lock = threading.Lock()
        self.arrivals: list[tuple[float, Request]] = []
        self.closed = threading.Event()
        self.listener = socket.create_server((host, 0), backlog=512)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.next_node = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def start(self) -> None:
        threading.Thread(target=self._run_heartbeats, daemon=True).start()

    def close(self) -> None:
        self.closed.set()
        self.listener.close()

    def send_heartbeat(self, node: int | None = None) -> int:
        self.sequence += 1
        body = {
            "address": self.address,
            "born": self.born,
            "serverInfo": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "concurrency": self.slots,
            },
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0},
        }
        nodes = self.fleet.nodes
        for offset in range(len(nodes)):
            target = nodes[((self.next_node if node is None else node) + offset) % len(nodes)]
            status, _ = target.call(
                "interface",
                "POST",
                f"/Instances.Heartbeat/{self.id}",
                json.dumps(body).encode(),
                {"Content-Type": "application/json"},
                1.0,
            )
            if status == 200:
                return status
        return 0

    def load(self) -> str:
        return f"{self.running},0,{self.slots},100"

    def answer_soundly(self, sock: socket.socket, request: Request) -> bool:
        with self.lock:
            self.running += 1
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        sock.sendall(self.encode_answer(request, request.id.encode()))
        return True

    def encode_answer(self, request: Request, body: bytes, **extra: str) -> bytes:
        headers = {
            "X-Attempt-Id": request.id,
            "X-Server-Signature": f"{self.id}.{request.id}.{len(body)}",
            "X-Server-Load": self.load(),
            "Keep-Alive": "timeout=10",
        }
        return encode("200 OK", body, headers | extra)

    def _run_heartbeats(self) -> None:
        while not self.closed.is_set():
            self.send_heartbeat()
            self.next_node += 1
            self.closed.wait(HEARTBEAT_S)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        try:
            while True:
                while HEADER_END not in data:
                    received = sock.recv(65536)
                    if not received:
                        return
                    data += received
                head, _, data = data.partition(HEADER_END)
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                length = int(headers.get("content-length", "0"))
                while len(data) < length:
                    received = sock.recv(65536)
                    if not received:
                        return
                    data += received
                body, data = data[:length], data[length:]
                request = Request(method, target, headers, body)
                if target.startswith("/health"):
                    extra = {"X-Instance-Identifier": self.id, "X-Server-Load": self.load()}
                    sock.sendall(encode("200 OK", b"", extra))
                    continue
                if headers.get("x-expected-instance", self.id) != self.id:
                    sock.sendall(
                        encode("421 Misdirected Request", b"", {"X-Attempt-Id": request.id})
                    )
                    continue
                with self.lock:
                    self.arrivals.append((time.monotonic(), request))
                if not self.work(self, sock, request):
                    return
        except OSError:
            return
        finally:
            sock.close()
