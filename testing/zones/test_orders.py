"""Orders of operators on zones, without a register."""

from __future__ import annotations

import pytest

from coltsfootrill.zones.orders import EVACUATED_MAX_COUNT
from coltsfootrill.zones.orders import RESTORED_MAX_COUNT
from coltsfootrill.zones.orders import InvalidZoneOrderError
from coltsfootrill.zones.orders import ZoneAction
from coltsfootrill.zones.orders import ZoneOrders
from coltsfootrill.zones.orders import apply_zone_order
from coltsfootrill.zones.orders import parse_zone_order


def give(orders: ZoneOrders, *given: tuple[ZoneAction, str]) -> ZoneOrders:
    for action, zone in given:
        orders = apply_zone_order(orders, parse_zone_order(action, zone))
    return orders


class TestOrders:
    def test_several_zones_are_evacuated_and_one_of_them_restored(self) -> None:
        orders = give(ZoneOrders(), ("evacuate", "z1"), ("evacuate", "z2"), ("restore", "z1"))
        assert orders == ZoneOrders(3, {"z2": 2}, {"z1": 3})

    def test_an_order_that_is_in_force_changes_nothing(self) -> None:
        orders = give(ZoneOrders(), ("evacuate", "z1"))
        assert give(orders, ("evacuate", "z1")) is orders
        assert give(orders, ("restore", "z2")) is orders

    def test_the_size_of_the_orders_is_bounded(self) -> None:
        names = [f"z{number}" for number in range(EVACUATED_MAX_COUNT)]
        full = give(ZoneOrders(), *[("evacuate", name) for name in names])
        with pytest.raises(InvalidZoneOrderError, match="restore one first"):
            give(full, ("evacuate", "another"))
        restored = give(full, *[("restore", name) for name in names], ("evacuate", "y"))
        restored = give(restored, ("restore", "y"))
        assert len(restored.restored) == RESTORED_MAX_COUNT
        assert "z0" not in restored.restored

    @pytest.mark.parametrize("zone", ["", "Z1", "a/b", "a b", "z" * 65, "ä"])
    def test_a_name_that_no_zone_can_have_is_refused(self, zone: str) -> None:
        with pytest.raises(InvalidZoneOrderError):
            parse_zone_order("evacuate", zone)
