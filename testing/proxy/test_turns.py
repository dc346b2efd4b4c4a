"""Random pipelines, failures and stops: every turn ends, and callers read only their answers."""

from __future__ import annotations

import threading
from collections.abc import Callable

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.server import CallerServer
from testing.processes import wait_until
from testing.proxy.scripted_callers import ANSWER_WITHIN_S
from testing.proxy.scripted_callers import ScriptedCaller
from testing.proxy.scripted_callers import ScriptedHandler

CALLERS_MAX_COUNT = 3
BUDGET_BYTES = 64 * 1024 * 1024
STOP_LIMIT_MS = 200.0

KINDS = st.lists(st.sampled_from(["plain", "body", "expect"]), min_size=1, max_size=12)
# Which of the callers or of the requests in hand, modulo their number.
INDEXES = st.integers(0, 11)
LEAVES = st.sampled_from(["close", "reset", "half"])
ENDS = st.sampled_from(["answer", "answer", "answer", "large", "raise", "unencodable"])


class PipeliningMachine(RuleBasedStateMachine):
    """A server with callers; ``teardown`` lets everything end and checks what remains."""

    def __init__(self) -> None:
        super().__init__()
        self._handler = ScriptedHandler()
        self._budget = BodyBudget(BUDGET_BYTES)
        self._server = CallerServer(
            self._handler,
            clock=Clock(),
            requests_max=64,
            connections_max=64,
            body_budget=self._budget,
        )
        self._callers: list[ScriptedCaller] = []
        self._stop: threading.Thread | None = None

    @initialize(kinds=KINDS)
    def start(self, kinds: list[str]) -> None:
        self._server.start("127.0.0.1", 0)
        self.connect(kinds)

    @precondition(lambda self: self._stop is None and len(self._callers) < CALLERS_MAX_COUNT)
    @rule(kinds=KINDS)
    def connect(self, kinds: list[str]) -> None:
        caller = ScriptedCaller(f"c{len(self._callers)}", self._server.port)
        self._callers.append(caller)
        caller.send(kinds)
        # Without this, later steps would nearly always come before the requests are read.
        wait_until(lambda: self._server.count_in_progress() > 0 or kinds == ["expect"])

    @rule(index=INDEXES, kinds=KINDS)
    def send_more(self, index: int, kinds: list[str]) -> None:
        caller = self._choose(index)
        if caller.is_open and caller.may_send:
            caller.send(kinds)

    @rule(index=INDEXES, how=ENDS)
    def end_request(self, index: int, how: str) -> None:
        self._handler.end(index, how)

    @rule(index=INDEXES)
    def read(self, index: int) -> None:
        caller = self._choose(index)
        if caller.is_open:
            caller.read_available()

    @rule(index=INDEXES, how=LEAVES)
    def leave(self, index: int, how: str) -> None:
        caller = self._choose(index)
        if not caller.is_open:
            return
        if how != "half":
            caller.close(has_reset=how == "reset")
        elif caller.may_send:
            caller.close_half()

    @precondition(lambda self: self._stop is None)
    @rule()
    def stop(self) -> None:
        self._stop = threading.Thread(
            target=self._server.stop, kwargs={"idle_ms": 0, "limit_ms": STOP_LIMIT_MS}, daemon=True
        )
        self._stop.start()

    def teardown(self) -> None:
        if not self._callers:
            return
        self._handler.ends_all = True
        try:
            for caller in self._callers:
                if caller.is_open:
                    self._check_answers(caller)
                    caller.close()
            self._wait_until("a turn has not ended", self._has_no_requests)
            assert self._budget.free_bytes == BUDGET_BYTES
        finally:
            if self._stop is None:
                self.stop()
        assert self._stop is not None
        self._stop.join(ANSWER_WITHIN_S)
        assert not self._stop.is_alive(), "the stop does not end"

    def _check_answers(self, caller: ScriptedCaller) -> None:
        if caller.may_send:
            caller.send(())
        failed_paths = self._handler.failed_paths
        caller.read_rest(failed_paths=failed_paths)
        is_stopped = self._stop is not None
        count = caller.count_answers(may_be_cut=is_stopped, failed_paths=failed_paths)
        if not is_stopped and failed_paths.isdisjoint(caller.paths):
            assert count == len(caller.paths), "the connection ended without some answers"

    def _has_no_requests(self) -> bool:
        return not self._server.count_in_progress() and not self._server._connections

    def _wait_until(self, message: str, holds: Callable[[], bool]) -> None:
        try:
            wait_until(holds, within_s=ANSWER_WITHIN_S)
        except AssertionError as error:
            raise AssertionError(message) from error

    def _choose(self, index: int) -> ScriptedCaller:
        return self._callers[index % len(self._callers)]


# Guards against requests of callers that left, or that failed, which stay in progress for good, and
# against answers that are read in place of others. A failing example takes seconds, so that none is
# made shorter.
TestPipelining = PipeliningMachine.TestCase
TestPipelining.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
