from __future__ import annotations

import http.client
import itertools
import json
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from testing.processes import Announcer
from testing.processes import System
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.proxy.instance import make_manifest
from testing.relay import Relay

scenarios("requests.feature")

ENTRIES = ["e1", "e2"]
PROBES_PER_SECOND = 0.2


class Upstream:
    """One scripted upstream behind a relay.

    ``runs`` counts how often each request ran, by its identifier; ``received`` counts requests
    including those that were shed or failed, but no load probes.
    """

    def __init__(self, system: System, name: str) -> None:
        self.behaviour = ""
        self.delay_s = 0.0
        self.runs: dict[str, int] = {}
        self.probes = 0
        self.received = 0
        self._lock = threading.Lock()
        self._scripted = ScriptedUpstream(self._serve)
        self.relay = Relay(int(self._scripted.address.rpartition(":")[2]))
        address = f"127.0.0.1:{self.relay.port}"
        self.announcer = Announcer(system, ENTRIES, address, name)

    def close(self) -> None:
        self.announcer.stop()
        self._scripted.close()

    def _serve(self, sock: socket.socket, head: bytes, number: int) -> bool:
        if head.startswith(b"GET /load "):
            self.probes += 1
            sock.sendall(encode())
            return True
        request_id = _find_header(head, b"request-id")
        with self._lock:
            self.received += 1
        if self.behaviour == "shed":
            shed = "upstream-shed: 1\r\n"
            sock.sendall(encode(b"", status="503 Service Unavailable", extra=shed))
            return True
        if self.behaviour == "fail":
            sock.sendall(encode(b"", status="500 Internal Server Error"))
            return True
        with self._lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        time.sleep(self.delay_s)
        if self.behaviour == "close":
            return False
        answer = encode(f"answer to {request_id}".encode())
        sock.sendall(answer[:-5] if self.behaviour == "truncate" else answer)
        return self.behaviour != "truncate"


class Result:
    """What one caller received."""

    def __init__(self, request_id: str, status: int, outcome: str, body: bytes) -> None:
        self.request_id = request_id
        self.status = status
        self.outcome = outcome
        self.body = body

    def is_complete(self) -> bool:
        return self.status == 200 and self.body == f"answer to {self.request_id}".encode()


class World:
    """A running system, its upstreams, and the results that callers received."""

    def __init__(self, folder: Path) -> None:
        self.system = System(folder)
        self.by_name = {name: Upstream(self.system, name) for name in ("u1", "u2")}
        self.results: list[Result] = []
        self._numbers = itertools.count()

    def close(self) -> None:
        for upstream in self.by_name.values():
            upstream.close()
        self.system.close()

    def send(self, path: str, method: str) -> None:
        number = next(self._numbers)
        request_id = f"request-{number}"
        entry = ENTRIES[number % 2]
        port = self.system.ports[f"{entry}.callers"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        connection.request(method, path, headers={"Request-Id": request_id})
        response = connection.getresponse()
        body = response.read()
        connection.close()
        outcome = response.headers["Coltsfootrill-Outcome"]
        self.results.append(Result(request_id, response.status, outcome, body))


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    world = World(tmp_path)
    yield world
    world.close()


@given("a control replica and two entry instances with two upstreams")
def start(world: World) -> None:
    system = world.system
    system.add_control(["c1"])
    for name in ENTRIES:
        system.add_entry(name, seeds=ENTRIES[:1], extra="")
    system.start()
    manifest = json.loads(make_manifest(1))
    manifest["measuring"] = {"requests_per_second": PROBES_PER_SECOND, "time_share": 1.0}
    manifest["services"][0]["retry_share"] = 1.0
    wait_until(lambda: system.submit("c1", json.dumps(manifest).encode())[0] == 200)
    for upstream in world.by_name.values():
        upstream.announcer.start()
    for name in ENTRIES:
        wait_until(lambda name=name: _count_usable(system, name) == 2)  # type: ignore[misc]


@given("a third upstream")
def add_third(world: World) -> None:
    # Of three upstreams one may be ejected, but of two none.
    world.by_name["u3"] = Upstream(world.system, "u3")
    world.by_name["u3"].announcer.start()
    for name in ENTRIES:
        wait_until(lambda name=name: _count_usable(world.system, name) == 3)  # type: ignore[misc]


@given(parsers.parse("upstream {name} truncates its answers"))
def truncate_answers(world: World, name: str) -> None:
    world.by_name[name].behaviour = "truncate"


@given(parsers.parse("upstream {name} closes the connection after it has run a request"))
def close_connection(world: World, name: str) -> None:
    world.by_name[name].behaviour = "close"


@given(parsers.parse("upstream {name} sheds all requests"))
def shed_requests(world: World, name: str) -> None:
    world.by_name[name].behaviour = "shed"


@given(parsers.parse("upstream {name} fails all requests immediately"))
def fail_fast(world: World, name: str) -> None:
    world.by_name[name].behaviour = "fail"


@given(parsers.parse("upstream {name} takes {delay_ms:d} ms for each request"))
def set_delay(world: World, name: str, delay_ms: int) -> None:
    world.by_name[name].delay_s = delay_ms / 1000


@when(parsers.parse("{count:d} idempotent requests are sent"))
def send_idempotent(world: World, count: int) -> None:
    for _ in range(count):
        world.send("/x", "GET")


@when(parsers.parse("{count:d} non-idempotent requests are sent"))
def send_non_idempotent(world: World, count: int) -> None:
    for _ in range(count):
        world.send("/once", "POST")


@when("the open connections to u1 and u2 go silent")
def silence_connections(world: World) -> None:
    for upstream in world.by_name.values():
        upstream.relay.cut_existing()


@when(parsers.parse("{count:d} callers send requests for {seconds:d} seconds"))
def send_concurrently(world: World, count: int, seconds: int) -> None:
    end_s = time.monotonic() + seconds

    def send_until_end() -> None:
        while time.monotonic() < end_s:
            world.send("/x", "GET")

    with ThreadPoolExecutor(count) as pool:
        for call in [pool.submit(send_until_end) for _ in range(count)]:
            call.result()


@then("every successful response is the complete answer to its own request")
def check_own_answers(world: World) -> None:
    successful = [result for result in world.results if result.status == 200]
    assert successful and all(result.is_complete() for result in successful)


@then("no caller gets part of an answer")
def check_no_partial_answer(world: World) -> None:
    failed = [result for result in world.results if result.status != 200]
    assert not any(b"answer to" in result.body for result in failed)


@then("every answer is complete")
def check_complete(world: World) -> None:
    assert all(result.is_complete() for result in world.results)


@then("each of them ran exactly once")
def check_once(world: World) -> None:
    for result in world.results:
        assert _count_runs(world, result.request_id) == 1


@then("none of them ran")
def check_none_ran(world: World) -> None:
    assert not any(_count_runs(world, result.request_id) for result in world.results)


@then(parsers.parse('every outcome is "{outcome}"'))
def check_outcome(world: World, outcome: str) -> None:
    assert {result.outcome for result in world.results} == {outcome}


@then(parsers.parse("upstream {name} got less than a third of the requests"))
def check_share(world: World, name: str) -> None:
    assert world.by_name[name].received < len(world.results) / 3


@then("no upstream was probed more often than the manifest allows")
def check_budget(world: World) -> None:
    # The rate holds for the whole fleet: six seconds allow one probe and the start of another.
    allowed = int(6 * PROBES_PER_SECOND) + 1
    assert all(upstream.probes <= allowed for upstream in world.by_name.values())


def _count_runs(world: World, request_id: str) -> int:
    return sum(upstream.runs.get(request_id, 0) for upstream in world.by_name.values())


def _count_usable(system: System, name: str) -> int:
    status, body = system.call_operators(name, "/upstreams")
    if status != 200 or not system.is_ready(name):
        return 0
    return sum(upstream["usable"] for upstream in body["upstreams"])


def _find_header(head: bytes, name: bytes) -> str:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip().decode()
    return ""
