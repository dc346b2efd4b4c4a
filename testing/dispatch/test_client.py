from __future__ import annotations

import threading

import pytest

from coltsfootrill.balancer.claim import Grant
from coltsfootrill.clock import Clock
from coltsfootrill.dispatch.client import DispatchClient
from coltsfootrill.dispatch.messages import REPLY_TOPIC
from coltsfootrill.dispatch.messages import REQUEST_TOPIC
from coltsfootrill.dispatch.messages import AcquireRequest
from coltsfootrill.dispatch.messages import Denied
from coltsfootrill.dispatch.messages import Granted
from coltsfootrill.dispatch.messages import Release
from coltsfootrill.dispatch.messages import Waiting
from coltsfootrill.dispatch.messages import decode_request
from coltsfootrill.dispatch.messages import encode
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import DependencyRegained
from coltsfootrill.events.catalog import Event
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.membership.ways import list_dispatchers
from coltsfootrill.proxy.gate import ServiceGate
from coltsfootrill.proxy.outcome import NotRunError
from coltsfootrill.proxy.request import RequestTimes
from testing.dispatch.memory import MemoryNetwork
from testing.dispatch.memory import MemoryPort
from testing.dispatch.memory import Upstreams
from testing.dispatch.memory import make_controller
from testing.dispatch.memory import make_server
from testing.dispatch.memory import make_service
from testing.dispatch.test_server import make_acquire_request

RECORDS = [InstanceRecord(f"n{n}", 1, f"10.0.0.{n}:1", "z1", False, 0) for n in range(5)]
FIRST, SECOND = list_dispatchers("work", RECORDS)[:2]
OWN = next(record for record in RECORDS if record not in (FIRST, SECOND))


class Asking:
    """A client, and as many dispatchers as a test starts."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.clock = Clock()
        self.events: list[Event] = []
        self.gates: dict[str, ServiceGate] = {}
        self.client = self.make_client(OWN)

    def make_client(self, own: InstanceRecord) -> DispatchClient:
        return DispatchClient(
            own,
            port=MemoryPort(self.network, own.address),  # type: ignore[arg-type]
            list_instances=lambda: RECORDS,
            clock=self.clock,
            timeout_ms=10.0,
            work_min_ms=90.0,
            on_event=self.events.append,
        )

    def start(
        self, record: InstanceRecord, *, upstreams: int = 1, is_stopping: bool = False
    ) -> ServiceGate:
        gate = make_controller(Upstreams(upstreams), clock=self.clock)
        port = MemoryPort(self.network, record.address)
        make_server(port, gate, clock=self.clock, is_stopping=is_stopping)
        self.gates[record.id] = gate
        return gate

    def ask(self, **changes: object) -> Grant | Denied | None:
        return self.client.ask(make_acquire_request(0, **changes), is_gone=lambda: False)


@pytest.fixture
def asking() -> Asking:
    return Asking()


def count_in_flight_at(gate: ServiceGate) -> int:
    counts: list[int] = []
    gate.read_pool(lambda pool, now_ms: counts.append(sum(pool.count_in_flight().values())))
    return counts[0]


class TestAsking:
    def test_the_first_in_rank_chooses(self, asking: Asking) -> None:
        gate = asking.start(FIRST)
        grant = asking.ask()
        assert isinstance(grant, Grant)
        assert (grant.dispatcher, grant.upstream_id) == (FIRST.id, "u0")
        assert count_in_flight_at(gate) == 1
        asking.client.release(grant, "answered")
        assert count_in_flight_at(gate) == 0

    def test_the_dispatcher_itself_chooses_at_home(self, asking: Asking) -> None:
        client = asking.make_client(FIRST)
        assert client.ask(make_acquire_request(0), is_gone=lambda: False) is None

    def test_a_refusal_is_passed_on(self, asking: Asking) -> None:
        asking.start(FIRST)
        for _ in range(3):
            asking.ask()
        denied = asking.ask(left_ms=50)
        assert isinstance(denied, Denied)
        assert denied.reason == "overloaded"

    def test_a_request_waits_until_the_dispatcher_has_room(self, asking: Asking) -> None:
        asking.start(FIRST)
        grants = [asking.ask() for _ in range(3)]
        first = grants[0]
        assert isinstance(first, Grant)
        timer = threading.Timer(0.15, lambda: asking.client.release(first, "abandoned"))
        timer.start()
        assert isinstance(asking.ask(), Grant)
        assert not asking.events

    def test_a_caller_that_leaves_frees_its_place_in_the_queue(self, asking: Asking) -> None:
        gate = asking.start(FIRST)
        for _ in range(3):
            asking.ask()
        assert isinstance(asking.client.ask(make_acquire_request(0), is_gone=lambda: True), Denied)
        waiting: list[int] = []
        gate.read_pool(lambda pool, now_ms: waiting.append(len(pool.queue)))
        assert waiting == [0]


class TestLostDatagrams:
    def test_a_lost_question_is_sent_again(self, asking: Asking) -> None:
        asking.start(FIRST)
        lost = iter([True])
        asking.network.is_lost = lambda source, target, data: next(lost, False)
        assert isinstance(asking.ask(), Grant)

    def test_a_lost_grant_is_repeated_and_takes_one_slot(self, asking: Asking) -> None:
        gate = asking.start(FIRST)
        lost = iter([False, True])
        asking.network.is_lost = lambda source, target, data: next(lost, False)
        assert isinstance(asking.ask(), Grant)
        assert count_in_flight_at(gate) == 1

    def test_a_grant_that_comes_too_late_is_handed_back(self, asking: Asking) -> None:
        ends: list[object] = []
        port = MemoryPort(asking.network, FIRST.address)
        port.handle(REQUEST_TOPIC, lambda payload, sender: ends.append(decode_request(payload)))
        port.send(REPLY_TOPIC, encode(Granted(77, "u0")), OWN.address)
        assert ends == [Release(77, "abandoned")]

    def test_a_late_note_to_wait_does_not_undo_a_grant(self, asking: Asking) -> None:
        port = MemoryPort(asking.network, FIRST.address)

        def reply(payload: bytes, sender: str) -> None:
            token = decode_request(payload).token
            port.send(REPLY_TOPIC, encode(Granted(token, "u0")), sender)
            port.send(REPLY_TOPIC, encode(Waiting(token)), sender)

        port.handle(REQUEST_TOPIC, reply)
        assert isinstance(asking.ask(), Grant)

    def test_a_grant_that_comes_as_the_caller_leaves_is_handed_back(self, asking: Asking) -> None:
        gate = asking.start(FIRST)
        assert isinstance(asking.client.ask(make_acquire_request(0), is_gone=lambda: True), Denied)
        assert count_in_flight_at(gate) == 0

    def test_a_grant_that_comes_as_the_wait_ends_is_used(
        self, asking: Asking, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        port = MemoryPort(asking.network, FIRST.address)

        def wait_in_vain(
            dispatcher: object, pending: object, ask: AcquireRequest, is_gone: object
        ) -> None:
            port.send(REPLY_TOPIC, encode(Granted(ask.token, "u0")), OWN.address)

        monkeypatch.setattr(asking.client, "_await", wait_in_vain)
        assert isinstance(asking.ask(), Grant)
        assert asking.events == []


class TestDispatchersThatAreLost:
    def test_the_next_request_asks_the_second_in_rank(self, asking: Asking) -> None:
        asking.start(SECOND)
        assert asking.ask() is None
        grant = asking.ask()
        assert isinstance(grant, Grant)
        assert grant.dispatcher == SECOND.id

    def test_one_that_stops_is_left_at_once(self, asking: Asking) -> None:
        asking.start(FIRST, is_stopping=True)
        asking.start(SECOND)
        assert asking.ask() is None
        assert isinstance(asking.ask(), Grant)

    def test_one_that_goes_on_stopping_is_told_once(
        self, asking: Asking, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("coltsfootrill.dispatch.client.DISPATCHER_BACKOFF_MS", 0.0)
        asking.start(FIRST, is_stopping=True)
        for _ in range(3):
            asking.ask()
        assert [type(event) for event in asking.events] == [DependencyLost]

    def test_losing_and_regaining_one_are_told_once(
        self, asking: Asking, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("coltsfootrill.dispatch.client.DISPATCHER_BACKOFF_MS", 0.0)
        for _ in range(3):
            asking.ask()
        asking.start(FIRST)
        for _ in range(3):
            asking.ask()
        assert [type(event) for event in asking.events] == [DependencyLost, DependencyRegained]


class TestGate:
    """A gate that asks: the own pool is used where nobody else chooses."""

    def _acquire(self, gate: ServiceGate) -> object:
        service = make_service()
        now_ms = Clock().now_ms()
        return gate.acquire(
            service,
            service.kinds[0],
            RequestTimes(arrived_ms=now_ms, deadline_ms=now_ms + 2_000),
            exclude=frozenset(),
            is_gone=lambda: False,
        )

    def test_an_attempt_counts_on_both_instances_until_it_ends(self, asking: Asking) -> None:
        far = asking.start(FIRST)
        gate = make_controller(Upstreams(1), clock=asking.clock, dispatch=asking.client)
        claim = self._acquire(gate)
        assert (count_in_flight_at(gate), count_in_flight_at(far)) == (1, 1)
        gate.end_answered(claim, None, asking.clock.now_ms())  # type: ignore[arg-type]
        assert (count_in_flight_at(gate), count_in_flight_at(far)) == (0, 0)

    def test_an_upstream_that_is_not_usable_here_is_handed_back(self, asking: Asking) -> None:
        far = asking.start(FIRST, upstreams=1)
        near = Upstreams(1)
        near.records[0] = Upstreams(2).records[1]
        gate = make_controller(near, clock=asking.clock, dispatch=asking.client)
        claim = self._acquire(gate)
        assert claim.load.id == "u1"  # type: ignore[attr-defined]
        assert count_in_flight_at(far) == 0

    def test_short_work_is_not_worth_a_round_trip(self, asking: Asking) -> None:
        far = asking.start(FIRST)
        gate = make_controller(
            Upstreams(1), clock=asking.clock, dispatch=asking.client, usual_ms=60.0
        )
        claim = self._acquire(gate)
        assert claim.grant is None  # type: ignore[attr-defined]
        assert count_in_flight_at(far) == 0

    def test_without_a_dispatcher_the_own_pool_serves(self, asking: Asking) -> None:
        gate = make_controller(Upstreams(1), clock=asking.clock, dispatch=asking.client)
        claim = self._acquire(gate)
        assert claim.grant is None  # type: ignore[attr-defined]

    def test_a_refusal_of_the_dispatcher_says_that_nothing_ran(self, asking: Asking) -> None:
        asking.start(FIRST)
        gate = make_controller(Upstreams(1), clock=asking.clock, dispatch=asking.client)
        for _ in range(3):
            self._acquire(gate)
        service = make_service()
        now_ms = asking.clock.now_ms()
        with pytest.raises(NotRunError) as caught:
            gate.acquire(
                service,
                service.kinds[0],
                RequestTimes(arrived_ms=now_ms, deadline_ms=now_ms + 8),
                exclude=frozenset(),
                is_gone=lambda: False,
            )
        assert (caught.value.reason, caught.value.outcome) == ("overloaded", "not-run")
        assert caught.value.retry_after_s

    def test_a_second_attempt_takes_an_idle_upstream_of_the_dispatcher(
        self, asking: Asking
    ) -> None:
        far = asking.start(FIRST, upstreams=2)
        gate = make_controller(Upstreams(2), clock=asking.clock, dispatch=asking.client)
        first = self._acquire(gate)
        tried = frozenset([first.load.id])  # type: ignore[attr-defined]
        service = make_service()
        claim = gate.try_acquire(service, service.kinds[0], exclude=tried)
        assert claim is not None and claim.load.id not in tried
        assert gate.try_acquire(service, service.kinds[0], exclude=tried) is None
        assert count_in_flight_at(far) == 2
