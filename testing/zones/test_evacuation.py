"""The orders in force on one instance."""

from __future__ import annotations

from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.evacuation import OpenUpstreams
from coltsfootrill.zones.orders import ZoneOrders
from testing.records import make_usable_record


class TestEvacuatedZones:
    # Guards against a hub that is behind, frozen or cut off and then undoes a newer order.
    def test_only_a_newer_order_is_adopted(self) -> None:
        changes: list[int] = []
        zones = EvacuatedZones(on_adopt=lambda before, after: changes.append(after.number))
        assert zones.adopt(ZoneOrders(2, {"z1": 2}))
        assert not zones.adopt(ZoneOrders(1, {}, {"z1": 1}))
        assert not zones.adopt(ZoneOrders())
        assert zones.is_evacuated("z1")
        assert zones.adopt(ZoneOrders(3, {}, {"z1": 3}))
        assert not zones.is_evacuated("z1")
        assert changes == [2, 3]


class TestOpenUpstreams:
    """Load is polled only where requests may be sent."""

    def test_upstreams_of_evacuated_zones_are_left_out(self) -> None:
        records = [make_usable_record("u1", zone="z1"), make_usable_record("u2", zone="z2")]
        zones = EvacuatedZones()
        upstreams = OpenUpstreams(zones, lambda: records)
        assert upstreams.list_open() is records
        zones.adopt(ZoneOrders(1, {"z1": 1}))
        open_records = upstreams.list_open()
        assert [record.announcement.id for record in open_records] == ["u2"]
        # The poller compares the lists by identity.
        assert upstreams.list_open() is open_records
        zones.adopt(ZoneOrders(2, {}, {"z1": 2}))
        assert upstreams.list_open() is records
