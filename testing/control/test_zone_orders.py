"""Orders on zones in the register: raced, repeated, late, and kept through failures."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from coltsfootrill.control.messages import ControlState
from coltsfootrill.control.proposer import NoQuorumError
from coltsfootrill.control.proposer import UnknownResultError
from coltsfootrill.control.zone_orders import ZoneOrderChange
from coltsfootrill.zones.orders import ZoneAction
from coltsfootrill.zones.orders import ZoneOrders
from coltsfootrill.zones.orders import parse_zone_order
from testing.control.cluster import Cluster

VOTERS = "abc"


def make_change(action: ZoneAction, zone: str, *, operator: str = "ann") -> ZoneOrderChange:
    return ZoneOrderChange(parse_zone_order(action, zone), operator=operator, wall_ms=7)


def give(
    cluster: Cluster, at: str, action: ZoneAction, zone: str, *, timeout_ms: float = 3_000
) -> ZoneOrders:
    return cluster.registers[at].change(
        make_change(action, zone, operator=at).apply,
        deadline_ms=cluster.clock.now_ms() + timeout_ms,
    )


def read(cluster: Cluster, at: str) -> set[str]:
    return set(cluster.read(at).zone_orders.evacuated)


class TestChange:
    """One order on a state, without a register."""

    def test_it_is_recorded_for_the_audit_once(self) -> None:
        state = ControlState(1, 1, {}, 3, "d", b"m", [], [], 4)
        change = make_change("evacuate", "z1")
        after, orders = change.apply(state)
        assert (orders.number, after.manifest, after.audit_count) == (1, b"m", 5)
        record = after.audit[-1]
        assert (record.action, record.operator, record.before, record.after) == (
            "evacuate-zone",
            "ann",
            "",
            "z1",
        )
        # Another copy of the order, at another voter.
        assert make_change("evacuate", "z1").apply(after) == (after, orders)

    # Guards against a copy of an order whose round was outbid and that undoes what came after it.
    @pytest.mark.parametrize(
        ("late", "opposite"), [("evacuate", "restore"), ("restore", "evacuate")]
    )
    def test_a_late_copy_undoes_no_order_that_came_meanwhile(
        self, late: ZoneAction, opposite: ZoneAction
    ) -> None:
        state = ControlState(1, 1, {}, 3, "d", b"m", [], [], 0)
        if late == "restore":
            state, _ = make_change("evacuate", "z1").apply(state)
        copy = make_change(late, "z1")
        copy.apply(state)
        for action in (late, opposite):
            state, _ = make_change(action, "z1").apply(state)
        assert copy.apply(state) == (state, state.zone_orders)

    def test_an_order_on_another_zone_is_no_reason_to_drop_it(self) -> None:
        state = ControlState(1, 1, {}, 3, "d", b"m", [], [], 0)
        change = make_change("evacuate", "z1")
        change.apply(state)
        state, _ = make_change("evacuate", "z2").apply(state)
        assert set(change.apply(state)[1].evacuated) == {"z1", "z2"}


class TestRegister:
    def test_a_manifest_and_the_orders_leave_each_other_alone(self) -> None:
        cluster = Cluster()
        # There is no manifest yet.
        give(cluster, "a", "evacuate", "z1")
        cluster.submit("b", 1, "one")
        give(cluster, "c", "evacuate", "z2")
        cluster.submit("a", 2, "two")
        state = cluster.read("b")
        assert (state.manifest, set(state.zone_orders.evacuated)) == (b"two", {"z1", "z2"})

    @pytest.mark.parametrize("seed", range(5))
    def test_racing_operators_end_in_one_order_everywhere(self, seed: int) -> None:
        cluster = Cluster(seed=seed)
        cluster.submit("a", 1, "one")
        orders: list[tuple[str, ZoneAction, str]] = [
            ("a", "evacuate", "z1"),
            ("b", "evacuate", "z2"),
            ("c", "restore", "z1"),
        ]
        with ThreadPoolExecutor(3) as pool:
            answers = list(pool.map(lambda order: give(cluster, *order, timeout_ms=8_000), orders))
        assert len({frozenset(read(cluster, at)) for at in VOTERS}) == 1
        state = cluster.read("a")
        assert state.zone_orders.number == max(answer.number for answer in answers)
        assert "z2" in state.zone_orders.evacuated
        # Each order that changed something has a record; the numbers have no gap.
        numbers = [record.result for record in state.audit if record.action.endswith("-zone")]
        assert numbers == [f"order {n + 1}" for n in range(state.zone_orders.number)]

    def test_it_is_accepted_while_a_voter_is_silent(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.silent.add("c")
        start_ms = cluster.clock.now_ms()
        give(cluster, "a", "evacuate", "z1")
        assert cluster.clock.now_ms() - start_ms < 500
        cluster.silent.clear()
        assert read(cluster, "b") == {"z1"}

    def test_a_voter_lost_between_its_disk_and_its_reply_loses_nothing(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        cluster.cut = {("a", "c")}
        cluster.lost_replies = {"b"}
        with pytest.raises((NoQuorumError, UnknownResultError)):
            give(cluster, "a", "evacuate", "z1", timeout_ms=300)
        cluster.cut.clear()
        cluster.lost_replies.clear()
        # The operator sends it again, elsewhere.
        give(cluster, "c", "evacuate", "z1")
        assert [read(cluster, at) for at in VOTERS] == [{"z1"}] * 3

    def test_an_acknowledged_order_survives_the_loss_of_power_of_all(self) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        give(cluster, "a", "evacuate", "z1")
        for disk in cluster.disks.values():
            disk.crash()
        cluster.restart_all()
        assert [read(cluster, at) for at in VOTERS] == [{"z1"}] * 3

    @pytest.mark.parametrize("lost", VOTERS)
    def test_an_acknowledged_order_survives_the_loss_of_a_disk(self, lost: str) -> None:
        cluster = Cluster()
        cluster.submit("a", 1, "one")
        give(cluster, "a", "evacuate", "z1")
        cluster.lose_disk(lost)
        cluster.restart_proposer(lost)
        left = next(at for at in VOTERS if at != lost)
        cluster.replace(left, lost, lost)
        assert read(cluster, left) == {"z1"}


class TestStoredState:
    # Guards against voters that cannot read their disk after an upgrade.
    def test_a_state_of_an_earlier_version_has_no_orders(self) -> None:
        fields = [(field.name, field.type) for field in msgspec.structs.fields(ControlState)]
        earlier = msgspec.defstruct("ControlState", fields[:-1], array_like=True, frozen=True)
        stored = msgspec.msgpack.encode(earlier(1, 1, {}, 3, "d", b"m", [], [], 1, {}))
        assert msgspec.msgpack.decode(stored, type=ControlState).zone_orders == ZoneOrders()
