"""A node whose log is not read goes on: it follows changes, answers, and ends in time."""

from __future__ import annotations

import os
import signal
import time
from typing import Any

from testing.platform.test_desired_state import encode_state
from testing.platform.test_desired_state import route
from testing.processes import wait_until
from testing.roles.test_node import Fleet
from testing.roles.test_node import send_request
from testing.test_output import fill

GRACE_S = 6.0
ROUNDS_COUNT = 2
CATCH_UP_S = 4.0


class TestUnreadLog:
    # Guards against a node that keeps an outdated manifest and says that it is ready.
    def test_node_follows_changes_and_ends_in_time(self, fleet: Fleet) -> None:
        fleet.submit_manifest(2, 0)
        fleet.announce_upstream(1)
        node = fleet.nodes[3]
        node.end()
        reader, writer = os.pipe()
        fill(writer)
        node.start(is_first_start=False, log=writer)
        wait_until(lambda: send_request(node) == 200, within_s=20)
        # The node logs that it has replaced its connection to each of them, some time later.
        for voter in fleet.nodes[:3] * ROUNDS_COUNT:
            voter.end(signal.SIGTERM)
            voter.start(is_first_start=False)
            wait_until(lambda voter=voter: voter.read()[0] == 200, within_s=20)  # type: ignore[misc]
            time.sleep(CATCH_UP_S)
        raw = encode_state(route(pathPrefix="/y/"), version="00000003")
        wait_until(lambda: fleet.nodes[0].submit(raw, 2) == 200, within_s=20)
        # The route that clients used so far is gone.
        wait_until(lambda: send_request(node) == 404, within_s=5)
        assert b"coltsfootrill_dropped_lines" in node.call("metrics", "GET", "/metrics")[1]
        start_s = time.monotonic()
        assert node.end(signal.SIGTERM) == 0
        assert time.monotonic() - start_s < GRACE_S
        os.close(reader)
        os.close(writer)


class TestRequestsWithoutRoute:
    # Guards against a refusal of which the log cannot tell whether its manifest was outdated.
    def test_the_log_tells_which_manifest_had_no_route_and_which_hubs_replied(
        self, fleet: Fleet
    ) -> None:
        fleet.submit_manifest(2, 0)
        node = fleet.nodes[3]
        headers = {"Host": "a.example", "X_Attempt_Id": "q9"}

        def is_told() -> bool:
            node.call("callers", "GET", "/none/", **headers)
            return any(map(_has_three_replies, node.list_events("request-ended")))

        wait_until(is_told, within_s=20)


def _has_three_replies(event: dict[str, Any]) -> bool:
    source = event.get("manifest_source")
    if source is None or event["manifest"] != 2 or source["age_ms"] < 0:
        return False
    return [(reply["version"], reply["age_ms"] >= 0) for reply in source["replies"]] == [
        (2, True)
    ] * 3
