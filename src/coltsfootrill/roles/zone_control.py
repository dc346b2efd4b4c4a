"""Orders on availability zones at a node: given by an operator, kept in the register, in force."""

from __future__ import annotations

from collections.abc import Callable

from coltsfootrill.clock import Clock
from coltsfootrill.control.messages import AdoptRequest
from coltsfootrill.control.messages import ZoneOrderReply
from coltsfootrill.control.messages import ZoneOrderRequest
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.events.catalog import ZoneOrdered
from coltsfootrill.events.log import EventLog
from coltsfootrill.membership.hub import Hub
from coltsfootrill.roles.hub_client import HubClient
from coltsfootrill.roles.majority_adoption import MajorityAdoption
from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.orders import InvalidZoneOrderError
from coltsfootrill.zones.orders import ZoneAction
from coltsfootrill.zones.orders import ZoneOrders
from coltsfootrill.zones.orders import parse_zone_order


class ZoneControl:
    """Carries out orders on this node's replica if its hub is current, else on another one.

    ``get_replica`` returns ``None`` on a node without a data folder.
    """

    def __init__(
        self,
        zones: EvacuatedZones,
        *,
        get_replica: Callable[[], ControlReplica | None],
        hub: Hub,
        hub_client: HubClient,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._zones = zones
        self._get_replica = get_replica
        self._hub = hub
        self._hub_client = hub_client
        self._clock = clock
        self._log = log
        self._adoption = MajorityAdoption(
            lambda reply: reply.order_number, hub=hub, hub_client=hub_client
        )

    def order(self, action: ZoneAction, zone: str, *, operator: str) -> ZoneOrders:
        """Carry out an order; see ``ControlOperations``."""
        request = ZoneOrderRequest(parse_zone_order(action, zone), operator)
        start_ms = self._clock.now_ms()
        if self._get_replica() is not None and self._hub.is_current():
            reply = self.order_locally(request)
        else:
            reply = self._hub_client.order_zone(request)
        self._log.emit(
            ZoneOrdered(
                action=action,
                zone=zone,
                operator=operator,
                number=reply.orders.number,
                result=reply.result,
                message=reply.message,
                took_ms=round(self._clock.now_ms() - start_ms, 1),
            )
        )
        return _get_orders(reply)

    def order_locally(self, request: ZoneOrderRequest) -> ZoneOrderReply:
        """Carry out an order on the replica of this node, and put it into force at a majority."""
        replica = self._get_replica()
        if replica is None:
            message = "this node has no data folder and does not vote; send it to a voting node"
            return ZoneOrderReply("no-quorum", message, ZoneOrders())
        try:
            orders = replica.order_zone(request.order, operator=request.operator)
        except InvalidZoneOrderError as error:
            return ZoneOrderReply("invalid", str(error), ZoneOrders())
        except NoQuorumError as error:
            return ZoneOrderReply("no-quorum", str(error), ZoneOrders())
        except UnknownResultError as error:
            return ZoneOrderReply("unknown", str(error), ZoneOrders())
        self._zones.adopt(orders)
        if not self._adoption.ensure(orders.number, lambda: AdoptRequest(b"", orders)):
            message = "no majority of the replicas has it in force yet; send it again"
            return ZoneOrderReply("unknown", message, orders)
        return ZoneOrderReply("done", "in force at a majority", orders)


def _get_orders(reply: ZoneOrderReply) -> ZoneOrders:
    """Return the orders in force; raise the error that the result stands for."""
    if reply.result == "invalid":
        raise InvalidZoneOrderError(reply.message)
    if reply.result == "no-quorum":
        raise NoQuorumError(reply.message)
    if reply.result == "unknown":
        raise UnknownResultError(reply.message)
    return reply.orders
