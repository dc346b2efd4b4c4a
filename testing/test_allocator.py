from __future__ import annotations

import os
import re
import subprocess
import sys

# Each thread that allocates beside others gets an arena of its own, up to eight a core.
ALLOCATE_IN_THREADS = """
barrier = threading.Barrier(40)
def allocate():
    barrier.wait()
    blocks = [bytes(60_000) for _ in range(20)]
    barrier.wait()
threads = [threading.Thread(target=allocate) for _ in range(40)]
[thread.start() for thread in threads]
[thread.join() for thread in threads]
"""
# Without a fixed threshold, the first large buffer that is freed makes the next one stay.
FREE_TWICE = """
for _ in range(2):
    blocks = [bytes(4_000_000) for _ in range(4)] + [bytes(50_000)]
    kept = blocks.pop()
    del blocks
"""
PROGRAM = """
import ctypes, threading
from coltsfootrill.allocator import set_up_allocator
set_up_allocator()
{body}
ctypes.CDLL(None).malloc_stats()
"""


def _run(body: str, **variables: str) -> str:
    """Run a program; return the statistics of its allocator."""
    environment = {key: value for key, value in os.environ.items() if "MALLOC" not in key}
    command = [sys.executable, "-c", PROGRAM.format(body=body)]
    result = subprocess.run(command, env=environment | variables, capture_output=True, check=True)
    return result.stderr.decode()


def _count_arenas(**variables: str) -> int:
    return len(re.findall(r"^Arena \d+:", _run(ALLOCATE_IN_THREADS, **variables), re.MULTILINE))


def _get_system_bytes() -> int:
    """Return what the arenas of a program that has freed large buffers still have."""
    found = re.findall(r"^system bytes += +(\d+)", _run(FREE_TWICE), re.MULTILINE)
    return sum(int(number) for number in found[:-1])


class TestSetUpAllocator:
    def test_threads_share_two_arenas(self) -> None:
        assert _count_arenas() <= 2

    def test_environment_takes_precedence(self) -> None:
        assert 2 < _count_arenas(MALLOC_ARENA_MAX="5") <= 5

    def test_large_buffers_are_not_taken_from_arenas(self) -> None:
        assert _get_system_bytes() < 16_000_000
