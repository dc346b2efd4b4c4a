"""Implementations of the replay commands; each returns an exit code."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.output import print_error
from coltsfootrill.operators.output import print_json
from coltsfootrill.operators.output import print_table
from coltsfootrill.replay.fake_upstream import FakeFleet
from coltsfootrill.replay.fake_upstream import FakeUpstream
from coltsfootrill.replay.runner import Replayer
from coltsfootrill.replay.runner import ReplayReport
from coltsfootrill.replay.trace import Trace
from coltsfootrill.replay.trace import generate_trace
from coltsfootrill.replay.workloads import HERALDIC
from coltsfootrill.replay.workloads import ROTA
from coltsfootrill.replay.workloads import WORKLOADS
from coltsfootrill.replay.workloads import make_manifest


def replay_trace(trace: Path, *, callers: list[str], fakes: list[str], as_json: bool) -> int:
    """Replay a trace; print its figures and whether its expectation holds."""
    report = Replayer(Trace.from_file(trace), callers=callers, fakes=fakes).run()
    if as_json:
        print_json({"figures": report.figures, "violations": report.violations})
    else:
        _print_report(report)
    return ExitCode.REFUSED if report.violations else ExitCode.DONE


def write_trace(
    file: Path, *, workload: str, seed: int, duration_s: float, rate: float, with_faults: bool
) -> int:
    """Generate a trace of a workload and write it to a file."""
    trace = generate_trace(
        workload,
        WORKLOADS[workload],
        seed=seed,
        duration_ms=duration_s * 1000,
        rate_per_s=rate,
        with_faults=with_faults,
    )
    trace.write(file)
    return ExitCode.DONE


def write_manifest(file: Path, *, version: int) -> int:
    """Write a manifest with the services of both workloads to a file."""
    file.write_text(json.dumps(make_manifest(version, [HERALDIC, ROTA]), indent=1) + "\n")
    return ExitCode.DONE


def run_fake_upstreams(
    *,
    zone: str,
    control_port: int,
    first_port: int,
    announce_to: list[str],
    token_file: Path,
    share: str,
    duration_s: float,
    seed: int,
    work_factor: float,
    copies: int,
) -> int:
    """Run this process's share of the fake upstreams.

    ``share`` is ``index/count``: of the fake upstreams of both workloads, numbered from 0, those
    with ``number % count == index`` run here. ``copies`` multiplies the upstreams of each service,
    ``work_factor`` the time that they work on a request.
    """
    share_index, _, share_count = share.partition("/")
    names = [
        (f"{service.id}-{index}", service)
        for service in [*HERALDIC, *ROTA]
        for index in range(service.upstream_count * copies)
    ]
    upstreams = [
        FakeUpstream(
            name,
            service.id,
            zone=zone,
            port=first_port + number,
            work_ms=service.work_ms * work_factor,
            seed=seed,
        )
        for number, (name, service) in enumerate(names)
        if number % int(share_count) == int(share_index)
    ]
    token = token_file.read_text(encoding="utf-8").strip()
    fleet = FakeFleet(upstreams, announce_to=announce_to, token=token, seed=seed)
    asyncio.run(fleet.run(control_port, duration_s))
    return ExitCode.DONE


def _print_report(report: ReplayReport) -> None:
    figures = report.figures
    rows = [
        ["requests", figures["requests"]],
        *([f"outcome {name}", count] for name, count in sorted(figures["outcomes"].items())),
        ["answered share", f"{figures['answered_share']:.4f}"],
        ["wrong answers", figures["wrong_answers"]],
        ["max runs of a non-idempotent request", figures["runs_per_request"]],
        ["reported not-run but run", figures["not_run_but_run"]],
        ["work after leaving, ms", f"{figures['work_after_leaving_ms']:.0f}"],
        ["probes", figures["probes"]],
        ["probes as a share of all requests", f"{figures['probe_share']:.5f}"],
    ]
    for service, quantiles in figures["latency_ms"].items():
        text = "  ".join(f"{name} {value:.1f}" for name, value in quantiles.items())
        rows.append([f"latency ms, {service}", text])
    print_table(["figure", "value"], rows)
    for violation in report.violations:
        print_error(f"violated: {violation}")
    print("verdict: " + ("violated" if report.violations else "holds"))
