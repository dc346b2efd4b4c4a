from __future__ import annotations

from typing import Any

from coltsfootrill.balancer.admission import AdmissionQueue
from coltsfootrill.balancer.admission import Waiter
from coltsfootrill.balancer.admission import can_meet_deadline


def _waiter(priority: Any, order: int, urgent_at_ms: float = 0.0) -> Waiter:
    return Waiter(priority=priority, deadline_ms=1e9, urgent_at_ms=urgent_at_ms, order=order)


class TestAdmission:
    def test_requests_are_served_in_order_of_priority(self) -> None:
        queue = AdmissionQueue(10)
        waiters = [
            _waiter("deferrable", 0, urgent_at_ms=1e6),
            _waiter("normal", 1),
            _waiter("interactive", 2),
        ]
        for waiter in waiters:
            queue.add(waiter, now_ms=0)
        served = []
        while (waiter := queue.get_next(0)) is not None:
            queue.remove(waiter)
            served.append(waiter.priority)
        assert served == ["interactive", "normal", "deferrable"]

    def test_a_deferrable_request_becomes_urgent_at_its_latest_start_time(self) -> None:
        queue = AdmissionQueue(10)
        deferred = _waiter("deferrable", 0, urgent_at_ms=500)
        queue.add(deferred, now_ms=0)
        queue.add(_waiter("interactive", 1), now_ms=0)
        assert queue.get_next(499) is not deferred
        assert queue.get_next(500) is deferred

    def test_a_full_queue_evicts_the_least_urgent_request(self) -> None:
        queue = AdmissionQueue(2)
        normal = _waiter("normal", 0)
        queue.add(normal, now_ms=0)
        queue.add(_waiter("interactive", 1), now_ms=0)
        assert queue.add(_waiter("interactive", 2), now_ms=0) is normal
        late = _waiter("normal", 3)
        assert queue.add(late, now_ms=0) is late

    def test_deferrable_requests_get_at_most_half_of_the_queue(self) -> None:
        queue = AdmissionQueue(4)
        evicted = [queue.add(_waiter("deferrable", n, 1e6), now_ms=0) for n in range(3)]
        assert evicted[:2] == [None, None]
        assert evicted[2] is not None

    def test_a_wait_beyond_the_deadline_is_predicted(self) -> None:
        assert can_meet_deadline(ahead=10, parallel=10, typical_ms=10, remaining_ms=25)
        assert not can_meet_deadline(ahead=20, parallel=10, typical_ms=10, remaining_ms=25)
