"""Fake callers and a fake operator."""

from __future__ import annotations

import http.client
import itertools
import json
import math
import select
import socket
import threading
import time
from random import Random

from testing.nodes import Node
from testing.platform.test_desired_state import encode_state
from testing.platform.test_desired_state import route
from testing.soak.cold import SERVICES
from testing.soak.history import History
from testing.soak.history import Reply
from testing.soak.history import now_ms
from testing.soak.judge import ROUTES_KEPT_COUNT
from testing.soak.judge import ManifestJudge
from testing.soak.judge import Probe
from testing.soak.judge import list_routes
from testing.soak.kept import KeptJudge
from testing.soak.kept import read_end_ms
from testing.soak.proxy import LINGER_RESET
from testing.soak.proxy import FaultProxy

HOST = "a.example"
DEADLINE_MS = 1_200
PAUSE_MAX_S = 0.03
PROBE_PAUSE_MAX_S = 0.06
PROBE_TIMEOUT_S = 1.0
LEAVING_PAUSE_MAX_S = 0.3
LEAVE_AFTER_MAX_S = 0.1
PIPELINED_MIN_COUNT = 4
PIPELINED_MAX_COUNT = 8
RECEIVE_TIMEOUT_S = 4.0
FIRST_TRIES_COUNT = 40
# An operator calls another node when one has not answered for so long.
OPERATOR_TIMEOUT_S = 1.0
IDLE_TIMEOUTS_MS = (300, 500, 800)
# Shares of the idle timeout for which a connection is left idle.
IDLE_SHARES = ((0.75, 1.1), (0.99, 1.03))
LARGE_MANIFEST_SHARE = 0.3
LARGE_MANIFEST_ROUTES_COUNT = 4_000
ROUTES = [route(), route(name="r-2", pathPrefix="/y/", kind="safe", service="stock", timeoutMs=900)]
_request_ids = itertools.count(1)


def send_safe(node: Node, prefix: str, history: History) -> int:
    """Send a request that may be repeated to a node; return the status, 0 without an answer."""
    request_id = f"n{next(_request_ids)}"
    headers = {"Host": HOST, "X_Attempt_Id": request_id, "X_Deadline_Milliseconds": "300"}
    history.record_request(request_id, is_idempotent=True, node=node.host)
    path = prefix + request_id
    status, body = node.call("callers", "GET", path, timeout_s=PROBE_TIMEOUT_S, **headers)
    history.record_reply(request_id, Reply(status, body))
    return status


class Worker:
    """Acts again and again, after random pauses, in a thread of its own."""

    pause_min_s = 0.0
    pause_max_s = PAUSE_MAX_S

    def __init__(self, random: Random) -> None:
        self._random = random
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(self._random.uniform(self.pause_min_s, self.pause_max_s)):
            self._act()

    def _act(self) -> None:
        raise NotImplementedError


class Caller(Worker):
    """Sends requests one at a time; replaces its connection after an error and at random."""

    def __init__(self, proxies: dict[str, FaultProxy], history: History, random: Random) -> None:
        super().__init__(random)
        self._proxies = proxies
        self._history = history
        self._connection: http.client.HTTPConnection | None = None
        self._node = ""
        # Whether the stream of the last request's connection ended, without a reset.
        self._has_ended = False

    def _act(self) -> None:
        request_id = f"q{next(_request_ids)}"
        is_idempotent = self._random.random() < 0.5
        connection = self._connect()
        self._history.record_request(request_id, is_idempotent=is_idempotent, node=self._node)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Milliseconds": str(DEADLINE_MS),
        }
        status, body, sent_ms = 0, b"", math.nan
        self._has_ended = False
        try:
            if is_idempotent:
                connection.request("GET", f"/y/{request_id}", headers=headers)
            else:
                connection.request("POST", f"/x/{request_id}", body=b"order", headers=headers)
            sent_ms = now_ms()
            response = connection.getresponse()
            body = response.read()
            status = response.status
            if response.will_close or self._random.random() < 0.1:
                self._close_connection()
        except (OSError, http.client.HTTPException) as error:
            sent_ms = math.nan if isinstance(error, TimeoutError) else sent_ms
            self._has_ended = isinstance(error, http.client.RemoteDisconnected)
            self._close_connection()
        self._record_end(request_id, Reply(status, body), sent_ms=sent_ms)

    def _record_end(self, request_id: str, reply: Reply, *, sent_ms: float) -> None:
        """Record a reply; ``sent_ms`` is NaN for a request that was not sent or was given up."""
        self._history.record_reply(request_id, reply)

    def _choose_address(self) -> str:
        self._node = self._random.choice(list(self._proxies))
        return self._proxies[self._node].address

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._choose_address(), timeout=RECEIVE_TIMEOUT_S
            )
        return self._connection

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class LeavingCaller(Caller):
    """Pipelines safe requests and leaves at a random moment, mostly before all are answered.

    It closes or resets its connection, or ends only its own direction and reads what still comes.
    """

    pause_max_s = LEAVING_PAUSE_MAX_S

    def _act(self) -> None:
        host, _, port = self._choose_address().partition(":")
        count = self._random.randint(PIPELINED_MIN_COUNT, PIPELINED_MAX_COUNT)
        requests = b"".join(self._encode_next() for _ in range(count))
        leave = self._random.choice([socket.socket.close, _reset, _end_sending])
        leave_after_s = self._random.uniform(0.0, LEAVE_AFTER_MAX_S)
        try:
            with socket.create_connection((host, int(port)), timeout=RECEIVE_TIMEOUT_S) as sock:
                sock.sendall(requests)
                time.sleep(leave_after_s)
                leave(sock)
        except OSError:
            # The node or the link has failed, or no answer came in time.
            return

    def _encode_next(self) -> bytes:
        request_id = f"q{next(_request_ids)}"
        self._history.record_request(request_id, is_idempotent=True, node=self._node)
        return (
            f"GET /y/{request_id} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Milliseconds: {DEADLINE_MS}\r\n\r\n"
        ).encode()


def _reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


def _end_sending(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)
    while sock.recv(65_536):
        pass


class Prober(Caller):
    """Asks one node for the routes of changes: the newest, one that is due, one that is gone."""

    pause_max_s = PROBE_PAUSE_MAX_S

    def __init__(self, node: Node, judge: ManifestJudge, history: History, random: Random) -> None:
        super().__init__({}, history, random)
        self._target = node
        self._judge = judge

    def _act(self) -> None:
        due = self._judge.find_due(now_ms())
        newest = self._judge.acknowledged_count
        change = self._random.choice([newest, due, due - ROUTES_KEPT_COUNT])
        if change > 0 and self._target.is_alive():
            self._probe(change)

    def _probe(self, change: int) -> None:
        node, process = self._target, self._target.process
        assert process is not None
        sent_ms = now_ms()
        status = send_safe(node, f"/n{change}/", self._history)
        if node.process is process:
            probe = Probe(node.host, process.pid, change, sent_ms=sent_ms, status=status)
            self._judge.check(probe)


class Operator(Worker):
    """Submits manifests to random nodes and reads them back from random nodes.

    ``judge`` hears which changes were acknowledged. An invalid manifest must be refused.
    """

    pause_min_s = 0.1
    pause_max_s = 0.6

    def __init__(
        self, nodes: list[Node], history: History, judge: ManifestJudge, random: Random
    ) -> None:
        super().__init__(random)
        self._nodes = nodes
        self._history = history
        self._judge = judge
        self.version = 0
        self.idle_timeout_ms = 0

    def submit_first(self, timeout_s: float) -> None:
        """Submit manifests until one is accepted; raise ``TimeoutError`` after the timeout."""
        end_s = time.monotonic() + timeout_s
        while not self._submit_change(FIRST_TRIES_COUNT):
            if time.monotonic() > end_s:
                raise TimeoutError(f"the first manifest was not accepted within {timeout_s} s")
            time.sleep(0.1)

    def read(self, node: Node) -> tuple[int, bytes]:
        """Read the manifest at a node and check its version; return the status and the body."""
        sent_ms = now_ms()
        status, raw = node.read()
        if status == 200:
            version = int(json.loads(raw)["version"], 16)
            self._history.check_read(sent_ms, version, node.host)
        return status, raw

    def _act(self) -> None:
        choice = self._random.random()
        if choice < 0.4:
            self._submit_change()
        elif choice < 0.45:
            self._submit_invalid()
        else:
            self.read(self._random.choice(self._nodes))

    def _submit_invalid(self) -> None:
        version = self.version + 1
        raw = encode_state(*ROUTES, route(service="none"), version=f"{version:08x}")
        if self._random.choice(self._nodes).submit(raw, self.version) == 200:
            self._history.add_violation(f"version {version} is invalid but was accepted")

    def _submit_change(self, tries_count: int | None = None) -> bool:
        """Submit a new version until the result is definite; return whether it was accepted.

        With ``tries_count`` it is given up after so many tries without a definite result.
        """
        base = self.version
        version = base + self._random.randint(1, 3)
        change = self._judge.acknowledged_count + 1
        timeout_ms = self._random.choice([900, 1000, 1100])
        first = route(timeoutMs=timeout_ms, maxAttempts=self._random.choice([2, 3]))
        added = [
            route(name=f"n-{number}", pathPrefix=f"/n{number}/", kind="safe", service="stock")
            for number in list_routes(change)
        ]
        routes = [first, *ROUTES[1:], *added]
        if self._random.random() < LARGE_MANIFEST_SHARE:
            for number in range(LARGE_MANIFEST_ROUTES_COUNT):
                routes.append(route(name=f"l-{number}", pathPrefix=f"/l{number}/"))
        limits = {"idleTimeoutMs": self._random.choice(IDLE_TIMEOUTS_MS)}
        raw = encode_state(*routes, version=f"{version:08x}", services=SERVICES, limits=limits)
        for _ in itertools.count() if tries_count is None else range(tries_count):
            node = self._random.choice(self._nodes)
            status = node.submit(raw, base, timeout_s=OPERATOR_TIMEOUT_S)
            if status == 200:
                self.version = version
                self.idle_timeout_ms = limits["idleTimeoutMs"]
                self._history.record_acknowledged(version, raw)
                self._judge.record_acknowledged(change)
                return True
            if status in (400, 409, 412, 413, 422):
                self._history.add_violation(
                    f"version {version} based on {base} was refused with status {status}"
                )
                return False
            if self._stopped.wait(0.2):
                # The result is unknown, so the history records nothing about this version.
                return False
        return False


class KeptCaller(Caller):
    """Leaves a connection idle for about the idle timeout before each request after the first."""

    pause_max_s = 0.0

    def __init__(
        self, nodes: list[Node], operator: Operator, judge: KeptJudge, random: Random
    ) -> None:
        super().__init__({}, judge.history, random)
        self._nodes = nodes
        self._target = nodes[0]
        self._operator = operator
        self._judge = judge
        self._is_kept = False
        self._duplicate: socket.socket

    def _act(self) -> None:
        if self._connection is not None:
            share = self._random.uniform(*self._random.choice(IDLE_SHARES))
            self._stopped.wait(share * self._operator.idle_timeout_ms / 1000)
            poll = select.poll()
            poll.register(self._connection.sock, select.POLLIN)
            if poll.poll(0):  # Its end has come, or bytes that nobody has asked for.
                self._close_connection()
        self._is_kept = self._connection is not None
        if self._connection is None:
            super()._act()
            return
        # The connection is closed before its end is judged.
        with self._connection.sock.dup() as self._duplicate:
            super()._act()

    def _choose_address(self) -> str:
        self._target = self._random.choice(self._nodes)
        self._node = self._target.host
        return f"{self._node}:{self._target.ports['callers']}"

    def _record_end(self, request_id: str, reply: Reply, *, sent_ms: float) -> None:
        if self._is_kept and not math.isnan(sent_ms):
            at_ms = now_ms()
            if self._has_ended:
                last_sent_ms, at_ms = read_end_ms(self._duplicate)
                # The kernel may have sent the last byte again.
                sent_ms = min(sent_ms, last_sent_ms)
            judge, has_ended = self._judge, self._has_ended
            judge.check(request_id, self._target, reply, sent_ms, at_ms, has_ended=has_ended)
        super()._record_end(request_id, reply, sent_ms=sent_ms)
