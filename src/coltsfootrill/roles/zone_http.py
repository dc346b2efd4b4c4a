"""Routes of a control replica for orders of operators on availability zones."""

from __future__ import annotations

from typing import Any

from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.replica import ControlReplica
from coltsfootrill.operators.http import HttpApp
from coltsfootrill.operators.http import HttpReply
from coltsfootrill.operators.http import HttpRequest
from coltsfootrill.zones.orders import InvalidZoneOrderError
from coltsfootrill.zones.orders import ZoneAction
from coltsfootrill.zones.orders import ZoneOrders
from coltsfootrill.zones.orders import parse_zone_order

EVACUATE_PREFIX = "/zones/evacuate/"
RESTORE_PREFIX = "/zones/restore/"
LIST_PATH = "/zones"


class ZoneHandlers:
    """Handles orders and lists the evacuated zones, at one control replica."""

    __slots__ = ("_replica",)

    def __init__(self, replica: ControlReplica) -> None:
        self._replica = replica

    def add_routes(self, app: HttpApp) -> None:
        """Add the routes; all need the token of operators."""
        app.add("GET", LIST_PATH, self._handle_list)
        app.add_prefix("POST", EVACUATE_PREFIX, self._handle_evacuate)
        app.add_prefix("POST", RESTORE_PREFIX, self._handle_restore)

    def _handle_list(self, request: HttpRequest) -> HttpReply:
        try:
            state = self._replica.read()
        except NoQuorumError as error:
            return _make_error_reply("503 Service Unavailable", "no-quorum", error)
        return HttpReply.from_json("200 OK", make_zone_status(state.zone_orders))

    def _handle_evacuate(self, request: HttpRequest) -> HttpReply:
        return self._order(request, "evacuate", request.path.removeprefix(EVACUATE_PREFIX))

    def _handle_restore(self, request: HttpRequest) -> HttpReply:
        return self._order(request, "restore", request.path.removeprefix(RESTORE_PREFIX))

    def _order(self, request: HttpRequest, action: ZoneAction, zone: str) -> HttpReply:
        try:
            order = parse_zone_order(action, zone)
            orders = self._replica.order_zone(order, operator=request.operator)
        except InvalidZoneOrderError as error:
            return _make_error_reply("400 Bad Request", "invalid", error)
        except NoQuorumError as error:
            return _make_error_reply("503 Service Unavailable", "no-quorum", error)
        except UnknownResultError as error:
            return _make_error_reply("504 Gateway Timeout", "unknown", error)
        return HttpReply.from_json("200 OK", {"result": "accepted"} | make_zone_status(orders))


def make_zone_status(orders: ZoneOrders) -> dict[str, Any]:
    """Return the newest order and the evacuated zones, each with the order since which it is."""
    return {"zone_order": orders.number, "evacuated": dict(sorted(orders.evacuated.items()))}


def _make_error_reply(status: str, result: str, error: Exception) -> HttpReply:
    return HttpReply.from_json(status, {"result": result, "message": str(error)})
