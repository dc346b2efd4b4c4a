from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from coltsfootrill.balancer.report_book import ReportBook
from coltsfootrill.clock import Clock
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.metrics import Metrics
from coltsfootrill.platform.dialect import coltsfootrill_dialect
from coltsfootrill.proxy.load_poller import AssignedUpstreams
from coltsfootrill.proxy.load_poller import LoadPoller
from coltsfootrill.proxy.load_poller import assign_upstreams
from coltsfootrill.registry.announcement import Announcement
from coltsfootrill.registry.directory import UpstreamRecord
from testing.proxy.fakes import Script
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer
from testing.proxy.fakes import stay_silent
from testing.proxy.instance import make_manifest

FLEET = [InstanceRecord(f"n{n}", 1, f"10.0.0.{n}:1", f"z{n % 3}", False, 0) for n in range(9)]


def _upstream(upstream_id: str, address: str, zone: str) -> UpstreamRecord:
    announcement = Announcement(
        id=upstream_id,
        incarnation=1,
        sequence=1,
        address=address,
        zone=zone,
        services=["work"],
        slots=3,
        state="serving",
    )
    return UpstreamRecord(announcement, origin="", evidence_ms=0)


class TestSharing:
    def test_each_upstream_is_checked_by_one_instance_of_its_zone(self) -> None:
        upstreams = [_upstream(f"u{n}", f"10.1.0.{n}:1", f"z{n % 3}") for n in range(30)]
        for upstream in upstreams:
            checkers = [own for own in FLEET if assign_upstreams(own, FLEET, [upstream])]
            assert len(checkers) == 1
            assert checkers[0].zone == upstream.announcement.zone

    def test_upstreams_in_a_zone_without_instances_are_checked_too(self) -> None:
        upstream = _upstream("u", "10.1.0.1:1", "far")
        assert sum(bool(assign_upstreams(own, FLEET, [upstream])) for own in FLEET) == 1


class TestUpstreamShare:
    """A fleet of 140 instances and 124 upstreams: the share is not worked out in each round."""

    def test_nothing_is_worked_out_anew_without_a_change(self) -> None:
        instances = [InstanceRecord(f"n{n}", 1, "", f"z{n % 3}", False, 0) for n in range(140)]
        upstreams = [_upstream(f"u{n}", f"10.1.0.{n}:1", f"z{n % 3}") for n in range(124)]
        share = AssignedUpstreams(instances[0])
        first = share.get(instances, upstreams)
        assert first == assign_upstreams(instances[0], instances, upstreams) != []
        adopted = [msgspec.structs.replace(one, manifest_version=9) for one in instances]
        assert share.get(adopted, upstreams) is first

    def test_a_change_of_the_fleet_or_of_the_upstreams_counts(self) -> None:
        own = FLEET[0]
        upstreams = [_upstream(f"u{n}", f"10.1.0.{n}:1", "z0") for n in range(30)]
        share = AssignedUpstreams(own)
        assert 0 < len(share.get(FLEET, upstreams)) < 30
        assert len(share.get([own], upstreams)) == 30
        assert len(share.get([own], upstreams[:4])) == 4
        moved = [own, msgspec.structs.replace(FLEET[1], zone="z0")]
        assert share.get(moved, upstreams) == assign_upstreams(own, moved, upstreams)


class Watched:
    """A watch over scripted upstreams, and what it learnt."""

    def __init__(self, schemes: Any) -> None:
        self.upstreams: list[UpstreamRecord] = []
        self._open: list[ScriptedUpstream] = []
        self._rounds = threading.Semaphore(0)
        self.book = ReportBook(Clock())
        self.watch = LoadPoller(
            FLEET[0],
            interval_ms=20,
            dialect=coltsfootrill_dialect(),
            get_table=lambda: RoutingTable.from_bytes(make_manifest(1), schemes),
            list_instances=lambda: FLEET[:1],
            list_upstreams=lambda: self.upstreams,
            book=self.book,
            on_round=self._rounds.release,
            clock=Clock(),
            metrics=Metrics(),
        )
        threading.Thread(target=self.watch.run, daemon=True).start()

    def serve(self, upstream_id: str, script: Script) -> ScriptedUpstream:
        fake = ScriptedUpstream(script)
        self._open.append(fake)
        self.upstreams = [*self.upstreams, _upstream(upstream_id, fake.address, "z0")]
        return fake

    def wait_rounds(self, count: int) -> None:
        while self._rounds.acquire(blocking=False):
            pass
        for _ in range(count):
            assert self._rounds.acquire(timeout=5)

    def close(self) -> None:
        self.watch.stop()
        for fake in self._open:
            fake.close()


@pytest.fixture
def watched(schemes: Any) -> Iterator[Watched]:
    made = Watched(schemes)
    yield made
    made.close()


def _load(figures: str, upstream_id: str) -> Callable[..., bool]:
    extra = f"x-server-load: {figures}\r\nx-instance-identifier: {upstream_id}\r\n"
    return answer(b"", extra=extra)


class TestChecks:
    def test_reports_come_over_one_connection_that_is_kept(self, watched: Watched) -> None:
        fake = watched.serve("u1", _load("2,1,3,700", "u1"))
        watched.wait_rounds(5)
        (entry,) = watched.book.take()
        assert (entry.upstream_id, entry.report.in_flight, entry.report.pace) == ("u1", 3, 7.0)
        assert fake.connections == 1
        assert len(fake.heads) > 2

    def test_a_silent_upstream_does_not_hold_up_the_others(self, watched: Watched) -> None:
        watched.serve("u1", stay_silent())
        watched.serve("u2", _load("0,0,3,100", "u2"))
        watched.wait_rounds(5)
        assert [entry.upstream_id for entry in watched.book.take()] == ["u2"]

    def test_the_load_of_another_upstream_at_the_address_is_not_taken(
        self, watched: Watched
    ) -> None:
        watched.serve("u1", _load("0,0,3,100", "u9"))
        watched.wait_rounds(3)
        assert watched.book.take() == []
