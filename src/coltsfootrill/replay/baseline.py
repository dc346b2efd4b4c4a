"""Minimal forwarder built on waitress and ``http.client``, a baseline for the added latency.

It picks an upstream at random, without health checks or retries.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable
from typing import Any

import waitress

from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.replay.runner import get_thread_connection
from coltsfootrill.settings import Address

THREAD_COUNT = 16


def run_baseline(listen: Address, upstreams: list[str], duration_s: float) -> int:
    """Forward every request to one of ``upstreams``; return after ``duration_s``."""
    local = threading.local()

    def forward(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        connection = get_thread_connection(local, random.choice(upstreams))
        headers = {
            key[5:].replace("_", "-"): value
            for key, value in environ.items()
            if key.startswith("HTTP_")
        }
        body = environ["wsgi.input"].read()
        connection.request(environ["REQUEST_METHOD"], environ["PATH_INFO"], body or None, headers)
        response = connection.getresponse()
        answer = response.read()
        start_response(f"{response.status} {response.reason}", response.getheaders())
        return [answer]

    server = waitress.create_server(forward, listen=str(listen), threads=THREAD_COUNT)
    threading.Thread(target=server.run, daemon=True).start()
    threading.Event().wait(duration_s)
    return ExitCode.DONE
