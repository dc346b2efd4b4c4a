from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

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


class TestWiderInterface:
    def test_it_is_that_of_a_current_hub_with_a_wider_link(self) -> None:
        assert make_client(hub_link_mbps=100).find_wider_interface(2) == "10.0.0.1:8649"

    # Guards against a redirect that gains nothing, or to a hub whose link is not known.
    def test_a_hub_with_a_link_that_is_not_wider_or_unknown_is_not_named(self) -> None:
        assert make_client(hub_link_mbps=2).find_wider_interface(2) is None
        assert make_client(hub_link_mbps=0).find_wider_interface(2) is None
