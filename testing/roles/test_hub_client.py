from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.roles.hub_client import HubClient

OWN_ADDRESS = "10.0.0.9:7160"
HUB_ADDRESS = "10.0.0.1:7160"


def make_client(*, hub_link_mbps: float) -> HubClient:
    """Return the client of an instance that knows one current hub."""
    hub = InstanceRecord("hub", 1, HUB_ADDRESS, "z1", False, 1, hub_link_mbps)
    view: Any = SimpleNamespace(
        list_instances=lambda: [hub], list_current_hubs=lambda: [HUB_ADDRESS, OWN_ADDRESS]
    )
    following: Any = SimpleNamespace()
    return HubClient(
        following, view, own_id="n9", own_address=OWN_ADDRESS, interface_port=8649, random=Random(1)
    )


class TestWiderLink:
    # Guards against a redirect that gains nothing, or to a hub whose link is not known.
    @pytest.mark.parametrize(("hub_link_mbps", "is_wider"), [(100, True), (2, False), (0, False)])
    def test_only_a_link_that_is_known_to_be_wider_is(
        self, hub_link_mbps: float, is_wider: bool
    ) -> None:
        client = make_client(hub_link_mbps=hub_link_mbps)
        assert client.has_wider_link(HUB_ADDRESS, 2) is is_wider

    def test_an_unknown_hub_has_none(self) -> None:
        assert not make_client(hub_link_mbps=100).has_wider_link("10.0.0.7:7160", 2)
