"""A zone leaves at peak: its upstreams get nothing more, and nobody waits for room that is gone."""

from __future__ import annotations

import threading
import time

import msgspec
import pytest

from coltsfootrill.balancer.choice import Origin
from coltsfootrill.balancer.claim import Claim
from coltsfootrill.balancer.ejection import eject
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.clock import ManualClock
from coltsfootrill.proxy.admission_controller import AdmissionController
from coltsfootrill.proxy.connection import UpstreamConnection
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.pending import PendingAttempt
from coltsfootrill.proxy.request import AttemptDemand
from coltsfootrill.proxy.request import RequestTimes
from coltsfootrill.registry.directory import UpstreamRecord
from coltsfootrill.zones.evacuation import EvacuatedZones
from coltsfootrill.zones.orders import ZoneOrders
from testing.dispatch.memory import MemoryPort
from testing.dispatch.memory import Upstreams
from testing.dispatch.memory import make_controller
from testing.dispatch.memory import make_server
from testing.dispatch.memory import make_service
from testing.dispatch.test_client import FIRST
from testing.dispatch.test_client import DispatchHarness
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.instance import Instance
from testing.proxy.test_dialect import SIGNATURE
from testing.proxy.test_dialect import reply_with
from testing.records import make_usable_record

NOW_MS = 1_000.0
SLOTS = 3
WORK_MS = 100.0
# Enough for nine requests in turn on both upstreams, for five on one.
SHORT_MS = 250.0
PENDING_COUNT = 9
LEFT_COUNT = 5
LOAD = "x-server-load: 1,0,3\r\n"


class Scene:
    """An instance and two upstreams: u1 in the zone z1, u2 in the zone z2."""

    def __init__(self) -> None:
        self.clock = ManualClock(NOW_MS)
        self.zones = EvacuatedZones()
        self.upstreams = Upstreams(0)
        self.upstreams.records = [
            make_usable_record("u1", slots=SLOTS, zone="z1"),
            make_usable_record("u2", slots=SLOTS, zone="z2"),
        ]
        self.controller = make_controller(
            self.upstreams, clock=self.clock, typical_ms=WORK_MS, zones=self.zones
        )
        self.service = make_service()

    def evacuate(self, *zones: str) -> None:
        number = self.zones.orders.number + 1
        self.zones.adopt(ZoneOrders(number, dict.fromkeys(zones, number)))

    def take(self) -> Claim | None:
        return self.controller.try_acquire(self.service, self.service.kinds[0], exclude=frozenset())

    def fill(self) -> list[Claim]:
        """Occupy every slot."""
        return [self.wait().claim for _ in range(2 * SLOTS)]  # type: ignore[misc]

    def wait(self) -> PendingAttempt:
        """Let an attempt wait that can wait for ``SHORT_MS``."""
        now_ms = self.clock.now_ms()
        demand = AttemptDemand(
            self.service,
            self.service.kinds[0],
            RequestTimes(arrived_ms=now_ms, deadline_ms=now_ms + SHORT_MS),
            exclude=frozenset(),
        )
        return self.controller.admit_remote(
            demand, origin=Origin("z1"), typical_ms=WORK_MS, on_settled=lambda attempt: None
        )

    def read(self) -> ServicePool:
        pools: list[ServicePool] = []
        self.controller.read_pool(lambda pool, now_ms: pools.append(pool))
        return pools[0]

    def count_evacuated(self) -> int:
        return self.read().count_evacuated_in_flight()

    def replace_record(self, upstream_id: str, **changes: object) -> None:
        """Let an upstream announce itself again, with changes."""
        records: list[UpstreamRecord] = []
        for record in self.upstreams.records:
            announcement = record.announcement
            if announcement.id == upstream_id:
                announcement = msgspec.structs.replace(announcement, **changes)
            records.append(
                UpstreamRecord(announcement, origin="", last_confirmed_ms=0, lease_ms=float("inf"))
            )
        self.upstreams.records = records
        self.upstreams.generation += 1


def end(controller: AdmissionController, claim: Claim) -> None:
    controller.end_answered(claim, None, NOW_MS)


class TestZoneLeavesAtPeak:
    def test_waiting_attempts_go_elsewhere_or_are_refused_at_once(self) -> None:
        scene = Scene()
        claims = scene.fill()
        waiting = [scene.wait() for _ in range(PENDING_COUNT)]
        assert not any(attempt.is_settled for attempt in waiting)
        scene.evacuate("z1")
        scene.controller.refresh(scene.service)
        refused = [attempt for attempt in waiting if attempt.is_settled]
        assert [attempt.refusal for attempt in refused] == ["overloaded"] * (
            PENDING_COUNT - LEFT_COUNT
        )
        for claim in claims:
            end(scene.controller, claim)
        granted = [attempt.claim for attempt in waiting if attempt.claim is not None]
        assert [claim.load.id for claim in granted] == ["u2"] * SLOTS

    def test_they_are_refused_if_no_upstream_is_left(self) -> None:
        scene = Scene()
        scene.fill()
        waiting = [scene.wait() for _ in range(PENDING_COUNT)]
        scene.evacuate("z1", "z2")
        scene.controller.refresh(scene.service)
        assert {attempt.refusal for attempt in waiting} == {"zone-evacuated"}
        assert scene.wait().refusal == "zone-evacuated"

    # Guards against a grant between the order and the next refresh of the pool.
    def test_a_slot_that_becomes_free_there_is_given_to_nobody(self) -> None:
        scene = Scene()
        claims = scene.fill()
        waiting = scene.wait()
        scene.evacuate("z1")
        for claim in claims:
            if claim.load.zone == "z1":
                end(scene.controller, claim)
        assert not waiting.is_settled

    def test_second_attempts_do_not_go_there(self) -> None:
        scene = Scene()
        scene.evacuate("z1")
        claims = [scene.take() for _ in range(SLOTS)]
        assert {claim.load.id for claim in claims if claim is not None} == {"u2"}

    def test_requests_in_progress_there_end_and_are_counted_until_then(self) -> None:
        scene = Scene()
        claims = scene.fill()
        scene.evacuate("z1")
        scene.controller.refresh(scene.service)
        assert scene.count_evacuated() == SLOTS
        for claim in claims:
            end(scene.controller, claim)
        assert scene.count_evacuated() == 0

    def test_a_refused_caller_learns_the_reason_at_once(self) -> None:
        scene = Scene()
        scene.evacuate("z1", "z2")
        with pytest.raises(NotRunError) as raised:
            scene.controller.acquire(
                scene.service,
                scene.service.kinds[0],
                RequestTimes(arrived_ms=NOW_MS, deadline_ms=NOW_MS + 3_000),
                exclude=frozenset(),
                should_stop_waiting=lambda: pytest.fail("the request was held"),
            )
        assert raised.value.reason == "zone-evacuated"
        assert scene.clock.now_ms() == NOW_MS


class TestUpstreamsOfTheZone:
    def test_one_that_joins_the_zone_or_moves_into_it_gets_nothing(self) -> None:
        scene = Scene()
        scene.evacuate("z1")
        assert scene.take() is not None
        scene.replace_record("u2", zone="z1")
        scene.upstreams.records.append(make_usable_record("u3", zone="z1"))
        assert scene.take() is None
        scene.replace_record("u2", zone="z2")
        claim = scene.take()
        assert claim is not None
        assert claim.load.id == "u2"

    # Guards against an ejection for what was seen before the evacuation, and a forgotten rate.
    def test_one_that_is_back_keeps_only_the_rate_that_it_stated(self) -> None:
        scene = Scene()
        load = scene.fill()[0].load
        load.rate_limit.record_shared(5.0, NOW_MS)
        eject(load, now_ms=NOW_MS)
        scene.evacuate(load.zone)
        scene.controller.refresh(scene.service)
        scene.clock.advance(5_000)
        scene.zones.adopt(ZoneOrders(9))
        scene.controller.refresh(scene.service)
        back = scene.read().by_id[load.id]
        assert back is not load
        assert (back.ejected_until_ms, back.ejection_count) == (0.0, 0)
        assert back.rate_limit.per_s == 5.0
        assert back.ramp_from_ms == scene.clock.now_ms()

    def test_another_start_of_it_has_stated_no_rate(self) -> None:
        scene = Scene()
        load = scene.fill()[0].load
        load.rate_limit.record_shared(5.0, NOW_MS)
        scene.evacuate(load.zone)
        scene.controller.refresh(scene.service)
        scene.replace_record(load.id, incarnation=2)
        scene.zones.adopt(ZoneOrders(9))
        scene.controller.refresh(scene.service)
        assert scene.read().by_id[load.id].rate_limit.per_s is None


class TestDispatcherThatHasNotHeard:
    @pytest.mark.parametrize("hears_while_it_waits", [False, True])
    def test_its_grant_is_given_back_and_another_upstream_chosen(
        self, hears_while_it_waits: bool
    ) -> None:
        harness = DispatchHarness()
        upstreams = Upstreams(0)
        upstreams.records = [make_usable_record("u1", slots=SLOTS, zone="z1")]
        dispatcher = make_controller(upstreams, clock=harness.clock)
        make_server(MemoryPort(harness.network, FIRST.address), dispatcher, clock=harness.clock)
        known = Upstreams(0)
        known.records = [*upstreams.records, make_usable_record("u2", slots=SLOTS, zone="z2")]
        zones = EvacuatedZones()
        controller = make_controller(
            known, clock=harness.clock, dispatch=harness.client, zones=zones
        )
        orders = ZoneOrders(1, {"z1": 1})
        if hears_while_it_waits:
            # Every datagram arrives, the first one together with the order.
            harness.network.is_lost = lambda source, target, data: zones.adopt(orders) and False
        else:
            zones.adopt(orders)
        service = make_service()
        now_ms = harness.clock.now_ms()
        claim = controller.acquire(
            service,
            service.kinds[0],
            RequestTimes(arrived_ms=now_ms, deadline_ms=now_ms + 2_000),
            exclude=frozenset(),
            should_stop_waiting=lambda: False,
        )
        assert claim.load.id == "u2"
        counts: list[dict[str, int]] = []
        dispatcher.read_pool(lambda pool, now_ms: counts.append(pool.count_in_flight()))
        assert counts == [{"u1": 0}]


class TestSending:
    """Requests over sockets."""

    # Guards against a request that waits for its connection while its zone is evacuated.
    def test_a_request_that_has_its_connection_too_late_goes_elsewhere(
        self, instance: Instance, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        leaving = ScriptedUpstream(reply_with(extra=SIGNATURE + LOAD))
        staying = ScriptedUpstream(reply_with(extra=SIGNATURE + LOAD))
        instance.announce("u1", leaving.address, zone="z1")
        open_connection = UpstreamConnection.open

        def open_late(address: str, **options: object) -> UpstreamConnection:
            connection = open_connection(address, **options)  # type: ignore[arg-type]
            instance.announce("u2", staying.address, zone="z2")
            instance.zones.adopt(ZoneOrders(1, {"z1": 1}))
            return connection

        monkeypatch.setattr(UpstreamConnection, "open", open_late)
        reply = instance.call(X_Attempt_Id="q1", method="POST", path="/once")
        assert reply.status == 200
        assert (len(leaving.heads), len(staying.heads)) == (0, 1)
        leaving.close()
        staying.close()

    def test_a_request_in_progress_is_answered(self, instance: Instance) -> None:
        may_answer = threading.Event()
        answer = reply_with(extra=SIGNATURE + LOAD)
        upstream = ScriptedUpstream(
            lambda sock, head, number: may_answer.wait() and answer(sock, head, number)
        )
        instance.announce("u1", upstream.address, zone="z1")
        replies: list[int] = []
        caller = threading.Thread(
            target=lambda: replies.append(instance.call(X_Attempt_Id="q1").status)
        )
        caller.start()
        wait_until(lambda: bool(upstream.heads))
        instance.zones.adopt(ZoneOrders(1, {"z1": 1}))
        start_s = time.monotonic()
        assert instance.call(X_Attempt_Id="q2").reason == "zone-evacuated"
        assert time.monotonic() - start_s < 1
        assert instance.app.count_evacuated_in_flight() == 1
        may_answer.set()
        caller.join()
        assert replies == [200]
        wait_until(lambda: instance.app.count_evacuated_in_flight() == 0)
        upstream.close()
