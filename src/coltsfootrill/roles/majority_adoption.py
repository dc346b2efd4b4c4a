"""Puts what the register has accepted into force at a majority of the replicas."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.control.messages import AdoptReply
from coltsfootrill.control.messages import AdoptRequest
from coltsfootrill.membership.hub import Hub
from coltsfootrill.roles.hub_client import HubClient


class MajorityAdoption:
    """One series of numbered changes, each of which includes those before.

    What is acknowledged after ``ensure`` is told to all instances although one replica is lost.
    """

    __slots__ = ("_get_number", "_hub", "_hub_client", "_newest")

    def __init__(
        self, get_number: Callable[[AdoptReply], int], *, hub: Hub, hub_client: HubClient
    ) -> None:
        self._get_number = get_number
        self._hub = hub
        self._hub_client = hub_client
        # The newest number that a majority of the replicas is known to have in force.
        self._newest = 0

    def ensure(self, number: int, make_request: Callable[[], AdoptRequest]) -> bool:
        """Return whether a majority has the change with ``number`` in force, after asking it to.

        It must be in force on this node. ``make_request`` is called only if others are asked.
        """
        if number <= self._newest:
            return True
        is_in_force = self._hub_client.put_in_force(
            make_request(),
            lambda reply: self._get_number(reply) >= number,
            replicas=self._hub.replicas,
        )
        if is_in_force:
            self._newest = max(self._newest, number)
        return is_in_force
