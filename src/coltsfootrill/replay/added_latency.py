"""Measures the latency that an instance adds to a direct call.

Direct calls and calls through instances alternate in one run, so both see the same conditions.
"""

from __future__ import annotations

import http.client
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

from hdrh.histogram import HdrHistogram

from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.output import print_json
from coltsfootrill.operators.output import print_table
from coltsfootrill.replay.fake_upstream import INSTANT_SUFFIX
from coltsfootrill.replay.runner import HISTOGRAM_MAX_US
from coltsfootrill.replay.runner import HISTOGRAM_SIGNIFICANT_DIGITS
from coltsfootrill.replay.runner import ReplayError
from coltsfootrill.replay.runner import call_fake_upstreams
from coltsfootrill.replay.runner import compute_quantiles_ms
from coltsfootrill.replay.runner import get_thread_connection

SERVICE_ID = "blazon"
PATH = f"/blazon/lookup{INSTANT_SUFFIX}"
CLIENT_THREADS = 8
DIRECT = "direct"


class _Target:
    """One way to reach an upstream; each call picks one of ``addresses`` at random."""

    __slots__ = ("addresses", "failures", "histogram", "name")

    def __init__(self, name: str, addresses: list[str]) -> None:
        self.name = name
        self.addresses = addresses
        self.histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)
        self.failures = 0


def measure_added_latency(
    *, callers: list[str], fakes: list[str], requests: int, rate: float, as_json: bool
) -> int:
    """Call each target ``requests`` times at ``rate`` per second; print the latency quantiles.

    Raises ``ReplayError`` if no fake upstream of the service is serving.
    """
    direct = [
        upstream["address"]
        for fake in fakes
        for upstream in call_fake_upstreams(fake, "/report", {}).values()
        if upstream["service"] == SERVICE_ID and upstream["state"] == "serving"
    ]
    if not direct:
        raise ReplayError(f"no fake upstream of the service {SERVICE_ID} is serving")
    targets = [_Target(DIRECT, direct), *(_Target(address, [address]) for address in callers)]
    _call_interleaved(targets, requests, rate)
    by_name = {target.name: compute_quantiles_ms(target.histogram) for target in targets}
    if as_json:
        print_json(by_name)
    else:
        _print_table(targets, by_name)
    return ExitCode.DONE if not any(target.failures for target in targets) else ExitCode.REFUSED


def _call_interleaved(targets: list[_Target], requests: int, rate: float) -> None:
    random = Random(1)
    local = threading.local()
    lock = threading.Lock()
    start_s = time.monotonic()
    with ThreadPoolExecutor(CLIENT_THREADS) as pool:
        for number in range(requests * len(targets)):
            wait_s = start_s + number / (rate * len(targets)) - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            target = targets[number % len(targets)]
            pool.submit(_call, target, random.choice(target.addresses), local, lock)


def _call(target: _Target, address: str, local: threading.local, lock: threading.Lock) -> None:
    connection = get_thread_connection(local, address)
    if connection.sock is None:
        connection.connect()
    start_s = time.perf_counter()
    try:
        connection.request("GET", PATH, headers={"Request-Id": "measure"})
        response = connection.getresponse()
        response.read()
        is_ok = response.status == http.client.OK
    except (OSError, http.client.HTTPException):
        connection.close()
        is_ok = False
    elapsed_us = int((time.perf_counter() - start_s) * 1e6)
    with lock:
        if is_ok:
            target.histogram.record_value(max(1, elapsed_us))
        else:
            target.failures += 1


def _print_table(targets: list[_Target], by_name: dict[str, dict[str, float]]) -> None:
    direct = by_name[DIRECT]
    rows = []
    for target in targets:
        quantiles = by_name[target.name]
        rows.append(
            [target.name, target.failures]
            + [f"{value:.2f}" for value in quantiles.values()]
            + [f"{quantiles[name] - direct[name]:.2f}" for name in ("p50", "p99")]
        )
    header = ["target", "failed", *(f"{name} ms" for name in direct), "added p50", "added p99"]
    print_table(header, rows)
