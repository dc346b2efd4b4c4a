from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from coltsfootrill.replay.runner import Replayer
from coltsfootrill.replay.runner import ReplayError
from coltsfootrill.replay.runner import ReplayReport
from coltsfootrill.replay.trace import Trace
from coltsfootrill.replay.trace import TraceError
from coltsfootrill.replay.trace import generate_trace
from coltsfootrill.replay.workloads import HERALDIC
from coltsfootrill.replay.workloads import ROTA
from coltsfootrill.replay.workloads import make_manifest
from testing.processes import System
from testing.processes import get_free_port
from testing.processes import wait_until
from testing.proxy.fakes import ScriptedUpstream
from testing.proxy.fakes import answer

TRACES = Path(__file__).parent.parent.parent / "traces"
ENTRIES = ["e1", "e2", "e3", "e4"]
ZONES = 3


class Deployment:
    """One control replica, four entry instances, and fake upstreams in three processes."""

    def __init__(self, folder: Path) -> None:
        self.system = System(folder)
        self.system.add_control(["c1"])
        for name in ENTRIES:
            self.system.add_entry(name, seeds=ENTRIES[:1])
        self.fakes: list[str] = []
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        self.system.start()
        first_port = get_free_port() + 1_000
        for number in range(ZONES):
            self._start_fakes(number, first_port)
        manifest = _encode_manifest()
        wait_until(lambda: self.system.submit("c1", manifest)[0] == 200)
        for name in ENTRIES:
            wait_until(lambda name=name: self._lists_all_upstreams(name))  # type: ignore[misc]

    def close(self) -> None:
        self.kill_fakes()
        self.system.close()

    def kill_fakes(self) -> None:
        for process in self._processes:
            process.kill()
            process.wait()

    def list_callers(self) -> list[str]:
        return [f"127.0.0.1:{self.system.ports[name + '.callers']}" for name in ENTRIES]

    def _start_fakes(self, number: int, first_port: int) -> None:
        control_port = get_free_port()
        arguments = [sys.executable, "-m", "coltsfootrill", "fake-upstreams"]
        arguments += ["--zone", f"z{number + 1}", "--control-port", str(control_port)]
        arguments += ["--first-port", str(first_port), "--share", f"{number}/{ZONES}"]
        arguments += ["--token-file", str(self.system.folder / "announce.token")]
        arguments += ["--duration-s", "90"]
        for name in ENTRIES:
            port = self.system.ports[name + ".announcements"]
            arguments += ["--announce-to", f"127.0.0.1:{port}"]
        self._processes.append(subprocess.Popen(arguments))
        self.fakes.append(f"127.0.0.1:{control_port}")

    def _lists_all_upstreams(self, name: str) -> bool:
        if not self.system.is_ready(name):
            return False
        _, body = self.system.call_operators(name, "/upstreams")
        expected = sum(service.upstream_count for service in [*HERALDIC, *ROTA])
        return sum(upstream["usable"] for upstream in body["upstreams"]) == expected


def _encode_manifest() -> bytes:
    return json.dumps(make_manifest(1, [HERALDIC, ROTA])).encode()


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    started = Deployment(tmp_path)
    started.start()
    yield started
    started.close()


class TestReplay:
    @pytest.mark.parametrize("name", ["heraldic-faults", "rota-faults"])
    def test_a_shipped_trace_meets_its_expectation(self, deployment: Deployment, name: str) -> None:
        trace = Trace.from_file(TRACES / f"{name}.jsonl")
        report = Replayer(trace, callers=deployment.list_callers(), fakes=deployment.fakes).run()
        assert report.figures["requests"] == len(trace.arrivals)
        assert report.violations == []

    def test_a_violated_expectation_is_reported(self, deployment: Deployment) -> None:
        # With all upstreams stopped, the required share of answers cannot be reached.
        trace = Trace.from_file(TRACES / "rota-faults.jsonl")
        trace.arrivals = trace.arrivals[:20]
        trace.events = []
        deployment.kill_fakes()
        replayer = Replayer(trace, callers=deployment.list_callers(), fakes=[])
        assert any("answered_share" in violation for violation in replayer.run().violations)


class TestCalls:
    """The pattern: a process with so many open files that their numbers exceed 1,023."""

    def _replay(self) -> ReplayReport:
        trace = Trace.from_file(TRACES / "rota-faults.jsonl")
        trace.arrivals = trace.arrivals[:4]
        trace.events = []
        instance = ScriptedUpstream(answer(b"{}"))
        try:
            return Replayer(trace, callers=[instance.address], fakes=[]).run()
        finally:
            instance.close()

    def test_every_call_has_a_result_with_descriptors_that_select_refuses(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def refuse(*descriptors: object) -> None:
            raise ValueError("filedescriptor out of range in select()")

        monkeypatch.setattr("select.select", refuse)
        monkeypatch.setattr("coltsfootrill.replay.runner.CLIENT_THREADS", 1)
        assert self._replay().figures["requests"] == 4

    def test_an_unexpected_error_of_a_call_is_not_lost(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(replayer: Replayer, arrival: object, number: int, request_id: str) -> None:
            raise ValueError("unexpected")

        monkeypatch.setattr(Replayer, "_exchange", fail)
        with pytest.raises(ReplayError, match="4 of 4 calls failed unexpectedly: unexpected"):
            self._replay()


class TestTraces:
    def test_the_same_seed_generates_the_same_trace(self) -> None:
        first, second = (
            generate_trace("rota", ROTA, seed=5, duration_ms=2_000, rate_per_s=50, with_faults=True)
            for _ in range(2)
        )
        assert first.arrivals == second.arrivals
        assert first.events == second.events

    def test_a_written_trace_is_read_back_unchanged(self, tmp_path: Path) -> None:
        trace = generate_trace(
            "heraldic", HERALDIC, seed=5, duration_ms=1_000, rate_per_s=50, with_faults=True
        )
        trace.write(tmp_path / "t.jsonl")
        read = Trace.from_file(tmp_path / "t.jsonl")
        assert (read.head, read.arrivals, read.events) == (trace.head, trace.arrivals, trace.events)

    @pytest.mark.parametrize("line", ["", "{", '{"type":"call"}', '{"type":"x"}', "\\xff"])
    def test_an_invalid_line_is_refused(self, tmp_path: Path, line: str) -> None:
        path = tmp_path / "t.jsonl"
        path.write_text(f"{line}\n")
        with pytest.raises(TraceError):
            Trace.from_file(path)
