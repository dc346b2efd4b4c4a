"""Orders of operators on availability zones: evacuate a zone, or restore it.

The orders are part of the replicated register and ordered by a number that grows with each of them.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.model import Identifier

# Each reply of a hub holds the orders, so their size is bounded.
EVACUATED_MAX_COUNT = 32
RESTORED_MAX_COUNT = 32

ZoneAction = Literal["evacuate", "restore"]


class InvalidZoneOrderError(ColtsfootrillError):
    """The order cannot be carried out; nothing was changed."""


class ZoneOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order of an operator on one availability zone."""

    action: ZoneAction
    zone: Identifier


class ZoneOrders(msgspec.Struct, frozen=True, array_like=True):
    """The orders in force after order ``number``, 0 before the first.

    ``evacuated`` and ``restored`` map a zone to the number of the order on it that came last.
    ``restored`` holds only the newest zones.
    """

    number: int = 0
    evacuated: dict[str, int] = {}
    restored: dict[str, int] = {}

    def get_last_number(self, zone: str) -> int:
        """Return the number of the last order on a zone, 0 if none is known."""
        return max(self.evacuated.get(zone, 0), self.restored.get(zone, 0))


def parse_zone_order(action: ZoneAction, zone: str) -> ZoneOrder:
    """Return the order; raise ``InvalidZoneOrderError`` if the zone has no valid name.

    The zone need not be that of any known upstream.
    """
    try:
        return msgspec.convert([action, zone], ZoneOrder)
    except msgspec.ValidationError as error:
        raise InvalidZoneOrderError(f"{zone!r} is no name of an availability zone") from error


def apply_zone_order(orders: ZoneOrders, order: ZoneOrder) -> ZoneOrders:
    """Return the orders after one more; the same object if its zone is already in that state.

    Raises ``InvalidZoneOrderError`` if too many zones are evacuated.
    """
    is_evacuated = order.zone in orders.evacuated
    if is_evacuated == (order.action == "evacuate"):
        return orders
    number = orders.number + 1
    evacuated = dict(orders.evacuated)
    restored = dict(orders.restored)
    if order.action == "evacuate":
        if len(evacuated) >= EVACUATED_MAX_COUNT:
            raise InvalidZoneOrderError(
                f"{EVACUATED_MAX_COUNT} availability zones are evacuated already; restore one first"
            )
        evacuated[order.zone] = number
        restored.pop(order.zone, None)
    else:
        del evacuated[order.zone]
        restored[order.zone] = number
        restored = dict(sorted(restored.items(), key=_get_number)[-RESTORED_MAX_COUNT:])
    return ZoneOrders(number, evacuated, restored)


def describe_evacuated(orders: ZoneOrders) -> str:
    """Return the names of the evacuated zones, for operators."""
    return " ".join(sorted(orders.evacuated))


def _get_number(item: tuple[str, int]) -> int:
    return item[1]
