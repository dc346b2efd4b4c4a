from __future__ import annotations

from random import Random

from coltsfootrill.balancer.ejection import eject
from coltsfootrill.balancer.pool import ServicePool
from coltsfootrill.balancer.random_of_two import coltsfootrill_choice_policy
from coltsfootrill.balancer.retry import WindowBudget
from coltsfootrill.events.catalog import Event
from coltsfootrill.events.catalog import RetriesAvailable
from coltsfootrill.events.catalog import RetriesExhausted
from coltsfootrill.events.catalog import UpstreamEjected
from coltsfootrill.events.catalog import UpstreamReadmitted
from coltsfootrill.events.catalog import UpstreamsWarmingUp
from coltsfootrill.manifest.model import Kind
from coltsfootrill.manifest.model import Service
from coltsfootrill.manifest.model import WarmUp
from coltsfootrill.proxy.pool_event_log import BUDGET_EVENT_MIN_MS
from coltsfootrill.proxy.pool_event_log import WARM_UP_NAMES_MAX_COUNT
from coltsfootrill.proxy.pool_event_log import PoolEventLog
from coltsfootrill.proxy.pool_event_log import describe_admission
from testing.records import make_usable_record

NOW_MS = 10_000.0


def _make_pool(count: int = 3, *, warm_up: WarmUp | None = None) -> ServicePool:
    service = Service(
        id="work",
        upstreams=["u*"],
        kinds=[Kind(id="k", names=["a"], idempotent=True, deadline_ms=1_000)],
        warm_up=warm_up,
    )
    pool = ServicePool(
        service,
        policy=coltsfootrill_choice_policy(),
        random=Random(1),
        zone="z",
        queue_limit=4,
        budget=WindowBudget(0.0, window_ms=1_000.0, allowance=1.0),
    )
    records = [make_usable_record(f"u{number}") for number in range(count)]
    pool.update(service, records, NOW_MS)
    return pool


class TestWarmUps:
    def test_one_line_tells_of_many_cold_upstreams_and_one_of_their_end(self) -> None:
        events: list[Event] = []
        warm_up = WarmUp(duration_ms=3_000, requests_per_second=1.0)
        pool = _make_pool(WARM_UP_NAMES_MAX_COUNT + 5, warm_up=warm_up)
        event_log = PoolEventLog(pool, on_event=events.append)
        event_log.record_warm_ups(NOW_MS)
        assert events == []
        for upstream_id in pool.by_id:
            pool.apply_cold(upstream_id, 3_000, stated_ms=NOW_MS, now_ms=NOW_MS)
            event_log.record_warm_ups(NOW_MS)
        for after_ms in range(0, 5_000, 40):
            event_log.record_warm_ups(NOW_MS + after_ms)
        lines = [event for event in events if isinstance(event, UpstreamsWarmingUp)]
        assert [line.count for line in lines] == [1, WARM_UP_NAMES_MAX_COUNT + 5, 0]
        assert len(lines[1].upstreams) == WARM_UP_NAMES_MAX_COUNT
        assert [line.per_s for line in lines] == [1.0, 1.0, None]


class TestEjections:
    def test_end_of_ejection_emits_one_event(self) -> None:
        events: list[Event] = []
        pool = _make_pool()
        event_log = PoolEventLog(pool, on_event=events.append)
        load = pool.by_id["u1"]
        eject(load, now_ms=NOW_MS)
        event_log.record_ejections([load], NOW_MS)
        assert isinstance(events[0], UpstreamEjected)
        event_log.record_ejections([], load.ejected_until_ms - 1)
        assert len(events) == 1
        for _ in range(2):
            event_log.record_ejections([], load.ejected_until_ms)
        assert isinstance(events[1], UpstreamReadmitted)
        assert len(events) == 2

    def test_event_tells_which_limit_was_exceeded_and_by_how_much(self) -> None:
        events: list[Event] = []
        pool = _make_pool()
        pool.by_id["u1"].slowness = 10.0
        ejected = pool.eject_outliers(NOW_MS)
        PoolEventLog(pool, on_event=events.append).record_ejections(ejected, NOW_MS)
        (event,) = events
        assert isinstance(event, UpstreamEjected)
        assert (event.upstream, event.reason, event.limit_ratio) == ("u1", "latency", 2.5)

    def test_upstream_that_has_left_emits_no_readmission(self) -> None:
        events: list[Event] = []
        pool = _make_pool()
        event_log = PoolEventLog(pool, on_event=events.append)
        load = pool.by_id["u1"]
        eject(load, now_ms=NOW_MS)
        event_log.record_ejections([load], NOW_MS)
        del pool.by_id["u1"]
        event_log.record_ejections([], load.ejected_until_ms)
        assert len(events) == 1


class TestBudget:
    def test_first_denial_and_recovery_emit_events(self) -> None:
        events: list[Event] = []
        event_log = PoolEventLog(_make_pool(), on_event=events.append)
        assert event_log.budget.spend(0.0)
        for _ in range(3):
            assert not event_log.budget.spend(1.0)
        (denied,) = events
        assert isinstance(denied, RetriesExhausted)
        assert (denied.service, denied.spent, denied.allowed) == ("work", 1, 1.0)
        later_ms = 2 * BUDGET_EVENT_MIN_MS
        assert event_log.budget.spend(later_ms)
        assert isinstance(events[1], RetriesAvailable)

    def test_single_allowed_attempt_emits_no_recovery(self) -> None:
        events: list[Event] = []
        pool = _make_pool()
        event_log = PoolEventLog(pool, on_event=events.append)
        budget = pool.retry_budget
        assert isinstance(budget, WindowBudget)
        assert event_log.budget.spend(0.0)
        assert not event_log.budget.spend(1.0)
        budget.allowance = 2.0
        assert event_log.budget.spend(BUDGET_EVENT_MIN_MS / 2)
        assert [type(event) for event in events] == [RetriesExhausted]


class TestAdmission:
    def test_admission_describes_the_state_of_the_pool(self) -> None:
        pool = _make_pool()
        eject(pool.by_id["u1"], now_ms=NOW_MS)
        admission = describe_admission(pool, "k", NOW_MS + 30)
        assert (admission.upstreams, admission.ejected, admission.with_room) == (3, 1, 2)
        assert (admission.waiting, admission.report_age_ms) == (0, 30.0)

    def test_service_without_upstreams_reports_zero_upstreams(self) -> None:
        assert describe_admission(_make_pool(0), "k", NOW_MS).upstreams == 0
