"""Replays a trace against running entry instances and compares it with its expectation."""

from __future__ import annotations

import http.client
import json
import select
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from hdrh.histogram import HdrHistogram

from coltsfootrill.errors import ColtsfootrillError
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
    """The replay could not be made: a process of it does not answer."""


class CallResult:
    """What one caller saw.

    ``outcome`` is ``cut`` when no whole answer came, and ``unreachable`` when no instance
    accepted the connection.
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
    """Figures of a replay, and the expectations that were violated."""

    __slots__ = ("figures", "violations")

    def __init__(self, *, figures: dict[str, Any], violations: list[str]) -> None:
        self.figures = figures
        self.violations = violations


class Replayer:
    """Plays one trace; callers are spread over the instances in turn."""

    def __init__(self, trace: Trace, *, callers: list[str], fakes: list[str]) -> None:
        self._trace = trace
        self._callers = callers
        self._fakes = fakes
        self._local = threading.local()
        self._results: list[CallResult] = []
        self._lock = threading.Lock()

    def run(self) -> ReplayReport:
        """Play the trace and return the report; raise ``ReplayError``."""
        start_s = time.monotonic()
        events = threading.Thread(target=self._send_events, args=(start_s,), daemon=True)
        events.start()
        with ThreadPoolExecutor(CLIENT_THREADS) as pool:
            for number, arrival in enumerate(self._trace.arrivals):
                _sleep_until(start_s + arrival.at_ms / 1000)
                pool.submit(self._call, arrival, number)
        events.join()
        return self._report(self._read_fakes())

    def _send_events(self, start_s: float) -> None:
        for event in self._trace.events:
            _sleep_until(start_s + event.at_ms / 1000)
            order = {
                "upstream": event.upstream,
                "behaviour": event.behaviour,
                "factor": event.factor,
            }
            for fake in self._fakes:
                call_fake_upstreams(fake, "/behave", order)

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
        """Return a connection to the instance whose turn it is, or the next one that accepts.

        The platform's balancer sends nobody to an instance that refuses connections.
        """
        last_error = OSError("no instance")
        for offset in range(len(self._callers)):
            address = self._callers[(number + offset) % len(self._callers)]
            connection = self._get_connection(address, deadline_ms)
            if connection.sock is not None and select.select([connection.sock], [], [], 0)[0]:
                # The instance has closed it since its last answer.
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

    def _read_fakes(self) -> dict[str, Any]:
        by_id: dict[str, Any] = {}
        for fake in self._fakes:
            by_id.update(call_fake_upstreams(fake, "/report", {}))
        return by_id

    def _report(self, fakes: dict[str, Any]) -> ReplayReport:
        runs_by_request: dict[str, int] = {}
        for upstream in fakes.values():
            for request_id, count in upstream["runs"].items():
                runs_by_request[request_id] = runs_by_request.get(request_id, 0) + count
        figures = _measure(self._results, fakes)
        once = [r for r in self._results if not r.arrival.idempotent]
        figures["runs_per_request"] = max(
            (runs_by_request.get(result.request_id, 0) for result in once), default=0
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


def get_thread_connection(local: threading.local, address: str) -> http.client.HTTPConnection:
    """Return the calling thread's connection to an address, made on first use."""
    by_address: dict[str, http.client.HTTPConnection] = getattr(local, "by_address", {})
    local.by_address = by_address
    connection = by_address.get(address)
    if connection is None:
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        by_address[address] = connection
    return connection


def make_path_and_headers(name: str) -> tuple[str, dict[str, str]]:
    """Return the path and headers with which a caller uses a name of any scheme."""
    scheme, _, rest = name.partition(":")
    if scheme == "path":
        return rest, {}
    if scheme == "dotted":
        return "/", {"Host": rest}
    return "/", {"Urn": name}


def _measure(results: list[CallResult], fakes: dict[str, Any]) -> dict[str, Any]:
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
        | {service: compute_quantiles_ms(h) for service, h in sorted(by_service.items())},
        "probes": probes,
        "probe_share": probes / (probes + count) if count else 0.0,
        "work_after_leaving_ms": max(
            (upstream["work_after_leaving_ms"] for upstream in fakes.values()), default=0.0
        ),
    }


def compute_quantiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Return quantiles in milliseconds of a histogram in microseconds."""
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in _QUANTILES}


def _is_expected_answer(body: bytes, request_id: str) -> bool:
    try:
        document = json.loads(body)
    except ValueError:
        return False
    return document.get("request") == request_id and len(document.get("pad", "")) == 400


def _sleep_until(at_s: float) -> None:
    left_s = at_s - time.monotonic()
    if left_s > 0:
        time.sleep(left_s)


def call_fake_upstreams(address: str, path: str, order: dict[str, Any]) -> Any:
    """Return the answer of a process of stand-ins; raise ``ReplayError``."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request("POST", path, body=json.dumps(order))
        return json.loads(connection.getresponse().read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise ReplayError(f"no answer from the stand-ins at {address}: {error}") from error
    finally:
        connection.close()
