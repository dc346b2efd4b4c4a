from __future__ import annotations

import _thread
import subprocess
import sys
import threading
from collections.abc import Callable
from typing import Any

import pytest

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.worker_threads import WorkerThreads
from testing.processes import wait_until

# A process with a request that never returns; it prints how many were aborted at its stop.
HANGING_PROCESS = """
import socket, threading
from coltsfootrill.clock import Clock
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.server import CallerServer
is_handled = threading.Event()
def handle(request):
    is_handled.set()
    threading.Event().wait()
server = CallerServer(
    handle, clock=Clock(), requests_max=4, connections_max=4, body_budget=BodyBudget(0)
)
server.start("127.0.0.1", 0)
caller = socket.create_connection(("127.0.0.1", server.port))
caller.sendall(b"GET / HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n")
is_handled.wait()
print(server.stop(idle_ms=0, limit_ms=300))
"""
# The grace period of the users' platform is not shorter than this.
GRACE_S = 6.0


class TestProcessEnd:
    # Guards against a process that does not end because a request never does.
    def test_process_ends_within_its_grace_period_though_a_request_never_does(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", HANGING_PROCESS],
            capture_output=True,
            text=True,
            timeout=GRACE_S,
            check=True,
        )
        assert ended.stdout == "1\n"


class TestWorkerThreads:
    def test_tasks_run_at_the_same_time_up_to_the_number_of_threads(self) -> None:
        workers = WorkerThreads(3, name="test", clock=Clock())
        meet = threading.Barrier(3)
        done: list[int] = []
        for number in range(9):
            workers.submit(lambda number=number: (meet.wait(5), done.append(number)))  # type: ignore[misc]
        wait_until(lambda: len(done) == 9)
        assert workers.close(timeout_ms=5_000) == 0

    # Guards against connections that wait with the kernel until each thread started before runs.
    def test_a_submit_does_not_wait_until_a_new_thread_runs(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        workers = WorkerThreads(1, name="test", clock=Clock())
        is_submitted, done = threading.Event(), threading.Event()
        were_submitted: list[bool] = []
        start = _thread.start_new_thread

        def start_late(function: Callable[..., object], arguments: tuple[Any, ...]) -> int:
            def run() -> None:
                were_submitted.append(is_submitted.wait(2))
                function(*arguments)

            return start(run, ())

        monkeypatch.setattr(_thread, "start_new_thread", start_late)
        monkeypatch.setattr(threading, "_start_new_thread", start_late)
        workers.submit(done.set)
        is_submitted.set()
        assert done.wait(5)
        assert were_submitted == [True]
        assert workers.close(timeout_ms=5_000) == 0

    # Guards against a request that waits until the thread that accepted it runs again.
    def test_a_new_thread_runs_its_first_task_though_the_submitter_is_late(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        workers = WorkerThreads(1, name="test", clock=Clock())
        done = threading.Event()
        were_done: list[bool] = []
        start_thread = WorkerThreads._start_thread

        def start_late(workers: WorkerThreads, task: Callable[[], None]) -> None:
            start_thread(workers, task)
            were_done.append(done.wait(2))

        monkeypatch.setattr(WorkerThreads, "_start_thread", start_late)
        workers.submit(done.set)
        assert were_done == [True]
        assert workers.close(timeout_ms=5_000) == 0

    def test_a_task_that_fails_ends_no_thread(self) -> None:
        workers = WorkerThreads(1, name="test", clock=Clock())
        done = threading.Event()
        workers.submit(lambda: 1 // 0)
        workers.submit(done.set)
        assert done.wait(5)
        assert workers.close(timeout_ms=5_000) == 0

    def test_close_runs_what_was_submitted_and_accepts_nothing_more(self) -> None:
        workers = WorkerThreads(1, name="test", clock=Clock())
        is_open = threading.Event()
        done = threading.Event()
        workers.submit(lambda: is_open.wait(5))
        workers.submit(done.set)
        assert workers.close(timeout_ms=0) == 1
        is_open.set()
        assert done.wait(5)
        with pytest.raises(RuntimeError):
            workers.submit(done.set)
