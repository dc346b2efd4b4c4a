from __future__ import annotations

import json
import os

from coltsfootrill import output
from coltsfootrill.clock import Clock
from coltsfootrill.clock import ManualClock
from coltsfootrill.events.catalog import Attempt
from coltsfootrill.events.catalog import DependencyLost
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.events.log import EventLog
from coltsfootrill.events.requests import SUMMARY_INTERVAL_MS
from coltsfootrill.events.requests import RequestLog
from coltsfootrill.events.requests import is_ordinary


def _ended(**changes: object) -> RequestEnded:
    fields: dict[str, object] = {
        "id": "q1",
        "service": "desk",
        "kind": "k",
        "manifest": 3,
        "status": "200 OK",
        "outcome": "answered",
        "reason": "",
        "took_ms": 10.0,
        "deadline_ms": 1000.0,
    }
    return RequestEnded(**(fields | changes))  # type: ignore[arg-type]


def _read_lines(reader: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


class TestEventLog:
    def test_each_line_names_its_event_and_instance(self) -> None:
        reader, writer = os.pipe()
        log = EventLog("n1", clock=Clock(), descriptor=writer)
        log.start()
        log.emit(DependencyLost(dependency="disk", reason="full"))
        log.close()
        (line,) = _read_lines(reader)
        assert (line["event"], line["instance"], line["reason"]) == (
            "dependency-lost",
            "n1",
            "full",
        )

    def test_emit_does_not_block_when_the_log_is_not_read(self) -> None:
        reader, writer = os.pipe()
        log = EventLog("n1", clock=Clock(), descriptor=writer)
        log.start()
        for _ in range(output.QUEUE_MAX_COUNT * 2):
            log.emit(DependencyLost(dependency="x" * 50, reason="y"))
        assert log.dropped > 0
        os.close(reader)


class TestRequestLog:
    def test_ordinary_answers_are_summarised(self) -> None:
        clock = ManualClock()
        log = EventLog("n1", clock=clock, descriptor=1)
        requests = RequestLog(log, clock=clock)
        for took_ms in (10.0, 30.0):
            requests.record(_ended(took_ms=took_ms))
        clock.advance(SUMMARY_INTERVAL_MS)
        requests.record(_ended(status="503 Service Unavailable", outcome="not-run"))
        events = [event for _, event in log._queue]
        assert [getattr(event, "answered", None) for event in events] == [2, None]
        assert getattr(events[0], "took_ms", None) == 20.0

    def test_refused_failed_retried_and_late_requests_are_not_ordinary(self) -> None:
        retried = [Attempt(upstream="u", after_ms=0, took_ms=1, result="shed")] * 2
        assert is_ordinary(_ended())
        assert not is_ordinary(_ended(outcome="unknown"))
        assert not is_ordinary(_ended(status="500 x"))
        assert not is_ordinary(_ended(attempts=retried))
        assert not is_ordinary(_ended(took_ms=900.0))

    def test_lines_above_the_rate_limit_are_dropped_and_counted(self) -> None:
        clock = ManualClock()
        log = EventLog("n1", clock=clock, descriptor=1)
        requests = RequestLog(log, clock=clock)
        for _ in range(500):
            requests.record(_ended(outcome="not-run"))
        assert len(log._queue) + log.dropped == 500
        assert log.dropped > 300
