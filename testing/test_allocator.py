from __future__ import annotations

import os
import re
import subprocess
import sys

# Each thread that allocates beside others gets an arena of its own, up to eight a core.
PROGRAM = """
import re, threading
from coltsfootrill.allocator import limit_arenas
limit_arenas()
barrier = threading.Barrier(40)
def allocate():
    barrier.wait()
    blocks = [bytes(60_000) for _ in range(20)]
    barrier.wait()
threads = [threading.Thread(target=allocate) for _ in range(40)]
[thread.start() for thread in threads]
[thread.join() for thread in threads]
import ctypes
libc = ctypes.CDLL(None)
libc.malloc_stats()
"""


def _count_arenas(environment: dict[str, str]) -> int:
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM], env=environment, capture_output=True, check=True
    )
    return len(re.findall(rb"^Arena \d+:", result.stderr, re.MULTILINE))


class TestLimitArenas:
    def test_threads_share_two_arenas(self) -> None:
        environment = {key: value for key, value in os.environ.items() if "MALLOC" not in key}
        assert _count_arenas(environment) <= 2

    def test_environment_takes_precedence(self) -> None:
        assert 2 < _count_arenas(os.environ | {"MALLOC_ARENA_MAX": "5"}) <= 5
