"""The command that explains the outcome of a request from the logs of several processes."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from collections.abc import Sequence
from datetime import UTC
from datetime import datetime
from pathlib import Path

import msgspec

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.events.catalog import Attempt
from coltsfootrill.events.catalog import RequestEnded
from coltsfootrill.events.explanation import Explanation
from coltsfootrill.events.explanation import explain
from coltsfootrill.events.reader import LogContent
from coltsfootrill.events.reader import LoggedEvent
from coltsfootrill.events.reader import read_log
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.output import print_error
from coltsfootrill.operators.output import print_table

STANDARD_INPUT = Path("-")


class LogReadError(ColtsfootrillError):
    """A log file cannot be opened or read."""


def explain_request(request_id: str, files: Sequence[Path]) -> int:
    """Print a request, the events that relate to it, and its cause; default to standard input."""
    content = _read_all(files or [STANDARD_INPUT])
    if content.unreadable_count:
        print_error(f"{content.unreadable_count} lines could not be read and were skipped")
    explanations = explain(content.events, request_id)
    if not explanations:
        print_error(
            f"no request with the id {request_id!r} among {len(content.events)} events; "
            "ordinary answers have no line of their own, and lines-dropped counts omitted lines"
        )
        return ExitCode.REFUSED
    for explanation in explanations:
        _print_explanation(explanation)
    return ExitCode.DONE


def _read_all(files: Sequence[Path]) -> LogContent:
    def list_lines() -> Iterator[str]:
        for path in files:
            if path == STANDARD_INPUT:
                yield from sys.stdin
                continue
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    yield from file
            except OSError as error:
                raise LogReadError(f"cannot read {path}: {error}") from error

    return read_log(list_lines())


def _print_explanation(explanation: Explanation) -> None:
    logged = explanation.request
    request = logged.event
    assert isinstance(request, RequestEnded)
    print(f"request {request.id} at {logged.instance}, ended {_format_time(logged.at_ms)}")
    print(f"  {request.status}: {request.outcome} {request.reason}".rstrip())
    print(f"  service {request.service}, kind {request.kind}, manifest {request.manifest}")
    if request.organisation:
        print(f"  organisation {request.organisation}")
    print(f"  took {request.took_ms:g} of {request.deadline_ms:g} ms")
    if request.attempts:
        print("attempts")
        print_table(
            Attempt.__struct_fields__,
            [msgspec.structs.astuple(attempt) for attempt in request.attempts],
        )
    if explanation.state_events:
        print(f"what {logged.instance} believed")
        for state_event in explanation.state_events:
            print(f"  {_format_time(state_event.at_ms)} {_format_event(state_event)}")
    for upstream in explanation.upstreams:
        counts = _format_counts(upstream.count_by_result)
        print(f"other attempts at {upstream.upstream_id} within 2 s: {counts}")
    counts = _format_counts(explanation.service_outcomes)
    print(f"other logged requests of {request.service or 'no service'} within 2 s: {counts}")
    print(f"cause: {explanation.conclusion}")


def _format_time(at_ms: int) -> str:
    at = datetime.fromtimestamp(at_ms / 1000, UTC)
    return at.strftime("%H:%M:%S.") + f"{at_ms % 1000:03d}"


def _format_event(logged: LoggedEvent) -> str:
    fields = msgspec.to_builtins(logged.event)
    name = fields.pop("event")
    return " ".join([name, *(f"{key}={value}" for key, value in fields.items())])


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.most_common()) or "none"
