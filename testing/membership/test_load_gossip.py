from __future__ import annotations

import socket
import threading
from collections.abc import Callable

import msgspec
import pytest

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.load_report_cache import LoadReportCache
from coltsfootrill.balancer.load_report_cache import ReportEntry
from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.membership.datagrams import DatagramPort
from coltsfootrill.membership.load_gossip import COLLECT_INTERVAL_MS
from coltsfootrill.membership.load_gossip import COLLECTOR_LINK_SHARE
from coltsfootrill.membership.load_gossip import HOPS_TO_COLLECTOR
from coltsfootrill.membership.load_gossip import CollectedLoads
from coltsfootrill.membership.load_gossip import LoadGossipExchange
from coltsfootrill.membership.load_gossip import ReceiversInTurn
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.messages import LoadEntry
from coltsfootrill.membership.messages import LoadGossip
from coltsfootrill.membership.relay_topology import choose_collector
from coltsfootrill.membership.relay_topology import choose_relays
from coltsfootrill.membership.relay_topology import list_collectors
from coltsfootrill.membership.relay_topology import list_neighbours
from testing.processes import wait_until


def _record(number: int, zone: str, *, port: int = 1) -> InstanceRecord:
    return InstanceRecord(f"n{number}", 1, f"127.0.0.{number}:{port}", zone, False, 0)


FLEET = [_record(number, f"z{number % 3}") for number in range(1, 19)]


class TestRelayTopology:
    def test_one_instance_of_each_other_zone_is_chosen_as_relay(self) -> None:
        own = FLEET[0]
        relays = choose_relays(own, FLEET)
        zones = {record.zone for record in FLEET if record.address in relays}
        assert len(relays) == 2
        assert zones == {"z0", "z2"}

    def test_the_senders_of_a_zone_use_different_relays(self) -> None:
        relays = {relay for own in FLEET for relay in choose_relays(own, FLEET)}
        assert len(relays) > 6

    def test_neighbours_are_the_other_instances_of_the_own_zone(self) -> None:
        assert len(list_neighbours(FLEET[0], FLEET)) == 5
        assert FLEET[0].address not in list_neighbours(FLEET[0], FLEET)


def _open_exchange(
    record: InstanceRecord,
    fleet: list[InstanceRecord],
    on_reports: Callable[[list[ReportEntry]], None],
) -> LoadGossipExchange:
    port = DatagramPort(record.address)
    port.open()
    exchange = LoadGossipExchange(
        record, port=port, list_instances=lambda: fleet, on_reports=on_reports, clock=Clock()
    )
    threading.Thread(target=port.run, daemon=True).start()
    return exchange


class TestExchange:
    @pytest.mark.parametrize("zone", ["z1", "z2"])
    def test_a_report_also_reaches_the_neighbours_of_the_relay(self, zone: str) -> None:
        port = _find_port()
        fleet = [_record(2, "z1", port=port), _record(3, zone, port=port)]
        fleet.append(_record(4, zone, port=port))
        seen: dict[str, list[ReportEntry]] = {record.id: [] for record in fleet}
        arrived = {record.id: threading.Event() for record in fleet}
        exchanges = []
        for record in fleet:

            def store(entries: list[ReportEntry], key: str = record.id) -> None:
                seen[key].extend(entries)
                arrived[key].set()

            exchanges.append(_open_exchange(record, fleet, store))
        report = LoadReport(in_flight=2, slots=3, state="serving", pace=7.0)
        exchanges[0].send([ReportEntry("u1", report, age_ms=12.6)], crosses_zones=True)
        for key in ("n3", "n4"):
            assert arrived[key].wait(5)
            entry = seen[key][0]
            assert (entry.upstream_id, entry.report.pace, entry.age_ms) == ("u1", 7.0, 12)

    def test_a_stated_rate_arrives_with_and_without_a_load(self) -> None:
        port = _find_port()
        fleet = [_record(number, "z1", port=port) for number in (5, 6)]
        seen: list[ReportEntry] = []
        exchanges = [_open_exchange(record, fleet, seen.extend) for record in fleet]
        report = LoadReport(in_flight=2, slots=3, state="serving")
        entries = [
            ReportEntry("u1", report, age_ms=0, per_s=2.5),
            ReportEntry("u2", None, age_ms=0, per_s=0.0),
        ]
        exchanges[0].send(entries, crosses_zones=False)
        wait_until(lambda: len(seen) == 2)
        assert [(entry.upstream_id, entry.per_s) for entry in seen] == [("u1", 2.5), ("u2", 0.0)]
        assert seen[0].report is not None
        assert seen[1].report is None

    def test_a_leaving_upstream_arrives_with_its_incarnation(self) -> None:
        port = _find_port()
        fleet = [_record(number, "z1", port=port) for number in (9, 10)]
        seen: list[ReportEntry] = []
        exchanges = [_open_exchange(record, fleet, seen.extend) for record in fleet]
        entry = ReportEntry("u1", None, age_ms=0, leaving_incarnation=2**52)
        exchanges[0].send([entry], crosses_zones=False)
        wait_until(lambda: len(seen) == 1)
        assert seen[0].leaving_incarnation == 2**52
        assert seen[0].report is None

    def test_a_cold_upstream_arrives_with_the_time_that_is_left(self) -> None:
        port = _find_port()
        fleet = [_record(number, "z1", port=port) for number in (11, 12)]
        seen: list[ReportEntry] = []
        exchanges = [_open_exchange(record, fleet, seen.extend) for record in fleet]
        entries = [
            ReportEntry("u1", None, age_ms=12.6, cold_ms=2_500.2),
            ReportEntry("u2", None, age_ms=0, cold_ms=0),
            ReportEntry("u3", None, age_ms=0, per_s=1.0),
        ]
        exchanges[0].send(entries, crosses_zones=False)
        wait_until(lambda: len(seen) == 3)
        assert [entry.cold_ms for entry in seen] == [2_501, 0, None]
        assert seen[0].age_ms == 12

    def test_loads_of_many_upstreams_with_long_identifiers_all_arrive(self) -> None:
        port = _find_port()
        fleet = [_record(number, "z1", port=port) for number in (7, 8)]
        seen: list[ReportEntry] = []
        exchanges = [_open_exchange(record, fleet, seen.extend) for record in fleet]
        report = LoadReport(in_flight=2, slots=3, state="serving", pace=7.0)
        names = {f"upstream-{number}-".ljust(64, "x") for number in range(450)}
        exchanges[0].send(
            [ReportEntry(name, report, age_ms=12.0) for name in names], crosses_zones=False
        )
        wait_until(lambda: {entry.upstream_id for entry in seen} == names)

    def test_datagrams_that_cannot_be_decoded_are_dropped(self) -> None:
        port = _find_port()
        own = _record(5, "z1", port=port)
        seen = threading.Event()
        _open_exchange(own, [own], lambda entries: seen.set())
        other = _open_exchange(_record(6, "z1", port=port), [own], lambda entries: None)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"\xc1nonsense", b"L\xc1nonsense"):
                sender.sendto(data, ("127.0.0.5", port))
        report = LoadReport(in_flight=0, slots=3, state="serving")
        other.send([ReportEntry("u1", report, age_ms=0)], crosses_zones=False)
        assert seen.wait(5)


class TestCollectors:
    """In a large zone, the number of datagrams that an instance sends must not grow with it."""

    FLEET = [_record(number, f"z{number % 3}") for number in range(1, 121)]

    def test_a_small_zone_has_no_collectors(self) -> None:
        assert choose_collector(FLEET[0], FLEET, turn=1) is None

    def test_all_instances_of_a_large_zone_alternate_between_the_same_collectors(self) -> None:
        members = [record for record in self.FLEET if record.zone == "z1"]
        for turn in (1, 2):
            chosen = {choose_collector(own, self.FLEET, turn=turn) for own in members}
            assert len(chosen) == 1
        assert choose_collector(members[0], self.FLEET, turn=1) != choose_collector(
            members[0], self.FLEET, turn=2
        )

    def test_instances_with_the_highest_bandwidth_are_collectors(self) -> None:
        wide = msgspec.structs.replace(self.FLEET[0], link_mbps=100.0)
        fleet = [wide, *self.FLEET[1:]]
        assert list_collectors(wide.zone, fleet)[0].id == wide.id

    # Guards against CONFIG in a large fleet: the second collector of a zone had a narrow link, and
    # what it sent left no room on it for news of manifests.
    def test_an_instance_with_a_far_narrower_link_is_no_collector(self) -> None:
        wide, *others = [record for record in self.FLEET if record.zone == "z1"]
        fleet = [
            msgspec.structs.replace(wide, link_mbps=100.0),
            *(msgspec.structs.replace(record, link_mbps=2.0) for record in others),
        ]
        assert [record.id for record in list_collectors("z1", fleet)] == [wide.id]
        assert len(list_collectors("z1", fleet[1:])) == 2

    def test_a_departed_collector_is_replaced(self) -> None:
        first, second = list_collectors("z1", self.FLEET)
        left = [record for record in self.FLEET if record.id != first.id]
        assert second.id in [record.id for record in list_collectors("z1", left)]
        assert len(list_collectors("z1", left)) == 2

    def test_relays_of_large_zones_are_their_collectors(self) -> None:
        collectors = {
            record.address for zone in ("z0", "z2") for record in list_collectors(zone, self.FLEET)
        }
        relays = choose_relays(self.FLEET[0], self.FLEET)
        assert len(relays) == 2
        assert set(relays) <= collectors

    def test_a_report_sent_to_a_collector_reaches_all_neighbours(self) -> None:
        port = _find_port()
        fleet = [_record(number, "z1", port=port) for number in range(1, 21)]
        seen: dict[str, list[ReportEntry]] = {record.id: [] for record in fleet}
        exchanges = {
            record.id: _open_exchange(record, fleet, seen[record.id].extend) for record in fleet
        }
        for exchange in exchanges.values():
            threading.Thread(target=exchange.run_collector, daemon=True).start()
        collectors = [record.id for record in list_collectors("z1", fleet)]
        sender = next(record.id for record in fleet if record.id not in collectors)
        report = LoadReport(in_flight=1, slots=3, state="serving")
        exchanges[sender].send([ReportEntry("u1", report, age_ms=0)], crosses_zones=True)
        others = [record.id for record in fleet if record.id != sender]
        wait_until(lambda: all(seen[key] for key in others if key not in collectors))


class TestReceiversInTurn:
    """What a collector sends must fit its link, however large its zone is."""

    # The load of one upstream, of those of the largest fleet, and the nodes of its zones.
    ENTRY_BYTES = 25
    UPSTREAMS_COUNT = 361
    BATCH_BYTES = ENTRY_BYTES * UPSTREAMS_COUNT

    @pytest.mark.parametrize("link_mbps", [2.0, 100.0])
    @pytest.mark.parametrize("neighbours_count", [64, 253])
    def test_batches_stay_within_a_share_of_the_link(
        self, link_mbps: float, neighbours_count: int
    ) -> None:
        neighbours = [f"n{number}" for number in range(neighbours_count)]
        receivers = ReceiversInTurn(link_mbps)
        chosen = receivers.take(neighbours, self.BATCH_BYTES)
        share_bytes = COLLECTOR_LINK_SHARE * link_mbps * 125 * COLLECT_INTERVAL_MS
        assert 0 < len(chosen) * self.BATCH_BYTES <= share_bytes

    def test_each_receiver_has_its_turn(self) -> None:
        neighbours = [f"n{number}" for number in range(64)]
        receivers = ReceiversInTurn(10.0)
        turns = [receivers.take(neighbours, self.BATCH_BYTES) for _ in range(64)]
        assert {address for turn in turns for address in turn} == set(neighbours)
        assert not set(turns[0]) & set(turns[1])

    def test_without_a_known_bandwidth_all_receive_each_batch(self) -> None:
        neighbours = [f"n{number}" for number in range(64)]
        assert ReceiversInTurn(0).take(neighbours, self.BATCH_BYTES) == neighbours
        assert ReceiversInTurn(0).take([], self.BATCH_BYTES) == []


class TestCollectedLoads:
    def test_only_the_newest_load_of_an_upstream_is_sent_with_its_current_age(self) -> None:
        clock = ManualClock()
        collected = CollectedLoads(clock)
        for in_flight, age_ms in ((1, 5), (2, 0), (3, 60)):
            entry = LoadEntry("u1", in_flight, 3, None, age_ms)
            collected.record(LoadGossip("n1", HOPS_TO_COLLECTOR, [entry]))
        clock.advance(30)
        ((entry, hops),) = collected.take()
        assert (entry.in_flight, entry.age_ms, hops) == (2, 30, HOPS_TO_COLLECTOR)
        assert collected.take() == []

    # Guards against a collector that never passes on that a busy upstream is cold.
    def test_the_answer_to_a_request_does_not_hide_that_an_upstream_is_cold(self) -> None:
        collected = CollectedLoads(ManualClock())
        polled = LoadEntry("u1", 1, 3, None, 50, cold_ms=2_000)
        answered = LoadEntry("u1", 2, 3, None, 10)
        for entry in (polled, answered):
            collected.record(LoadGossip("n1", HOPS_TO_COLLECTOR, [entry]))
        ((entry, _),) = collected.take()
        assert (entry.in_flight, entry.cold_ms) == (2, 1_960)

    def test_loads_are_sent_at_most_once_per_interval(self) -> None:
        clock = ManualClock()
        collected = CollectedLoads(clock)
        entry = LoadEntry("u1", 1, 3, None, 0)
        collected.record(LoadGossip("n1", HOPS_TO_COLLECTOR, [entry]))
        collected.wait()
        collected.take()
        before_ms = clock.now_ms()
        collected.record(LoadGossip("n1", HOPS_TO_COLLECTOR, [entry]))
        collected.wait()
        assert clock.now_ms() - before_ms == COLLECT_INTERVAL_MS


class TestLoadReportCache:
    def test_the_newest_report_is_returned_once_with_its_age(self) -> None:
        clock = ManualClock()
        report_cache = LoadReportCache(clock)
        for in_flight in (1, 2):
            report_cache.record("u1", LoadReport(in_flight=in_flight, slots=3, state="serving"))
        clock.advance(30)
        (entry,) = report_cache.take()
        assert (entry.report.in_flight, entry.age_ms) == (2, 30)
        assert report_cache.take() == []

    def test_a_health_check_without_a_rate_keeps_the_one_of_an_answer(self) -> None:
        report_cache = LoadReportCache(ManualClock())
        report_cache.record("u1", None, 2.5)
        report_cache.record("u1", LoadReport(in_flight=1, slots=3, state="serving"))
        (entry,) = report_cache.take()
        assert (entry.per_s, entry.report is not None) == (2.5, True)

    def test_an_answer_keeps_how_long_a_health_check_said_the_upstream_is_cold(self) -> None:
        report_cache = LoadReportCache(ManualClock())
        report_cache.record("u1", None, cold_ms=2_000.0)
        report_cache.record("u1", LoadReport(in_flight=1, slots=3, state="serving"))
        (entry,) = report_cache.take()
        assert entry.cold_ms == 2_000


def _find_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
