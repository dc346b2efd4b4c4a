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
    """One running system and what a scenario has seen of it."""

    def __init__(self, folder: Path) -> None:
        self.system = System(folder)
        self.work_s = 0.0
        self.arrivals_s: list[float] = []
        self.left_s = 0.0
        self.outcomes: list[str] = []
        self.replies: list[tuple[int, Any]] = []
        self.upstream = ScriptedUpstream(self._work)
        self.announcer = Announcer(self.system, ENTRIES, self.upstream.address)

    def close(self) -> None:
        self.announcer.stop()
        self.system.close()
        self.upstream.close()

    def press(self, entries: list[str], duration_s: float) -> None:
        """Call instances in turn, without minding the answers."""
        end_s = time.monotonic() + duration_s
        with ThreadPoolExecutor(len(entries)) as pool:
            for entry in entries:
                pool.submit(self._press, entry, end_s)

    def _press(self, entry: str, end_s: float) -> None:
        while time.monotonic() < end_s:
            call_entry(self.system, entry, "/x")
            time.sleep(0.01)

    def _work(self, sock: socket.socket, head: bytes, number: int) -> bool:
        self.arrivals_s.append(time.monotonic())
        time.sleep(self.work_s)
        # The answer does not state that the upstream leaves: the announcement alone must do.
        sock.sendall(encode(extra="upstream-load: in_flight=0;slots=3\r\n"))
        return True


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.close()


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
        wait_until(lambda name=name: _is_settled(system, name))  # type: ignore[misc]


def _is_settled(system: System, name: str) -> bool:
    status, body = system.call_operators(name, "/status")
    if status != 200 or len(body["members"]) != 2:
        return False
    _, upstreams = system.call_operators(name, "/upstreams")
    return any(upstream["usable"] for upstream in upstreams["upstreams"]) and bool(body["ready"])


@given(parsers.parse("entry instance {name} is silently cut off from its peers"))
def cut_entry(world: World, name: str) -> None:
    _isolate(world.system, name, ENTRIES)


def _isolate(system: System, name: str, peers: list[str]) -> None:
    """Swallow what goes to ``name`` and what comes from it, on connections old and new."""
    for peer in peers:
        if peer == name:
            system.relays[peer].cut()
        else:
            system.relays[peer].cut_sender(name)


@given(parsers.parse("the upstream works for {duration_ms:d} ms on each request"))
def slow_down(world: World, duration_ms: int) -> None:
    world.work_s = duration_ms / 1000


@given(parsers.parse("{name} is frozen"))
def freeze_entry(world: World, name: str) -> None:
    freeze(world.system.by_name[name])


@given(parsers.parse("control replica {name} is silently cut off"))
def cut_control(world: World, name: str) -> None:
    _isolate(world.system, name, CONTROLS)


@when("a caller asks each entry instance")
def ask_each(world: World) -> None:
    world.outcomes = [call_entry(world.system, name, "/x")[1] for name in ENTRIES]


@when("the upstream announces at e1 that it is leaving")
def leave(world: World) -> None:
    world.announcer.stop()
    assert world.announcer.announce("e1", "leaving") == 200
    world.left_s = time.monotonic()
    world.press(ENTRIES, 0.0)


@when(parsers.parse("{seconds:d} seconds pass"))
def let_pass(seconds: int) -> None:
    time.sleep(seconds)


@when("all control replicas are killed")
def kill_control(world: World) -> None:
    for name in CONTROLS:
        world.system.by_name[name].kill()


@when("e1 is stopped gracefully with 3 requests in flight")
def stop_entry(world: World) -> None:
    with ThreadPoolExecutor(3) as pool:
        calls = [pool.submit(call_entry, world.system, "e1", "/once") for _ in range(3)]
        wait_until(lambda: len(world.arrivals_s) >= 3)
        stop_gracefully(world.system.by_name["e1"])
        world.outcomes = [call.result()[1] for call in calls]


@when("the upstream leaves with 3 requests in flight at e2")
def leave_busy(world: World) -> None:
    with ThreadPoolExecutor(3) as pool:
        calls = [pool.submit(call_entry, world.system, "e2", "/once") for _ in range(3)]
        wait_until(lambda: len(world.arrivals_s) >= 3)
        world.announcer.stop()
        assert world.announcer.announce("e1", "leaving") == 200
        wait_until(lambda: _get_states(world.system, "e2") == ["leaving"], within_s=0.9)
        time.sleep(0.1)
        assert _count_in_flight(world.system) == 3
        world.outcomes = [call.result()[1] for call in calls]


@when(parsers.parse("{name} is killed"))
def kill_one(world: World, name: str) -> None:
    world.system.by_name[name].kill()


@when("c2 and c3 are killed")
def kill_two(world: World) -> None:
    for name in ("c2", "c3"):
        world.system.by_name[name].kill()


@when(parsers.parse("manifest {version:d} is accepted"))
@then(parsers.parse("manifest {version:d} is accepted"))
def accept(world: World, version: int) -> None:
    status, body = world.system.submit("c2", make_manifest(version))
    assert (status, body["result"]) == (200, "accepted")


@given(parsers.parse("manifest {version:d} is accepted at c2"))
@when(parsers.parse("manifest {version:d} is accepted at c2"))
def accept_at(world: World, version: int) -> None:
    accept(world, version)


@when(parsers.parse("{name} starts again"))
def start_again(world: World, name: str) -> None:
    world.system.start(name)


@when("e3 goes on")
def go_on(world: World) -> None:
    resume(world.system.by_name["e3"])


@when("all control replicas restart")
def restart_control(world: World) -> None:
    for name in CONTROLS:
        world.system.by_name[name].kill()
        world.system.start(name)
    for name in CONTROLS:
        wait_until(lambda name=name: world.system.call_operators(name, "/status")[0] == 200)  # type: ignore[misc]


@when("6 operators submit different manifests of version 2 at the three replicas at once")
def race(world: World) -> None:
    barrier = threading.Barrier(6)

    def submit(number: int) -> tuple[int, Any]:
        manifest = make_manifest(2, deadline_ms=1_000 + number)
        barrier.wait()
        return world.system.submit(CONTROLS[number % 3], manifest)

    with ThreadPoolExecutor(6) as pool:
        world.replies = list(pool.map(submit, range(6)))


@when("everything between the instances loses track of the open connections")
def cut_existing(world: World) -> None:
    for relay in world.system.relays.values():
        relay.cut_existing()


@then(parsers.parse('every answer is "{outcome}"'))
def check_outcomes(world: World, outcome: str) -> None:
    assert world.outcomes and set(world.outcomes) == {outcome}


@then("no request reaches the upstream later than 3 seconds after that")
def check_no_late_work(world: World) -> None:
    world.press(ENTRIES, max(0.5, world.left_s + 5 - time.monotonic()))
    late_s = max([0.0, *(at_s - world.left_s for at_s in world.arrivals_s)])
    assert late_s <= 3.0


@then("entry instance e3 is not ready")
def check_not_ready(world: World) -> None:
    assert not world.system.is_ready("e3")


@then("every entry instance answers callers")
def check_answers(world: World) -> None:
    outcomes = {name: call_entry(world.system, name, "/x")[1] for name in ENTRIES}
    assert set(outcomes.values()) == {"answered"}


@then("every entry instance is ready")
def check_ready(world: World) -> None:
    for name in ENTRIES:
        wait_until(lambda name=name: world.system.is_ready(name))  # type: ignore[misc]


@then(parsers.parse("e1 ends with exit code {code:d}"))
def check_exit(world: World, code: int) -> None:
    assert world.system.by_name["e1"].wait() == code


@then("the peers know that e1 has left")
def check_left(world: World) -> None:
    # A goodbye is known at once; without one an instance is dropped after a minute.
    for name in ("e2", "e3"):
        wait_until(lambda name=name: "e1" not in _get_members(world.system, name), within_s=3)  # type: ignore[misc]


@then("the fleet shows them in flight, and nothing in flight once they are answered")
def check_drained(world: World) -> None:
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


@then("exactly one of them is accepted and the others are told its digest")
def check_race(world: World) -> None:
    winners = [body for status, body in world.replies if status == 200]
    losers = [body for status, body in world.replies if status != 200]
    assert len(winners) == 1
    assert {body["result"] for body in losers} == {"conflict"}
    assert {body["digest"] for body in losers} == {winners[0]["digest"]}


@then("a resend of manifest 2 is told that it was accepted")
def check_resend(world: World) -> None:
    status, body = world.system.submit("c3", make_manifest(2))
    assert (status, body["result"], body["version"]) == (200, "accepted", 2)
    status, body = world.system.submit("c3", make_manifest(2, deadline_ms=77))
    assert (status, body["result"]) == (409, "conflict")


@then("c1 accepts nothing and tells no state")
def check_isolated_control(world: World) -> None:
    status, body = world.system.submit("c1", make_manifest(9))
    assert status in (503, 504) and body["result"] in ("no-quorum", "unknown")
    status, _ = world.system.call_operators("c1", "/status")
    assert status == 503


@then("c1 knows manifest 2 once it is back")
def check_back(world: World) -> None:
    for relay in world.system.relays.values():
        relay.heal()
    wait_until(lambda: world.system.get_version("c1") == 2)


@then("e2 serves no manifest")
def check_waits(world: World) -> None:
    wait_until(lambda: world.system.call_operators("e2", "/status")[0] == 200)
    time.sleep(2)
    assert world.system.get_version("e2") == 0
    assert not world.system.is_ready("e2")


@then("e2 serves manifest 2 once c2 is back")
def check_serves(world: World) -> None:
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
