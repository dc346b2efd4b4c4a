"""The commands for zones, against control replicas and an entry instance as processes."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from testing.processes import System
from testing.processes import wait_until
from testing.proxy.instance import make_manifest

REPLICAS = ["c1", "c2", "c3"]


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    made = System(tmp_path)
    made.add_control(REPLICAS)
    made.add_entry("e1")
    made.start()
    wait_until(lambda: made.submit("c1", make_manifest(1))[0] == 200)
    yield made
    made.close()


def run(
    system: System, *arguments: str, at: list[str] | None = None
) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "coltsfootrill", "zones", *arguments]
    for name in at or ["c1"]:
        command += ["--at", f"127.0.0.1:{system.ports[f'{name}.operators']}"]
    command += ["--token-file", str(system.folder / "operator.token")]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def list_zones(system: System, at: str) -> Any:
    return json.loads(run(system, "list", "--json", at=[at]).stdout)


def get_entry_zones(system: System) -> str:
    return str(system.call_operators("e1", "/status")[1]["evacuated_zones"])


class TestZones:
    def test_a_zone_is_evacuated_listed_and_restored(self, system: System) -> None:
        system.by_name["c3"].kill()
        # The first address does not answer.
        result = run(system, "evacuate", "z1", "--operator", "ann", at=["c3", "c1"])
        assert (result.returncode, "z1" in result.stdout) == (0, True)
        assert list_zones(system, "c2") == {"zone_order": 1, "evacuated": {"z1": 1}}
        wait_until(lambda: get_entry_zones(system) == "z1", within_s=5)
        assert system.call_operators("c2", "/status")[1]["evacuated_zones"] == "z1"
        assert run(system, "evacuate", "z1", at=["c2"]).returncode == 0
        assert run(system, "restore", "z1").returncode == 0
        wait_until(lambda: get_entry_zones(system) == "", within_s=5)
        records = system.call_operators("c1", "/audit")[1]["records"]
        orders = [record for record in records if record["action"].endswith("-zone")]
        assert [record["action"] for record in orders] == ["evacuate-zone", "restore-zone"]
        assert orders[0]["operator"] == "ann"

    def test_a_bad_name_is_refused_and_a_lost_majority_reported(self, system: System) -> None:
        result = run(system, "evacuate", "Bad-Name")
        assert (result.returncode, "no name of" in result.stderr) == (1, True)
        for name in ("c2", "c3"):
            system.by_name[name].kill()
        assert run(system, "evacuate", "z1").returncode == 4
        assert run(system, "list").returncode == 4
