"""Shows that each guarantee's test fails without the mechanism it rests on, and passes with it.

Usage: python scripts/prove.py [WORD]   (only mutants whose guarantee contains WORD)
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from testing.mutants import MUTANTS  # noqa: E402
from testing.mutants import Mutant  # noqa: E402


def _run(test: str, source: Path) -> bool:
    """Return whether the test passes with the program in ``source``."""
    environment = os.environ | {"PYTHONPATH": f"{source}{os.pathsep}{ROOT}"}
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", test]
    result = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, check=False)
    if result.returncode not in (0, 1):
        sys.exit(f"{test} did not run:\n{result.stdout.decode()}{result.stderr.decode()}")
    return result.returncode == 0


def _check(mutant: Mutant, folder: Path) -> str:
    """Return what was seen without and with the mechanism."""
    source = folder / "src"
    shutil.copytree(ROOT / "src", source, dirs_exist_ok=True)
    path = source / "coltsfootrill" / mutant.file
    text = path.read_text()
    if text.count(mutant.old) != 1:
        return f"stale: the text stands {text.count(mutant.old)} times in {mutant.file}"
    path.write_text(text.replace(mutant.old, mutant.new))
    without = _run(mutant.test, source)
    with_mechanism = _run(mutant.test, ROOT / "src")
    if without:
        return "NOT SEEN: passes without the mechanism"
    return "fails without, holds with" if with_mechanism else "FAILS with the mechanism"


def main() -> int:
    """Check all mutants; return 1 when one was not seen."""
    word = sys.argv[1] if len(sys.argv) > 1 else ""
    bad = 0
    for mutant in MUTANTS:
        if word not in mutant.guarantee:
            continue
        with tempfile.TemporaryDirectory() as folder:
            seen = _check(mutant, Path(folder))
        bad += seen != "fails without, holds with"
        print(f"{mutant.guarantee:62s} {seen}", flush=True)
    print(f"{bad} not as expected")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
