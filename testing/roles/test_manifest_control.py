"""Reads of the manifest at one node: who sends it, and the line that is logged."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from coltsfootrill.clock import ManualClock
from coltsfootrill.control.messages import ReadReply
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.events.catalog import ManifestRead
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.roles.hub_client import HubClient
from coltsfootrill.roles.manifest_control import READ_SEND_MAX_MS
from coltsfootrill.roles.manifest_control import ManifestControl

HUB = "10.0.0.1:7160"
HUB_INTERFACE = "10.0.0.1:8649"
OWN_LINK_MBPS = 2.0
# What the own link sends in the time that a read may take.
LIMIT_BYTES = int(READ_SEND_MAX_MS * OWN_LINK_MBPS * 125)


class ReadingNode:
    """A node with a narrow link and no replica; one hub answers its reads with ``reply``."""

    def __init__(self, reply: ReadReply, *, hub_link_mbps: float) -> None:
        hub = InstanceRecord("n1", 1, HUB, "z1", False, 1, hub_link_mbps)
        own = InstanceRecord("n9", 1, "10.0.0.9:7160", "z1", False, 1, OWN_LINK_MBPS)
        view: Any = SimpleNamespace(
            list_instances=lambda: [hub], list_current_hubs=lambda: [hub.address]
        )
        client = SimpleNamespace(call=lambda method, request, *, timeout_ms: reply)
        following: Any = SimpleNamespace(get_client=lambda address: client)
        unused: Any = None
        manifests: Any = SimpleNamespace(read_newer=lambda version: (0, b""))
        self.events: list[ManifestRead] = []
        log: Any = SimpleNamespace(emit=self.events.append)
        self.control = ManifestControl(
            manifests,
            own_record=own,
            sync=unused,
            zones=unused,
            get_replica=lambda: None,
            hub=unused,
            hub_client=HubClient(
                following,
                view,
                own_id=own.id,
                own_address=own.address,
                interface_port=8649,
                random=Random(1),
            ),
            clock=ManualClock(),
            log=log,
        )


class TestSourceOfARead:
    # Guards against a manifest that is sent over a link that needs longer than operators wait.
    @pytest.mark.parametrize(
        ("size_bytes", "hub_link_mbps", "source"),
        [
            (LIMIT_BYTES, 100, None),
            (LIMIT_BYTES + 1, 100, HUB_INTERFACE),
            (LIMIT_BYTES + 1, OWN_LINK_MBPS, None),
            (LIMIT_BYTES + 1, 0, None),
        ],
    )
    def test_only_a_hub_with_a_wider_link_is_named_for_a_large_manifest(
        self, size_bytes: int, hub_link_mbps: float, source: str | None
    ) -> None:
        raw = b"x" * size_bytes
        node = ReadingNode(ReadReply(True, 3, raw, []), hub_link_mbps=hub_link_mbps)
        answer = node.control.read()
        assert (answer.raw, answer.source) == (raw, source)
        assert [(event.size_bytes, event.redirected_to) for event in node.events] == [
            (size_bytes, source)
        ]

    def test_a_read_that_no_majority_confirms_is_logged_with_its_error(self) -> None:
        node = ReadingNode(ReadReply(False, 0, b"", []), hub_link_mbps=100)
        with pytest.raises(NoQuorumError) as raised:
            node.control.read()
        assert [event.error for event in node.events] == [str(raised.value)]
