"""A desired state that was acknowledged is lost: one disk is lost while others lose power."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from fleet import CouldNotRunError  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import Node  # noqa: E402
from fleet import Record  # noqa: E402
from fleet import has_trouble  # noqa: E402
from fleet import make_route  # noqa: E402
from fleet import make_state  # noqa: E402
from fleet import run_case  # noqa: E402
from fleet import wait_until  # noqa: E402

CATCH_UP_S = 4.0
RECOVERY_S = 15.0
# How long the second machine has no power; the other two are back at once.
SECOND_DARK_S = 3.5


def submit(node: Node, version: int, base: int) -> None:
    """Send a desired state until it is acknowledged, as an operator does."""
    routes = [make_route("rosters", "roster-desk"), make_route(f"added-{version}", "roster-desk")]
    state = make_state(version, routes, ["roster-desk"])
    wait_until(
        lambda: node.replace(state, base) == 200, within_s=20, what=f"version {version} accepted"
    )


def play(record: Record) -> bool:
    fleet = Fleet(record, network="127.0.71")
    try:
        return play_on(fleet, record)
    finally:
        fleet.close()


def play_on(fleet: Fleet, record: Record) -> bool:
    first, second, third = (
        fleet.add(f"n{number}", zone=f"zone-{number}", has_disk=True) for number in (1, 2, 3)
    )
    for node in fleet.nodes:
        node.start(bootstrap=True)
    submit(second, 1, 0)
    time.sleep(CATCH_UP_S)

    if has_trouble():
        first.kill()
        time.sleep(1.0)
    submit(second, 2, 1)
    record.write("version 00000002 is acknowledged")

    if has_trouble():
        second.kill()
        third.kill()
        third.lose_disk()
        first.start(bootstrap=False)
        third.start(bootstrap=False)
        time.sleep(SECOND_DARK_S)
        for node in (first, third):
            node.read()
        second.start(bootstrap=False)
    time.sleep(RECOVERY_S)

    answers = [node.read() for _ in range(3) for node in fleet.nodes]
    versions = {version for status, version in answers if status == 200}
    if not versions:
        raise CouldNotRunError("no node answers a read")
    return versions == {"00000002"}


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
