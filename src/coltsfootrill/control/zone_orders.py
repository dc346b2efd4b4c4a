"""Orders on availability zones in the control state."""

from __future__ import annotations

import msgspec

from coltsfootrill.control.messages import AuditRecord
from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.submission import append_audit
from coltsfootrill.zones.orders import ZoneOrder
from coltsfootrill.zones.orders import ZoneOrders
from coltsfootrill.zones.orders import apply_zone_order
from coltsfootrill.zones.orders import describe_evacuated


class ZoneOrderChange:
    """One order of an operator, applied to the state of the register as often as a round needs.

    A round that fails is repeated on the state that others have left. If they have ordered anything
    on the same zone since the first of these states, this order counts as one before theirs, so
    that a delayed copy of it undoes nothing.
    """

    __slots__ = ("_operator", "_order", "_since", "_wall_ms")

    def __init__(self, order: ZoneOrder, *, operator: str, wall_ms: int) -> None:
        self._order = order
        self._operator = operator
        self._wall_ms = wall_ms
        self._since: int | None = None

    def apply(self, state: ControlState) -> tuple[ControlState, ZoneOrders]:
        """Return the state after the order and the orders in it.

        The state is the same object if the order is in force already or has been superseded. Raises
        ``InvalidZoneOrderError`` if the order cannot be carried out.
        """
        before = state.zone_orders
        if self._since is None:
            self._since = before.number
        if before.get_last_number(self._order.zone) > self._since:
            return state, before
        after = apply_zone_order(before, self._order)
        if after is before:
            return state, before
        record = AuditRecord(
            state.audit_count + 1,
            self._wall_ms,
            self._operator,
            f"{self._order.action}-zone",
            describe_evacuated(before),
            describe_evacuated(after),
            f"order {after.number}",
        )
        return append_audit(msgspec.structs.replace(state, zone_orders=after), record), after
