from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from testing.processes import Announcer
from testing.processes import System
from testing.processes import call_entry
from testing.processes import freeze
from testing.processes import resume
from testing.processes import stop_gracefully
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import encode
from testing.proxy.instance import make_manifest

scenarios("promises.feature")

ENTRIES = ["e1", "e2", "e3"]
CONTROLS = ["c1", "c2", "c3"]


class World:
    """A running system with one upstream, and what a scenario has observed of it."""

    def __init__(self, folder: Path) -> None:
        self.system = System(folder)
        self.service_time_s = 0.0
        self.arrived_at_s: list[float] = []
        self.announced_leaving_s = 0.0
        self.outcomes: list[str] = []
        self.replies: list[tuple[int, Any]] = []
        self.upstream = ScriptedUpstream(self._serve)
        self.announcer = Announcer(self.system, ENTRIES, self.upstream.address)

    def close(self) -> None:
        self.announcer.stop()
        self.system.close()
        self.upstream.close()

    def send_load(self, entries: list[str], duration_s: float) -> None:
        """Send requests to each of the instances concurrently and ignore the answers."""
        end_s = time.monotonic() + duration_s
        with ThreadPoolExecutor(len(entries)) as pool:
            for entry in entries:
                pool.submit(self._send_until, entry, end_s)

    def _send_until(self, entry: str, end_s: float) -> None:
        while time.monotonic() < end_s:
            call_entry(self.system, entry, "/x")
            time.sleep(0.01)

    def _serve(self, sock: socket.socket, head: bytes, number: int) -> bool:
        self.arrived_at_s.append(time.monotonic())
        time.sleep(self.service_time_s)
        # The answer does not say that the upstream is leaving: the announcement alone must suffice.
        sock.sendall(encode(extra="upstream-load: in_flight=0;slots=3\r\n"))
        return True


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    world = World(tmp_path)
    yield world
    world.close()


@given("three control replicas and three entry instances with one upstream")
def start(world: World) -> None:
    system = world.system
    system.add_control(CONTROLS)
    for name in ENTRIES:
        system.add_entry(name, seeds=[seed for seed in ("e1", "e2") if seed in system.relays])
    system.start()
    wait_until(lambda: system.submit("c1", make_manifest(1))[0] == 200)
    world.announcer.start()
    for name in ENTRIES:
        wait_until(lambda name=name: _is_started(system, name))  # type: ignore[misc]


def _is_started(system: System, name: str) -> bool:
    status, body = system.call_operators(name, "/status")
    if status != 200 or len(body["members"]) != 2:
        return False
    _, upstreams = system.call_operators(name, "/upstreams")
    return any(upstream["usable"] for upstream in upstreams["upstreams"]) and bool(body["ready"])


@given(parsers.parse("entry instance {name} is silently isolated from its peers"))
def isolate_entry(world: World, name: str) -> None:
    _isolate(world.system, name, ENTRIES)


def _isolate(system: System, name: str, peers: list[str]) -> None:
    """Drop all data to and from ``name``, on existing and new connections."""
    for peer in peers:
        if peer == name:
            system.relays[peer].cut()
        else:
            system.relays[peer].cut_sender(name)


@given(parsers.parse("the upstream takes {duration_ms:d} ms for each request"))
def set_service_time(world: World, duration_ms: int) -> None:
    world.service_time_s = duration_ms / 1000


@given(parsers.parse("{name} is suspended"))
def suspend_entry(world: World, name: str) -> None:
    freeze(world.system.by_name[name])


@given(parsers.parse("control replica {name} is silently isolated"))
def isolate_control(world: World, name: str) -> None:
    _isolate(world.system, name, CONTROLS)


@when("a caller sends a request to each entry instance")
def call_each(world: World) -> None:
    world.outcomes = [call_entry(world.system, name, "/x")[1] for name in ENTRIES]


@when("the upstream announces to e1 that it is leaving")
def announce_leaving(world: World) -> None:
    world.announcer.stop()
    assert world.announcer.announce("e1", "leaving") == 200
    world.announced_leaving_s = time.monotonic()
    world.send_load(ENTRIES, 0.0)


@when(parsers.parse("{seconds:d} seconds pass"))
def wait_seconds(seconds: int) -> None:
    time.sleep(seconds)


@when("all control replicas are killed")
def kill_control(world: World) -> None:
    for name in CONTROLS:
        world.system.by_name[name].kill()


@when("e1 is stopped gracefully with 3 requests in flight")
def stop_entry(world: World) -> None:
    with ThreadPoolExecutor(3) as pool:
        calls = [pool.submit(call_entry, world.system, "e1", "/once") for _ in range(3)]
        wait_until(lambda: len(world.arrived_at_s) >= 3)
        stop_gracefully(world.system.by_name["e1"])
        world.outcomes = [call.result()[1] for call in calls]


@when("the upstream leaves with 3 requests in flight at e2")
def leave_with_requests_in_flight(world: World) -> None:
    with ThreadPoolExecutor(3) as pool:
        calls = [pool.submit(call_entry, world.system, "e2", "/once") for _ in range(3)]
        wait_until(lambda: len(world.arrived_at_s) >= 3)
        world.announcer.stop()
        assert world.announcer.announce("e1", "leaving") == 200
        wait_until(lambda: _get_states(world.system, "e2") == ["leaving"], within_s=0.9)
        time.sleep(0.1)
        assert _count_in_flight(world.system) == 3
        world.outcomes = [call.result()[1] for call in calls]


@when(parsers.parse("{name} is killed"))
def kill(world: World, name: str) -> None:
    world.system.by_name[name].kill()


@when("c2 and c3 are killed")
def kill_c2_and_c3(world: World) -> None:
    for name in ("c2", "c3"):
        world.system.by_name[name].kill()


@when(parsers.parse("manifest {version:d} is accepted"))
@then(parsers.parse("manifest {version:d} is accepted"))
def submit_manifest(world: World, version: int) -> None:
    status, body = world.system.submit("c2", make_manifest(version))
    assert (status, body["result"]) == (200, "accepted")


@given(parsers.parse("manifest {version:d} is accepted at c2"))
@when(parsers.parse("manifest {version:d} is accepted at c2"))
def submit_manifest_at_c2(world: World, version: int) -> None:
    submit_manifest(world, version)


@when(parsers.parse("{name} starts again"))
def start_again(world: World, name: str) -> None:
    world.system.start(name)


@when("e3 is resumed")
def resume_entry(world: World) -> None:
    resume(world.system.by_name["e3"])


@when("all control replicas restart")
def restart_control(world: World) -> None:
    for name in CONTROLS:
        world.system.by_name[name].kill()
        world.system.start(name)
    for name in CONTROLS:
        wait_until(lambda name=name: world.system.call_operators(name, "/status")[0] == 200)  # type: ignore[misc]


@when("6 operators concurrently submit different manifests of version 2 to the three replicas")
def submit_concurrently(world: World) -> None:
    barrier = threading.Barrier(6)

    def submit(number: int) -> tuple[int, Any]:
        manifest = make_manifest(2, deadline_ms=1_000 + number)
        barrier.wait()
        return world.system.submit(CONTROLS[number % 3], manifest)

    with ThreadPoolExecutor(6) as pool:
        world.replies = list(pool.map(submit, range(6)))


@when("all open connections between the instances go silent")
def silence_connections(world: World) -> None:
    for relay in world.system.relays.values():
        relay.cut_existing()


@then(parsers.parse('every outcome is "{outcome}"'))
def check_outcomes(world: World, outcome: str) -> None:
    assert world.outcomes and set(world.outcomes) == {outcome}


@then("no request reaches the upstream later than 3 seconds after that")
def check_no_late_requests(world: World) -> None:
    world.send_load(ENTRIES, max(0.5, world.announced_leaving_s + 5 - time.monotonic()))
    latest_s = max([0.0, *(at_s - world.announced_leaving_s for at_s in world.arrived_at_s)])
    assert latest_s <= 3.0


@then("entry instance e3 is not ready")
def check_not_ready(world: World) -> None:
    assert not world.system.is_ready("e3")


@then("every entry instance answers callers")
def check_callers_answered(world: World) -> None:
    outcomes = {name: call_entry(world.system, name, "/x")[1] for name in ENTRIES}
    assert set(outcomes.values()) == {"answered"}


@then("every entry instance is ready")
def check_ready(world: World) -> None:
    for name in ENTRIES:
        wait_until(lambda name=name: world.system.is_ready(name))  # type: ignore[misc]


@then(parsers.parse("e1 exits with code {code:d}"))
def check_exit_code(world: World, code: int) -> None:
    assert world.system.by_name["e1"].wait() == code


@then("the peers no longer list e1 as a member")
def check_not_a_member(world: World) -> None:
    # Peers drop an instance that announces its departure at once, any other after a minute.
    for name in ("e2", "e3"):
        wait_until(lambda name=name: "e1" not in _get_members(world.system, name), within_s=3)  # type: ignore[misc]


@then("the fleet shows them in flight, and nothing in flight once they are answered")
def check_none_in_flight(world: World) -> None:
    assert set(world.outcomes) == {"answered"}
    wait_until(lambda: _count_in_flight(world.system) == 0, within_s=2)


@then(parsers.parse("every entry instance serves manifest {version:d} within {limit_s:d} seconds"))
def check_in_force(world: World, version: int, limit_s: int) -> None:
    start_s = time.monotonic()
    for name in ENTRIES:
        wait_until(
            lambda name=name: world.system.get_version(name) == version,  # type: ignore[misc]
            within_s=limit_s,
        )
    assert time.monotonic() - start_s <= limit_s


@then("exactly one of them is accepted and the others get its digest")
def check_one_accepted(world: World) -> None:
    accepted = [body for status, body in world.replies if status == 200]
    conflicts = [body for status, body in world.replies if status != 200]
    assert len(accepted) == 1
    assert {body["result"] for body in conflicts} == {"conflict"}
    assert {body["digest"] for body in conflicts} == {accepted[0]["digest"]}


@then("resubmitting manifest 2 reports that it was accepted")
def check_resubmission(world: World) -> None:
    status, body = world.system.submit("c3", make_manifest(2))
    assert (status, body["result"], body["version"]) == (200, "accepted", 2)
    status, body = world.system.submit("c3", make_manifest(2, deadline_ms=77))
    assert (status, body["result"]) == (409, "conflict")


@then("c1 accepts no manifest and reports no state")
def check_isolated_control(world: World) -> None:
    status, body = world.system.submit("c1", make_manifest(9))
    assert status in (503, 504) and body["result"] in ("no-quorum", "unknown")
    status, _ = world.system.call_operators("c1", "/status")
    assert status == 503


@then("c1 reports manifest 2 once its connections work again")
def check_reconnected(world: World) -> None:
    for relay in world.system.relays.values():
        relay.heal()
    wait_until(lambda: world.system.get_version("c1") == 2)


@then("e2 serves no manifest")
def check_serves_no_manifest(world: World) -> None:
    wait_until(lambda: world.system.call_operators("e2", "/status")[0] == 200)
    time.sleep(2)
    assert world.system.get_version("e2") == 0
    assert not world.system.is_ready("e2")


@then("e2 serves manifest 2 once c2 and c3 are restarted")
def check_serves_manifest(world: World) -> None:
    world.system.start("c2", "c3")
    wait_until(lambda: world.system.get_version("e2") == 2)


def _get_members(system: System, name: str) -> list[str]:
    _, body = system.call_operators(name, "/status")
    return [member["id"] for member in body["members"]]


def _get_states(system: System, name: str) -> list[str]:
    _, body = system.call_operators(name, "/upstreams")
    return [upstream["state"] for upstream in body["upstreams"]]


def _count_in_flight(system: System) -> int:
    total = 0
    for name in ENTRIES:
        _, body = system.call_operators(name, "/upstreams")
        total += sum(upstream["in_flight"] for upstream in body["upstreams"])
    return total
