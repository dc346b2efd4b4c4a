from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = """
import runpy, signal, sys
runpy.run_path("deploy/run.py", run_name="deploy")
print(sys.path[0])
print(signal.getsignal(signal.SIGHUP) is signal.SIG_DFL)
"""


class TestRun:
    # Guards against sources that the users' platform does not find by a path with dots.
    def test_sources_are_named_without_dots_and_signals_are_handled(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            cwd=ROOT,
            env=os.environ | {"COLTSFOOTRILL_SETTINGS": "/missing.ini"},
            capture_output=True,
            check=True,
        )
        assert result.stdout.decode().splitlines() == [str(ROOT / "src"), "False"]
