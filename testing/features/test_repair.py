from __future__ import annotations

import json
import shutil
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from testing.processes import System
from testing.processes import freeze
from testing.processes import resume
from testing.processes import wait_until
from testing.proxy.instance import make_manifest

scenarios("repair.feature")

READMISSION_MAX_S = 15.0


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    system = System(tmp_path)
    yield system
    system.close()


@given("three control replicas with a spare and a grace period of 1 second")
def start(system: System) -> None:
    system.add_control(["c1", "c2", "c3"], spares=["c4"], extra="grace_s = 1\n")
    system.start()
    # A request to use a spare is refused until the spare listens.
    wait_until(lambda: all(system.is_ready(name) for name in system.by_name))
    wait_until(lambda: system.submit("c1", make_manifest(1))[0] == 200)


@when("c3 loses its disk and starts again", target_fixture="started_s")
def lose_disk(system: System) -> float:
    """Return when c3 was started.

    The others are suspended until it listens: beside load a process may take longer to start than
    the grace period, and then it would rightly lose its place to the spare.
    """
    others = [system.by_name["c1"], system.by_name["c2"]]
    for other in others:
        freeze(other)
    system.by_name["c3"].kill()
    shutil.rmtree(system.folder / "data-c3")
    system.start("c3")
    started_s = time.monotonic()
    wait_until(lambda: system.is_ready("c3"))
    for other in others:
        resume(other)
    return started_s


@when(parsers.parse("{name} is killed"))
def kill(system: System, name: str) -> None:
    system.by_name[name].kill()


@when("c2 is killed as well")
def kill_c2(system: System) -> None:
    system.by_name["c2"].kill()


@when("an operator replaces c2 with c4")
def replace_replica(system: System) -> None:
    request = {"old": "c2", "new": "c4", "address": f"127.0.0.1:{system.relays['c4'].port}"}
    status, body = system.call_operators(
        "c1", "/replicas", method="POST", body=json.dumps(request).encode()
    )
    assert (status, body["result"]) == (200, "replaced")
    repeated = system.call_operators(
        "c3", "/replicas", method="POST", body=json.dumps(request).encode()
    )
    assert repeated[1]["result"] == "replaced"


@then("c3 votes again within 15 seconds")
def check_readmitted(system: System, started_s: float) -> None:
    left_s = started_s + READMISSION_MAX_S - time.monotonic()
    wait_until(lambda: _get_status(system, "c3").get("member") is True, within_s=left_s)
    assert _get_status(system, "c3")["epoch"] == 2


@then("a manifest is accepted after c2 is killed")
def check_accepted_without_c2(system: System) -> None:
    system.by_name["c2"].kill()
    assert system.submit("c1", make_manifest(2))[0] == 200


@then("c4 votes in its place within 15 seconds")
def check_spare_votes(system: System) -> None:
    wait_until(lambda: _get_status(system, "c4").get("member") is True)
    assert sorted(_get_status(system, "c1")["replicas"])[-1] == "c4"


@then("a manifest is accepted at c1")
def check_accepted(system: System) -> None:
    wait_until(lambda: system.submit("c1", make_manifest(2))[0] == 200)


@then("c3 accepts no manifest when only it is running")
def check_fenced(system: System) -> None:
    for name in ("c1", "c4"):
        system.by_name[name].kill()
    system.start("c3")
    wait_until(lambda: system.call_operators("c3", "/ready")[0] == 200)
    status, body = system.submit("c3", make_manifest(3))
    assert status in (503, 504) and body["result"] in ("no-quorum", "unknown")
    assert system.call_operators("c3", "/status")[0] == 503


@then("the audit trail is the same at c1 and c3 and names the operator who replaced c2")
def check_audit(system: System) -> None:
    trails = [system.call_operators(name, "/audit")[1]["records"] for name in ("c1", "c3")]
    assert trails[0] == trails[1]
    record = next(record for record in trails[0] if record["action"] == "replace-replica")
    assert record["operator"] == "tester"
    assert record["before"].startswith("c2=")
    assert record["after"].startswith("c4=")


def _get_status(system: System, name: str) -> dict[str, Any]:
    status, body = system.call_operators(name, "/status")
    return body if status == 200 else {}
