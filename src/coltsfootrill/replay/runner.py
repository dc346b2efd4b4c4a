"""Replays a trace against running entry instances and checks the expectation of the trace."""

from __future__ import annotations

import http.client
import json
import threading
import time
import uuid
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from hdrh.histogram import HdrHistogram

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.proxy.connection import has_pending_data
from coltsfootrill.replay.trace import Arrival
from coltsfootrill.replay.trace import Trace

CLIENT_THREADS = 96
CALL_TIMEOUT_S = 5
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
DEADLINE_SLACK_MS = 2_000.0
UNREACHABLE = "unreachable"
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class ReplayError(ColtsfootrillError):
    """The replay has no valid result: no fake upstream answers, or calls failed unexpectedly."""


class CallResult:
    """The result of one call as its caller saw it.

    ``outcome`` is ``cut`` if the answer was missing or incomplete, and ``unreachable`` if no
    instance accepted the connection. ``is_wrong`` is set if the body of a successful answer
    belongs to another request or is not as the fake upstream sent it.
    """

    __slots__ = ("arrival", "is_wrong", "latency_ms", "outcome", "request_id")

    def __init__(
        self,
        *,
        arrival: Arrival,
        request_id: str,
        outcome: str,
        latency_ms: float,
        is_wrong: bool,
    ) -> None:
        self.arrival = arrival
        self.request_id = request_id
        self.outcome = outcome
        self.latency_ms = latency_ms
        self.is_wrong = is_wrong


class ReplayReport:
    """The figures of a replay and the expectations that they violate."""

    __slots__ = ("figures", "violations")

    def __init__(self, *, figures: dict[str, Any], violations: list[str]) -> None:
        self.figures = figures
        self.violations = violations


class Replayer:
    """Replays one trace; the calls go to the instances in round-robin order."""

    def __init__(self, trace: Trace, *, callers: list[str], fakes: list[str]) -> None:
        self._trace = trace
        self._callers = callers
        self._fakes = fakes
        self._local = threading.local()
        self._results: list[CallResult] = []
        self._lock = threading.Lock()

    def run(self) -> ReplayReport:
        """Replay the trace and return the report; raise ``ReplayError`` if it fails."""
        start_s = time.monotonic()
        sender = threading.Thread(target=self._send_events, args=(start_s,), daemon=True)
        sender.start()
        with ThreadPoolExecutor(CLIENT_THREADS) as pool:
            calls: list[Future[None]] = []
            for number, arrival in enumerate(self._trace.arrivals):
                _sleep_until(start_s + arrival.at_ms / 1000)
                calls.append(pool.submit(self._call, arrival, number))
        sender.join()
        _raise_unexpected(calls)
        return self._make_report(self._fetch_fake_reports())

    def _send_events(self, start_s: float) -> None:
        for event in self._trace.events:
            _sleep_until(start_s + event.at_ms / 1000)
            command = {
                "upstream": event.upstream,
                "behaviour": event.behaviour,
                "factor": event.factor,
            }
            for fake in self._fakes:
                call_fake_upstreams(fake, "/behave", command)

    def _call(self, arrival: Arrival, number: int) -> None:
        request_id = uuid.uuid4().hex
        start_s = time.perf_counter()
        outcome, is_wrong = self._exchange(arrival, number, request_id)
        result = CallResult(
            arrival=arrival,
            request_id=request_id,
            outcome=outcome,
            latency_ms=(time.perf_counter() - start_s) * 1000,
            is_wrong=is_wrong,
        )
        with self._lock:
            self._results.append(result)

    def _exchange(self, arrival: Arrival, number: int, request_id: str) -> tuple[str, bool]:
        method = "GET" if arrival.idempotent else "POST"
        path, headers = make_path_and_headers(arrival.name)
        headers["Request-Id"] = request_id
        try:
            connection = self._connect(number, arrival.deadline_ms)
        except OSError:
            return UNREACHABLE, False
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return "cut", False
        outcome = response.getheader("Coltsfootrill-Outcome") or "none"
        is_wrong = response.status == http.client.OK and not _is_expected_answer(body, request_id)
        return outcome, is_wrong

    def _connect(self, number: int, deadline_ms: float) -> http.client.HTTPConnection:
        """Return a connection to the next instance in turn that accepts one.

        Instances that refuse connections are skipped, as the platform's own balancer does.
        """
        last_error = OSError("no instance")
        for offset in range(len(self._callers)):
            address = self._callers[(number + offset) % len(self._callers)]
            connection = self._get_connection(address, deadline_ms)
            if connection.sock is not None and has_pending_data(connection.sock):
                # The instance has closed the connection since its last answer.
                connection.close()
            try:
                if connection.sock is None:
                    connection.connect()
                return connection
            except OSError as error:
                last_error = error
        raise last_error

    def _get_connection(self, address: str, deadline_ms: float) -> http.client.HTTPConnection:
        connection = get_thread_connection(self._local, address)
        connection.timeout = (deadline_ms + DEADLINE_SLACK_MS) / 1000
        if connection.sock is not None:
            connection.sock.settimeout(connection.timeout)
        return connection

    def _fetch_fake_reports(self) -> dict[str, Any]:
        by_id: dict[str, Any] = {}
        for fake in self._fakes:
            by_id.update(call_fake_upstreams(fake, "/report", {}))
        return by_id

    def _make_report(self, fakes: dict[str, Any]) -> ReplayReport:
        runs_by_request: dict[str, int] = {}
        for upstream in fakes.values():
            for request_id, count in upstream["runs"].items():
                runs_by_request[request_id] = runs_by_request.get(request_id, 0) + count
        figures = _compute_figures(self._results, fakes)
        non_idempotent = [result for result in self._results if not result.arrival.idempotent]
        figures["runs_per_request"] = max(
            (runs_by_request.get(result.request_id, 0) for result in non_idempotent), default=0
        )
        figures["not_run_but_run"] = sum(
            result.outcome == "not-run" and runs_by_request.get(result.request_id, 0) > 0
            for result in self._results
        )
        return ReplayReport(figures=figures, violations=self._find_violations(figures))

    def _find_violations(self, figures: dict[str, Any]) -> list[str]:
        expect = self._trace.head.expect
        checks = [
            ("runs_per_request", figures["runs_per_request"] <= expect.runs_per_request_max),
            ("wrong_answers", figures["wrong_answers"] <= expect.wrong_answers_max),
            ("not_run_but_run", figures["not_run_but_run"] <= expect.not_run_but_run_max),
            ("answered_share", figures["answered_share"] >= expect.answered_share_min),
            (
                "work_after_leaving_ms",
                figures["work_after_leaving_ms"] <= expect.work_after_leaving_ms_max,
            ),
        ]
        return [f"{name} is {figures[name]}" for name, holds in checks if not holds]


def _raise_unexpected(calls: list[Future[None]]) -> None:
    """Raise ``ReplayError`` if a call ended by an error that is not a result of the call."""
    errors = [error for call in calls if (error := call.exception()) is not None]
    if errors:
        raise ReplayError(
            f"{len(errors)} of {len(calls)} calls failed unexpectedly: {errors[0]}"
        ) from errors[0]


def get_thread_connection(local: threading.local, address: str) -> http.client.HTTPConnection:
    """Return the connection of the calling thread to an address, created on first use."""
    by_address: dict[str, http.client.HTTPConnection] = getattr(local, "by_address", {})
    local.by_address = by_address
    connection = by_address.get(address)
    if connection is None:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        by_address[address] = connection
    return connection


def make_path_and_headers(name: str) -> tuple[str, dict[str, str]]:
    """Return the path and headers of a request for a name of any naming scheme."""
    scheme, _, rest = name.partition(":")
    if scheme == "path":
        return rest, {}
    if scheme == "dotted":
        return "/", {"Host": rest}
    return "/", {"Urn": name}


def _compute_figures(results: list[CallResult], fakes: dict[str, Any]) -> dict[str, Any]:
    outcomes: dict[str, int] = {}
    by_service: dict[str, HdrHistogram] = {}
    total = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)
    for result in results:
        outcomes[result.outcome] = outcomes.get(result.outcome, 0) + 1
        latency_us = max(1, int(result.latency_ms * 1000))
        histogram = by_service.setdefault(
            result.arrival.service, HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)
        )
        histogram.record_value(latency_us)
        total.record_value(latency_us)
    count = len(results)
    probes = sum(upstream["probes"] for upstream in fakes.values())
    return {
        "requests": count,
        "outcomes": outcomes,
        "answered_share": outcomes.get("answered", 0) / count if count else 1.0,
        "wrong_answers": sum(result.is_wrong for result in results),
        "latency_ms": {"all": compute_quantiles_ms(total)}
        | {
            service: compute_quantiles_ms(histogram)
            for service, histogram in sorted(by_service.items())
        },
        "probes": probes,
        "probe_share": probes / (probes + count) if count else 0.0,
        "work_after_leaving_ms": max(
            (upstream["work_after_leaving_ms"] for upstream in fakes.values()), default=0.0
        ),
    }


def compute_quantiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Return the latency quantiles in milliseconds of a histogram in microseconds."""
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in _QUANTILES}


def _is_expected_answer(body: bytes, request_id: str) -> bool:
    try:
        document = json.loads(body)
    except ValueError:
        return False
    return document.get("request") == request_id and len(document.get("pad", "")) == 400


def _sleep_until(at_s: float) -> None:
    wait_s = at_s - time.monotonic()
    if wait_s > 0:
        time.sleep(wait_s)


def call_fake_upstreams(address: str, path: str, command: dict[str, Any]) -> Any:
    """Send a command to the control port of fake upstreams and return the decoded answer.

    Raises ``ReplayError`` if there is no answer or it is not JSON.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request("POST", path, body=json.dumps(command))
        return json.loads(connection.getresponse().read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise ReplayError(
            f"no valid answer from the fake upstreams at {address}: {error}"
        ) from error
    finally:
        connection.close()
