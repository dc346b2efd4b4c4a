from __future__ import annotations

import socket
import threading

import pytest

from coltsfootrill.balancer.load import LoadReport
from coltsfootrill.balancer.report_book import ReportBook
from coltsfootrill.balancer.report_book import ReportEntry
from coltsfootrill.clock import ManualClock
from coltsfootrill.membership.bulletins import BulletinExchange
from coltsfootrill.membership.bulletins import choose_relays
from coltsfootrill.membership.bulletins import list_neighbours
from coltsfootrill.membership.messages import InstanceRecord


def _record(number: int, zone: str, *, port: int = 1) -> InstanceRecord:
    return InstanceRecord(f"n{number}", 1, f"127.0.0.{number}:{port}", zone, False, 0)


FLEET = [_record(number, f"z{number % 3}") for number in range(1, 19)]


class TestWays:
    def test_one_instance_of_each_other_zone_passes_reports_on(self) -> None:
        own = FLEET[0]
        relays = choose_relays(own, FLEET)
        zones = {record.zone for record in FLEET if record.address in relays}
        assert len(relays) == 2
        assert zones == {"z0", "z2"}

    def test_the_senders_of_a_zone_use_different_relays(self) -> None:
        relays = {relay for own in FLEET for relay in choose_relays(own, FLEET)}
        assert len(relays) > 6

    def test_neighbours_are_the_others_of_the_own_zone(self) -> None:
        assert len(list_neighbours(FLEET[0], FLEET)) == 5
        assert FLEET[0].address not in list_neighbours(FLEET[0], FLEET)


class TestExchange:
    @pytest.mark.parametrize("zone", ["z1", "z2"])
    def test_a_report_reaches_the_neighbours_of_the_relay_too(self, zone: str) -> None:
        port = _find_port()
        fleet = [_record(2, "z1", port=port), _record(3, zone, port=port)]
        fleet.append(_record(4, zone, port=port))
        seen: dict[str, list[ReportEntry]] = {record.id: [] for record in fleet}
        arrived = {record.id: threading.Event() for record in fleet}
        exchanges = []
        for record in fleet:

            def take(entries: list[ReportEntry], key: str = record.id) -> None:
                seen[key].extend(entries)
                arrived[key].set()

            exchange = BulletinExchange(record, list_instances=lambda: fleet, on_reports=take)
            threading.Thread(target=exchange.run, daemon=True).start()
            exchanges.append(exchange)
        report = LoadReport(in_flight=2, slots=3, state="serving", pace=7.0)
        exchanges[0].send([ReportEntry("u1", report, age_ms=12.6)], crosses_zones=True)
        for key in ("n3", "n4"):
            assert arrived[key].wait(5)
            entry = seen[key][0]
            assert (entry.upstream_id, entry.report.pace, entry.age_ms) == ("u1", 7.0, 12)

    def test_bytes_that_are_no_bulletin_are_dropped(self) -> None:
        port = _find_port()
        own = _record(5, "z1", port=port)
        seen = threading.Event()
        exchange = BulletinExchange(
            own, list_instances=lambda: [own], on_reports=lambda entries: seen.set()
        )
        threading.Thread(target=exchange.run, daemon=True).start()
        other = BulletinExchange(
            _record(6, "z1", port=port), list_instances=lambda: [own], on_reports=lambda e: None
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"\xc1nonsense", ("127.0.0.5", port))
        report = LoadReport(in_flight=0, slots=3, state="serving")
        other.send([ReportEntry("u1", report, age_ms=0)], crosses_zones=False)
        assert seen.wait(5)


class TestReportBook:
    def test_the_newest_report_is_told_once_with_its_age(self) -> None:
        clock = ManualClock()
        book = ReportBook(clock)
        for in_flight in (1, 2):
            book.note("u1", LoadReport(in_flight=in_flight, slots=3, state="serving"))
        clock.advance(30)
        (entry,) = book.take()
        assert (entry.report.in_flight, entry.age_ms) == (2, 30)
        assert book.take() == []


def _find_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
