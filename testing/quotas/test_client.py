"""Instances that ask each other for tokens over datagrams in memory."""

from __future__ import annotations

import threading

import pytest

from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import DependencyRegained
from coltsfootrill.events.catalog import Event
from coltsfootrill.manifest.model import Organisation
from coltsfootrill.membership.messages import InstanceRecord
from coltsfootrill.metrics import Metrics
from coltsfootrill.quotas.client import DECIDER_BACKOFF_MS
from coltsfootrill.quotas.client import QuotaClient
from coltsfootrill.quotas.errors import QuotaExceededError
from coltsfootrill.quotas.limits import SETTLE_MS
from coltsfootrill.quotas.limits import make_bucket_limit
from coltsfootrill.quotas.messages import ANSWER_TOPIC
from coltsfootrill.quotas.messages import ASK_TOPIC
from coltsfootrill.quotas.messages import SEAT_TOPIC
from coltsfootrill.quotas.messages import Granted
from coltsfootrill.quotas.messages import decode_ask
from coltsfootrill.quotas.messages import encode
from coltsfootrill.quotas.seats import Seats
from coltsfootrill.quotas.server import QuotaServer
from testing.dispatch.memory import MemoryNetwork
from testing.dispatch.memory import MemoryPort
from testing.quotas.fleet import BOUNDS
from testing.quotas.fleet import make_organisation
from testing.quotas.shifted_clock import ShiftedClock

TIMEOUT_MS = 10.0
SAMPLE_PREFIX = "coltsfootrill_quota_requests_total{"
RECORDS = [InstanceRecord(f"n{n}", 1, f"10.0.0.{n}:1", f"z{n % 3}", False, 0) for n in range(9)]


class QuotaHarness:
    """A fleet of clients and servers with settled seats."""

    def __init__(self, organisation: Organisation | None = None) -> None:
        self.organisation = organisation or make_organisation(30, 30)
        self.network = MemoryNetwork()
        self.clock = ShiftedClock()
        self.metrics = Metrics()
        self.events: list[Event] = []
        self.stopping: set[str] = set()
        self.seats_by_id = {record.id: Seats(record.id) for record in RECORDS}
        self.client_by_id = {record.id: self._start(record) for record in RECORDS}
        self.observe()
        self.shift(SETTLE_MS + 20_000.0)

    def _start(self, record: InstanceRecord) -> QuotaClient:
        port = MemoryPort(self.network, record.address)
        seats = self.seats_by_id[record.id]
        server = QuotaServer(
            record.id,
            port=port,  # type: ignore[arg-type]
            seats=seats,
            observe=lambda: None,
            bounds=BOUNDS,
            find_organisation=lambda name: self.organisation if name == "o1" else None,
            is_stopping=lambda: record.id in self.stopping,
            clock=self.clock,
        )
        return QuotaClient(
            record,
            port=port,  # type: ignore[arg-type]
            seats=seats,
            observe=lambda: None,
            bounds=BOUNDS,
            decide_here=server.decide,
            clock=self.clock,
            timeout_ms=TIMEOUT_MS,
            metrics=self.metrics,
            on_event=self.events.append,
        )

    def restart(self, record: InstanceRecord) -> None:
        """Start an instance anew, which then hears of the others at once."""
        self.seats_by_id[record.id] = Seats(record.id)
        self.client_by_id[record.id] = self._start(record)
        self.observe()

    def observe(self) -> None:
        for seats in self.seats_by_id.values():
            seats.observe(RECORDS, is_current=True, now_ms=self.clock.now_ms())

    def shift(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / 1_000)):
            self.clock.shift(1_000.0)
            self.observe()

    def find_decider(self, zone: str) -> InstanceRecord:
        deciders = self.seats_by_id["n0"].get_standing("o1", 3).deciders
        return next(record for record in deciders if record.zone == zone)

    def find_other(self, zone: str) -> QuotaClient:
        """Return the client of an instance of a zone that does not decide."""
        decider = self.find_decider(zone)
        return next(
            self.client_by_id[record.id]
            for record in RECORDS
            if record.zone == zone and record is not decider
        )

    def take_all(self, client: QuotaClient) -> QuotaExceededError:
        for _ in range(1_000):
            try:
                client.acquire(self.organisation)
            except QuotaExceededError as error:
                return error
        raise AssertionError("the quota has no end")


@pytest.fixture
def harness() -> QuotaHarness:
    return QuotaHarness()


class TestTokens:
    def test_a_decider_of_the_own_zone_is_asked(self, harness: QuotaHarness) -> None:
        decider = harness.find_decider("z1")
        targets: set[str] = set()

        def record_target(source: str, target: str, data: bytes) -> bool:
            if data.startswith(ASK_TOPIC):
                targets.add(target)
            return False

        harness.network.is_lost = record_target
        harness.find_other("z1").acquire(harness.organisation)
        assert targets == {decider.address}

    def test_a_decider_needs_no_datagram_for_its_own_requests(self, harness: QuotaHarness) -> None:
        harness.network.is_lost = lambda source, target, data: True
        client = harness.client_by_id[harness.find_decider("z0").id]
        assert client.acquire(harness.organisation).is_valid(harness.clock.now_ms())

    def test_the_quota_is_there_for_callers_of_one_zone(self, harness: QuotaHarness) -> None:
        client = harness.find_other("z0")
        count = 0
        with pytest.raises(QuotaExceededError) as refused:
            while True:
                client.acquire(harness.organisation)
                count += 1
                harness.clock.sleep_ms(1.0)
        part = make_bucket_limit(harness.organisation, BOUNDS, deciders=3).capacity
        assert count > 2.5 * part > harness.organisation.burst
        assert refused.value.retry_after_ms > 0
        assert "o1" in str(refused.value)

    def test_no_message_while_refused(self, harness: QuotaHarness) -> None:
        client = harness.find_other("z0")
        harness.take_all(client)
        sent: list[bytes] = []

        def count(source: str, target: str, data: bytes) -> bool:
            sent.append(data)
            return False

        harness.network.is_lost = count
        for _ in range(100):
            with pytest.raises(QuotaExceededError):
                client.acquire(harness.organisation, wait_max_ms=0.0)
        assert len(sent) <= 4

    def test_a_token_that_is_given_back_is_used_again(self, harness: QuotaHarness) -> None:
        client = harness.find_other("z0")
        harness.take_all(client)
        harness.shift(2_000.0)
        token = client.acquire(harness.organisation)
        client.give_back(harness.organisation, token)
        harness.network.is_lost = lambda source, target, data: True
        assert client.acquire(harness.organisation) is token

    def test_requests_that_wait_share_one_question(self, harness: QuotaHarness) -> None:
        client = harness.find_other("z0")
        decider = harness.find_decider("z0")
        questions: list[int] = []
        port = harness.network.ports_by_address[decider.address]

        def answer_late(payload: bytes, sender: str) -> None:
            ask = decode_ask(payload)
            questions.append(ask.number)
            granted = encode(Granted(ask.number, 20, 400.0))
            threading.Timer(0.005, lambda: port.send(ANSWER_TOPIC, granted, sender)).start()

        port.handle(ASK_TOPIC, answer_late)
        threads = [
            threading.Thread(target=client.acquire, args=(harness.organisation,)) for _ in range(10)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(5)
        assert len(set(questions)) == 1


class TestLostDatagrams:
    def test_a_lost_question_is_sent_again(self, harness: QuotaHarness) -> None:
        lost = iter([True])
        harness.network.is_lost = lambda source, target, data: next(lost, False)
        harness.find_other("z0").acquire(harness.organisation)

    def test_a_lost_answer_is_repeated_and_costs_no_second_token(
        self, harness: QuotaHarness
    ) -> None:
        answers: list[bytes] = []

        def lose_first_answer(source: str, target: str, data: bytes) -> bool:
            if data.startswith(ANSWER_TOPIC):
                answers.append(data)
            return len(answers) == 1 and data is answers[0]

        harness.network.is_lost = lose_first_answer
        harness.find_other("z0").acquire(harness.organisation)
        assert len(answers) == 2
        assert answers[0] == answers[1]


class TestLostDeciders:
    def test_another_decider_is_asked_and_the_loss_is_logged(self, harness: QuotaHarness) -> None:
        decider = harness.find_decider("z0")
        harness.network.is_lost = lambda source, target, data: target == decider.address
        client = harness.find_other("z0")
        client.acquire(harness.organisation)
        assert [type(event) for event in harness.events] == [DependencyLost]
        harness.network.is_lost = lambda source, target, data: False
        harness.clock.shift(DECIDER_BACKOFF_MS)
        client.acquire(harness.organisation)
        assert [type(event) for event in harness.events] == [DependencyLost, DependencyRegained]

    def test_a_stopping_decider_hands_out_nothing(self, harness: QuotaHarness) -> None:
        harness.stopping.add(harness.find_decider("z0").id)
        harness.find_other("z0").acquire(harness.organisation)
        assert harness.events == []

    def test_an_instance_that_reaches_none_refuses(self, harness: QuotaHarness) -> None:
        harness.network.is_lost = lambda source, target, data: True
        with pytest.raises(QuotaExceededError, match="no decider"):
            harness.find_other("z0").acquire(harness.organisation)

    def test_it_waits_for_two_deciders_at_most(self, harness: QuotaHarness) -> None:
        asked: list[str] = []

        def lose(source: str, target: str, data: bytes) -> bool:
            asked.append(target)
            return True

        harness.network.is_lost = lose
        with pytest.raises(QuotaExceededError):
            harness.find_other("z0").acquire(harness.organisation)
        assert len(asked) == 4
        assert len(set(asked)) == 2


class TestRestartedDeciders:
    def test_one_that_others_have_listed_all_the_time_decides_at_once(
        self, harness: QuotaHarness
    ) -> None:
        decider = harness.find_decider("z0")
        harness.restart(decider)
        client = harness.find_other("z0")
        asked: list[str] = []

        def record_target(source: str, target: str, data: bytes) -> bool:
            if data.startswith(ASK_TOPIC):
                asked.append(target)
            return False

        client.acquire(harness.organisation)
        harness.clock.shift(1_000.0)
        harness.network.is_lost = record_target
        client.acquire(harness.organisation)
        assert asked == [decider.address]

    def test_one_that_nobody_confirms_waits(self, harness: QuotaHarness) -> None:
        decider = harness.find_decider("z0")
        harness.restart(decider)
        harness.network.is_lost = lambda source, target, data: data.startswith(SEAT_TOPIC)
        client = harness.find_other("z0")
        client.acquire(harness.organisation)
        harness.clock.shift(1_000.0)
        client.acquire(harness.organisation)
        settled_ms = (
            harness.seats_by_id[decider.id]
            .get_standing("o1", 3)
            .get_settled_ms(harness.clock.now_ms())
        )
        assert settled_ms is None


class TestMetrics:
    def test_attempts_are_counted_by_organisation(self, harness: QuotaHarness) -> None:
        harness.take_all(harness.find_other("z0"))
        text = harness.metrics.render().decode()
        assert 'coltsfootrill_quota_requests_total{organisation="o1",result="granted"}' in text
        assert 'coltsfootrill_quota_requests_total{organisation="o1",result="refused"} 1.0' in text

    def test_the_number_of_labels_is_bounded(self, harness: QuotaHarness) -> None:
        client = harness.client_by_id["n0"]
        for number in range(150):
            organisation = Organisation(name=f"x{number}", keys=[], rate_per_s=1)
            with pytest.raises(QuotaExceededError):
                client.acquire(organisation, wait_max_ms=0.0)
        text = harness.metrics.render().decode()
        samples = [line for line in text.splitlines() if line.startswith(SAMPLE_PREFIX)]
        assert len(samples) == 101
        assert 'organisation="other"' in text
