"""Fake upstreams with slots, a queue, and the faults that traces request.

One process runs many of them, each on its own port, and therefore uses asyncio; the load balancer
itself does not.
"""

from __future__ import annotations

import asyncio
import json
import time
from random import Random
from typing import Any
from typing import Literal

from coltsfootrill.errors import ColtsfootrillError

# - straggle: work takes ``factor`` times as long
# - fail-fast: status 500 at once
# - shed: status 503 at once, marked as shed
# - silent: no answers on the connections that are open now
# - lie: reports 0 requests in flight
# - short: ends the connection before the answer is complete
# - surplus: sends a second answer that was not requested
# - leave: announces that it is leaving, and still answers
# - crash: aborts all connections and stops listening
Behaviour = Literal[
    "normal", "straggle", "fail-fast", "shed", "silent", "lie", "short", "surplus", "leave", "crash"
]

ANNOUNCE_INTERVAL_S = 0.8
QUEUE_MAX_COUNT = 6
# A request whose path ends with this suffix is answered at once, to measure the added latency.
INSTANT_SUFFIX = "/instant"


class FakeRequestError(ColtsfootrillError):
    """A fake upstream received a malformed HTTP request head."""


class FakeUpstream:
    """One fake upstream; ``runs_by_request`` counts how often it ran each request."""

    def __init__(
        self, upstream_id: str, service_id: str, *, zone: str, port: int, work_ms: float, seed: int
    ) -> None:
        self.id = upstream_id
        self.service_id = service_id
        self.zone = zone
        self.port = port
        self.work_ms = work_ms
        self.slots = 3
        self.behaviour: Behaviour = "normal"
        self.factor = 1.0
        self.state = "serving"
        self.incarnation = time.time_ns() // 1_000_000
        self.sequence = 0
        self.in_flight = 0
        self.work_after_leaving_ms = 0.0
        self.left_at_s: float | None = None
        self.probes = 0
        self.runs_by_request: dict[str, int] = {}
        self._random = Random(f"{seed}-{upstream_id}")
        self._slots = asyncio.Semaphore(self.slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the port of this upstream."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def set_behaviour(self, behaviour: Behaviour, factor: float) -> None:
        """Change the behaviour; ``factor`` multiplies the work time of a straggler.

        ``silent`` affects only the connections that are open now, not later ones.
        """
        self.behaviour = behaviour
        self.factor = factor
        if behaviour == "silent":
            self._silent_writers |= self._writers
            self.behaviour = "normal"
        if behaviour == "leave":
            self.state = "leaving"
            self.left_at_s = time.monotonic()
            self.behaviour = "normal"
        if behaviour == "crash":
            self._crash()

    def make_announcement(self) -> dict[str, Any]:
        """Return the next announcement, with a higher sequence number."""
        self.sequence += 1
        return {
            "id": self.id,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "services": [self.service_id],
            "slots": self.slots,
            "state": self.state,
            "sent_at_ms": time.time_ns() // 1_000_000,
        }

    def _crash(self) -> None:
        self.state = "crashed"
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, FakeRequestError):
            pass
        finally:
            self._writers.discard(writer)
            self._silent_writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await _read_head(reader)
        if head is None:
            return False
        target, headers = head
        await reader.readexactly(int(headers.get("content-length", "0")))
        if writer in self._silent_writers:
            # No answer and no reset, as when a middlebox has dropped the connection state.
            await asyncio.sleep(60)
            return False
        if target == "/load":
            self.probes += 1
            writer.write(_encode_answer("200 OK", b"{}\n", []))
            return True
        return await self._answer(target, headers, writer)

    async def _answer(
        self, target: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        request_id = headers.get("request-id", "")
        if target.endswith(INSTANT_SUFFIX):
            return self._write_answer(target, request_id, writer)
        if self.behaviour == "fail-fast":
            writer.write(
                _encode_answer("500 Internal Server Error", b"failed", self._make_load_headers())
            )
            return True
        if self.behaviour == "shed" or self.in_flight >= self.slots + QUEUE_MAX_COUNT:
            extra = [("Upstream-Shed", "1"), *self._make_load_headers()]
            writer.write(_encode_answer("503 Service Unavailable", b"", extra))
            return True
        if self.left_at_s is not None:
            elapsed_ms = (time.monotonic() - self.left_at_s) * 1000
            self.work_after_leaving_ms = max(self.work_after_leaving_ms, elapsed_ms)
        self.in_flight += 1
        try:
            async with self._slots:
                self.runs_by_request[request_id] = self.runs_by_request.get(request_id, 0) + 1
                await asyncio.sleep(self._sample_work_s())
        finally:
            self.in_flight -= 1
        return self._write_answer(target, request_id, writer)

    def _write_answer(self, target: str, request_id: str, writer: asyncio.StreamWriter) -> bool:
        document = {"request": request_id, "upstream": self.id, "target": target, "pad": "x" * 400}
        answer = _encode_answer("200 OK", json.dumps(document).encode(), self._make_load_headers())
        if self.behaviour == "short":
            writer.write(answer[:-100])
            return False
        if self.behaviour == "surplus":
            answer += b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"
        writer.write(answer)
        return True

    def _sample_work_s(self) -> float:
        work_ms = self.work_ms * self._random.lognormvariate(0, 0.3)
        if self.behaviour == "straggle":
            work_ms *= self.factor
        return work_ms / 1000

    def _make_load_headers(self) -> list[tuple[str, str]]:
        in_flight = 0 if self.behaviour == "lie" else self.in_flight
        return [("Upstream-Load", f"in_flight={in_flight};slots={self.slots};state={self.state}")]


class FakeFleet:
    """The fake upstreams of one process, their announcements, and their control port.

    A replay changes the behaviour of the upstreams and reads their counts through that port.
    """

    def __init__(
        self, upstreams: list[FakeUpstream], *, announce_to: list[str], token: str, seed: int
    ) -> None:
        self._by_id = {upstream.id: upstream for upstream in upstreams}
        self._announce_to = announce_to
        self._token = token
        self._random = Random(seed)

    async def run(self, control_port: int, duration_s: float) -> None:
        """Run all upstreams and the control port for ``duration_s``."""
        for upstream in self._by_id.values():
            await upstream.start()
        control = await asyncio.start_server(self._serve_control, "127.0.0.1", control_port)
        tasks = [
            asyncio.create_task(self._announce_periodically(upstream))
            for upstream in self._by_id.values()
        ]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        control.close()

    async def _announce_periodically(self, upstream: FakeUpstream) -> None:
        await asyncio.sleep(self._random.random() * ANNOUNCE_INTERVAL_S / 2)
        is_leaving_acknowledged = False
        while not is_leaving_acknowledged:
            # The state may change during the announcement; the checks below need the announced one.
            state = upstream.state
            if state != "crashed":
                is_acknowledged = await self._announce(upstream)
                is_leaving_acknowledged = is_acknowledged and state == "leaving"
            end_s = time.monotonic() + ANNOUNCE_INTERVAL_S
            while time.monotonic() < end_s and upstream.state == state:
                await asyncio.sleep(0.02)

    async def _announce(self, upstream: FakeUpstream) -> bool:
        """Announce to a random instance; return whether it acknowledged the announcement.

        The random choice stands for the platform's own balancer in front of the instances.
        """
        host, _, port = self._random.choice(self._announce_to).rpartition(":")
        body = json.dumps(upstream.make_announcement()).encode()
        head = (
            f"POST /announcements HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n"
            f"authorization: Bearer {self._token}\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + body)
                status = await reader.readline()
                writer.close()
                return b" 200 " in status
        except (OSError, TimeoutError):
            return False

    async def _serve_control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await _read_head(reader)
            if head is not None:
                target, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = self._handle_control(target, json.loads(body) if body else {})
                writer.write(_encode_answer("200 OK", json.dumps(answer).encode(), []))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, FakeRequestError, ValueError, KeyError):
            pass
        finally:
            writer.close()

    def _handle_control(self, target: str, command: dict[str, Any]) -> Any:
        if target == "/behave":
            upstream = self._by_id.get(command["upstream"])
            if upstream is not None:
                upstream.set_behaviour(command["behaviour"], float(command.get("factor", 1.0)))
            return {"known": upstream is not None}
        return {
            upstream.id: {
                "address": f"127.0.0.1:{upstream.port}",
                "service": upstream.service_id,
                "runs": upstream.runs_by_request,
                "probes": upstream.probes,
                "in_flight": upstream.in_flight,
                "work_after_leaving_ms": upstream.work_after_leaving_ms,
                "state": upstream.state,
            }
            for upstream in self._by_id.values()
        }


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    except asyncio.LimitOverrunError as error:
        raise FakeRequestError("the request head is too long") from error
    lines = raw.decode("latin-1").split("\r\n")
    parts = lines[0].split(" ")
    if len(parts) != 3:
        raise FakeRequestError(f"{lines[0]!r} is not an HTTP request line")
    headers: dict[str, str] = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return parts[1], headers


def _encode_answer(status: str, body: bytes, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"content-length: {len(body)}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
