"""A desired state that was acknowledged is lost: all lose power, and one its disk."""

from __future__ import annotations

import signal
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
GRACE_S = 6.0
# How much later than the two others the second machine has power again.
SECOND_LATER_S = 3.0


def submit(node: Node, version: int, base: int) -> None:
    """Send a desired state until it is acknowledged, as an operator does."""
    routes = [make_route("rosters", "roster-desk"), make_route(f"added-{version}", "roster-desk")]
    state = make_state(version, routes, ["roster-desk"])
    wait_until(
        lambda: node.replace(state, base) == 200, within_s=20, what=f"version {version} accepted"
    )


def stop_as_planned(node: Node) -> None:
    assert node.process is not None
    node.send_signal(signal.SIGTERM)
    node.process.wait(timeout=GRACE_S + 2.0)


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

    # Planned work: the first machine is stopped, and started again after a change.
    stop_as_planned(first)
    submit(second, 2, 1)
    record.write("version 00000002 is acknowledged")
    first.start(bootstrap=False)
    wait_until(lambda: first.read() == (200, "00000002"), within_s=20, what="n1 back")
    time.sleep(CATCH_UP_S)

    if has_trouble():
        for node in fleet.nodes:
            node.kill()
        third.lose_disk()
        first.start(bootstrap=False)
        third.start(bootstrap=False)
        time.sleep(SECOND_LATER_S)
        second.start(bootstrap=False)
    time.sleep(RECOVERY_S)

    answers = [node.read() for _ in range(3) for node in fleet.nodes]
    versions = {version for status, version in answers if status == 200}
    if not versions:
        raise CouldNotRunError("no node answers a read")
    return versions == {"00000002"}


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
