"""Print the memory and threads of a server of callers that pipeline requests and leave.

Usage: python scripts/bench_left_callers.py [CALLERS]   (10,000 by default, in steps of a tenth)

The source tree on ``PYTHONPATH`` is measured, so that trees can be compared.
"""

from __future__ import annotations

import http.client
import socket
import struct
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from coltsfootrill.clock import Clock
from coltsfootrill.proxy.body_budget import BodyBudget
from coltsfootrill.proxy.caller_request import CallerRequest
from coltsfootrill.proxy.outcome import Answer
from coltsfootrill.proxy.server import CallerServer

PIPELINED_COUNT = 8
CONCURRENT_COUNT = 16
STEP_COUNT = 10
# The time that an upstream takes; callers leave within it.
WORK_S = 0.005
SETTLE_S = 3.0
REQUESTS_MAX = 256
CONNECTIONS_MAX = 1_000


def serve() -> None:
    """Serve until standard input ends; print the port, and a line of state for each line read."""

    def handle(request: CallerRequest) -> Answer:
        if request.refusal is not None:
            return Answer(status="503 Busy", headers=[], body=b"", outcome="not-run")
        time.sleep(WORK_S)
        return Answer(status="200 OK", headers=[], body=b"done", outcome="answered")

    server = CallerServer(
        handle,
        clock=Clock(),
        requests_max=REQUESTS_MAX,
        connections_max=CONNECTIONS_MAX,
        body_budget=BodyBudget(0),
    )
    server.start("127.0.0.1", 0)
    print(server.port, flush=True)
    for _ in sys.stdin:
        print(server.count_in_progress(), threading.active_count(), flush=True)
    print(server.stop(idle_ms=0, limit_ms=500), flush=True)


def leave(port: int) -> None:
    """Send requests and reset the connection before they are answered."""
    requests = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * PIPELINED_COUNT
    try:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(requests)
            time.sleep(WORK_S / 2)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        # The server has refused the connection.
        return


def call(port: int) -> str:
    """Return the status of an ordinary request."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request("GET", "/x")
        return str(connection.getresponse().status)
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()


def read_memory_kb(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def measure(caller_count: int) -> None:
    """Print a line for each step, and how the process ends."""
    command = [sys.executable, __file__, "--serve"]
    server = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert server.stdin is not None
    assert server.stdout is not None
    port = int(server.stdout.readline())
    print("callers  in progress  threads  memory KB  status of a request")
    with ThreadPoolExecutor(CONCURRENT_COUNT) as executor:
        for step in range(STEP_COUNT + 1):
            if step:
                list(executor.map(leave, [port] * (caller_count // STEP_COUNT)))
                time.sleep(SETTLE_S)
            server.stdin.write("\n")
            server.stdin.flush()
            in_progress, threads = server.stdout.readline().split()
            memory_kb = read_memory_kb(server.pid)
            count = step * (caller_count // STEP_COUNT)
            print(f"{count:7} {in_progress:>12} {threads:>8} {memory_kb:10}  {call(port)}")
    server.stdin.close()
    started_s = time.monotonic()
    try:
        server.wait(timeout=10)
        print(f"the process ended within {time.monotonic() - started_s:.1f} s of its stop")
    except subprocess.TimeoutExpired:
        print("the process did not end within 10 s of its stop, and was killed")
        server.kill()


if __name__ == "__main__":
    if sys.argv[1:] == ["--serve"]:
        serve()
    else:
        measure(int(sys.argv[1]) if sys.argv[1:] else 10_000)
