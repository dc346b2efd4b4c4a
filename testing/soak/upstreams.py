"""Fake upstreams that send heartbeats, answer requests, inject faults and leave."""

from __future__ import annotations

import json
import socket
import threading
import time
from random import Random
from typing import Literal

from testing.nodes import Node
from testing.soak.cold import COLD_MS
from testing.soak.cold import ColdJudge
from testing.soak.evacuations import find_zone
from testing.soak.history import History
from testing.soak.history import Run
from testing.soak.history import make_body
from testing.soak.history import now_ms
from testing.soak.proxy import FaultProxy
from testing.soak.proxy import accept_all

# How an upstream leaves. ``drain`` sends a heartbeat that says so and ``deregister`` the call that
# deregisters it; ``call-off`` starts again and deregisters before that start has been heard of.
Departure = Literal["drain", "deregister", "call-off"]
DEPARTURES: tuple[Departure, ...] = ("drain", "deregister", "call-off")
Behaviour = Literal["good", "shed", "full", "close", "hang", "fail", "extra-answer", "late-copy"]
HEARTBEAT_INTERVAL_S = 0.5
SLOTS = 3
# Requests are refused while this many are in progress.
IN_FLIGHT_MAX_COUNT = 2 * SLOTS
IN_FLIGHT_MAX_COUNT_BY_BEHAVIOUR: dict[Behaviour, int] = {"shed": 0, "full": 1, "late-copy": 2}
WORK_TIME_S = 0.02
HANG_TIME_S = 1.5
SERVE_AFTER_LEAVING_S = 3.0
# Upstreams call the next node after a second without an answer.
CALL_TIMEOUT_S = 1.0
CALLED_NODES_COUNT = 2
LATE_HEARTBEAT_SHARE = 0.15
HEARTBEAT_LATE_MIN_S = 1.0
HEARTBEAT_LATE_MAX_S = 4.0
CALL_OFF_AFTER_MAX_S = 0.8
# Longer than its heartbeat may be late.
SERVE_AFTER_CALL_OFF_S = 5.0
HEADER_END = b"\r\n\r\n"


class Lifetime:
    """What identifies an upstream from its start until it ends or crashes."""

    __slots__ = ("born_ms", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.born_ms = time.time_ns() // 1_000_000


class AnswerWriter:
    """Writes the answers of one connection, and copies of them where the next answer is due."""

    __slots__ = ("_copy", "_sock")

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._copy = b""

    def start_next(self) -> None:
        """Write the copy of the answer before, if any, once the next request has arrived."""
        copy, self._copy = self._copy, b""
        self._sock.sendall(copy)

    def write(self, answer: bytes, *, is_copied: bool = False) -> None:
        """Write an answer; with ``is_copied`` it is written again after the next request."""
        self._sock.sendall(answer)
        self._copy = answer if is_copied else b""


class SoakUpstream:
    """One upstream behind a fault proxy of its own; ``behaviour`` is how it answers requests.

    ``shed`` refuses requests, ``full`` those beyond one at a time, ``close`` closes the connection
    after running a request, ``hang`` answers after the callers' deadline, ``fail`` answers with
    status 500, and ``extra-answer`` sends each answer twice. ``late-copy`` refuses as ``full`` does
    and writes each answer and refusal again where the next one on its connection is due.
    Some heartbeats arrive seconds late, also after others. Without ``has_heartbeats`` there are
    none until it leaves.
    """

    def __init__(
        self,
        name: str,
        service: str,
        nodes: list[Node],
        history: History,
        random: Random,
        *,
        has_heartbeats: bool = True,
    ) -> None:
        self.service = service
        self._nodes = nodes
        self._history = history
        self._random = random
        self.behaviour: Behaviour = "good"
        self._lifetime = Lifetime(name)
        self._cold_until_ms = 0.0
        self._sequence = 0
        self._in_flight = 0
        self._is_leaving = False
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.proxy = FaultProxy(("127.0.0.1", self._listener.getsockname()[1]))
        accept_all(self._listener, self._serve)
        if has_heartbeats:
            threading.Thread(target=self._run_heartbeats, daemon=True).start()

    @property
    def name(self) -> str:
        """Return the identifier."""
        return self._lifetime.name

    def restart(self, name: str, *, is_crash: bool) -> bool:
        """Start again at the same address under ``name``, which may be the same one.

        Nothing announces the end of the former lifetime, so its lease continues for a while. A
        crash resets all connections; otherwise, as with a process in front that stays, connections
        are kept and requests in progress end normally. Return whether it restarted, which it
        doesn't while it leaves.
        """
        with self._lock:
            if self._is_leaving:
                return False
            self._lifetime = Lifetime(name)
        if is_crash:
            self.proxy.reset_all()
        self._send_heartbeat("ready")
        return True

    def become_cold(self, judge: ColdJudge) -> None:
        """Be cold for ``COLD_MS``, which health checks and the next heartbeats state."""
        self._cold_until_ms = now_ms() + COLD_MS
        judge.record(self.name)

    def _get_cold_ms(self) -> int:
        return max(0, int(self._cold_until_ms - now_ms()))

    def leave(self, departure: Departure = "drain") -> None:
        """Announce the departure until it is acknowledged, serve a little longer, then close."""
        with self._lock:
            self._is_leaving = True
        is_call_off = departure == "call-off"
        if is_call_off:
            self._lifetime = Lifetime(self.name)
            self._send_late_heartbeat()
            self._closed.wait(self._random.uniform(0.0, CALL_OFF_AFTER_MAX_S))
        states_born = self._random.random() < 0.5
        while not self._closed.is_set():
            if (
                self._send_heartbeat("draining")
                if departure == "drain"
                else self._deregister(states_born=states_born)
            ):
                self._history.record_departure(self.name)
                self._closed.wait(SERVE_AFTER_CALL_OFF_S if is_call_off else SERVE_AFTER_LEAVING_S)
                break
            self._closed.wait(0.1)
        self.close()

    def close(self) -> None:
        if self._closed.is_set():
            return
        self._closed.set()
        self._listener.close()
        self.proxy.close()

    def _run_heartbeats(self) -> None:
        while not self._closed.wait(HEARTBEAT_INTERVAL_S * self._random.uniform(0.8, 1.2)):
            if self._is_leaving:
                continue
            if self._random.random() < LATE_HEARTBEAT_SHARE:
                # It is not acknowledged in time, so the next one follows.
                self._send_late_heartbeat()
            self._send_heartbeat("ready")

    def _send_heartbeat(self, state: str) -> bool:
        """Send one heartbeat; return whether it was accepted."""
        return self._call(f"/Instances.Heartbeat/{self.name}", self._make_heartbeat(state))

    def _send_late_heartbeat(self) -> None:
        """Send a heartbeat of now that arrives seconds later, whatever happens until then."""
        path = f"/Instances.Heartbeat/{self.name}"
        body = self._make_heartbeat("ready")
        late_s = self._random.uniform(HEARTBEAT_LATE_MIN_S, HEARTBEAT_LATE_MAX_S)

        def deliver() -> None:
            time.sleep(late_s)
            self._call(path, body)

        threading.Thread(target=deliver, daemon=True).start()

    def _deregister(self, *, states_born: bool) -> bool:
        """Deregister; return whether it was acknowledged."""
        body = json.dumps({"born": self._lifetime.born_ms}).encode() if states_born else b""
        return self._call(f"/Instances.Deregister/{self.name}", body)

    def _call(self, path: str, body: bytes) -> bool:
        """Call a random node and, if that does not answer in time, another one."""
        return any(
            node.call("interface", "POST", path, body, timeout_s=CALL_TIMEOUT_S)[0] == 200
            for node in self._random.sample(self._nodes, CALLED_NODES_COUNT)
        )

    def _make_heartbeat(self, state: str) -> bytes:
        self._sequence += 1
        lifetime = self._lifetime
        body = {
            "address": self.proxy.address,
            "serverInfo": {
                "service": self.service,
                "version": "v1",
                "zone": find_zone(lifetime.name),
                "concurrency": SLOTS,
            },
            "status": {
                "state": state,
                "sequence": self._sequence,
                "coldRemainingMs": self._get_cold_ms(),
            },
            "born": lifetime.born_ms,
        }
        return json.dumps(body).encode()

    def _serve(self, sock: socket.socket) -> None:
        writer = AnswerWriter(sock)
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
                writer.start_next()
                if not self._answer(writer, head):
                    return
        except OSError:
            return
        finally:
            sock.close()

    def _answer(self, writer: AnswerWriter, head: bytes) -> bool:
        """Answer one request; return whether to keep the connection open."""
        load = f"x-server-load: {self._in_flight},0,{SLOTS},100\r\n"
        if head.startswith(b"GET /health"):
            cold = f"x-cold-milliseconds: {self._get_cold_ms()}\r\n"
            extra = f"x-instance-identifier: {self.name}\r\n{cold}{load}"
            writer.write(_encode("200 OK", b"", extra))
            return True
        behaviour = self.behaviour
        is_copied = behaviour == "late-copy"
        request_id = _get_header(head, b"x-attempt-id").decode()
        extra = f"x-attempt-id: {request_id}\r\n{load}"
        if _get_header(head, b"x-expected-instance").decode() != self.name:
            writer.write(_encode("421 Misdirected Request", b"", extra), is_copied=is_copied)
            return True
        if self._in_flight >= IN_FLIGHT_MAX_COUNT_BY_BEHAVIOUR.get(behaviour, IN_FLIGHT_MAX_COUNT):
            self._history.record_run(Run(request_id, self.name, is_executed=False))
            extra += "x-not-executed: 1\r\n"
            writer.write(_encode("503 Service Unavailable", b"", extra), is_copied=is_copied)
            return True
        self._history.record_run(Run(request_id, self.name, is_executed=True))
        return self._work(writer, request_id, extra + "x-server-signature: s\r\n")

    def _work(self, writer: AnswerWriter, request_id: str, extra: str) -> bool:
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
        if behaviour == "extra-answer":
            answer *= 2
        writer.write(answer, is_copied=behaviour == "late-copy")
        return True


def _get_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def _encode(status: str, body: bytes, extra: str) -> bytes:
    return f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{extra}\r\n".encode() + body
