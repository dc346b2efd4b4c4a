"""Check that the test of each guarantee fails without its mechanism and passes with it.

Usage: python scripts/prove.py [TEXT]   (only mutants whose guarantee contains TEXT)
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

EXPECTED_RESULT = "fails without, passes with"


def _passes(test: str, source: Path) -> bool:
    """Return whether the test passes with the program in ``source``."""
    environment = os.environ | {"PYTHONPATH": f"{source}{os.pathsep}{ROOT}"}
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", test]
    result = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, check=False)
    if result.returncode not in (0, 1):
        sys.exit(f"{test} did not run:\n{result.stdout.decode()}{result.stderr.decode()}")
    return result.returncode == 0


def _check_mutant(mutant: Mutant, folder: Path) -> str:
    """Return whether the test fails without the mechanism and passes with it, as text."""
    source = folder / "src"
    shutil.copytree(ROOT / "src", source, dirs_exist_ok=True)
    path = source / "coltsfootrill" / mutant.file
    text = path.read_text()
    if text.count(mutant.old) != 1:
        return f"STALE: the text to replace occurs {text.count(mutant.old)} times in {mutant.file}"
    path.write_text(text.replace(mutant.old, mutant.new))
    passes_without = _passes(mutant.test, source)
    passes_with = _passes(mutant.test, ROOT / "src")
    if passes_without:
        return "PASSES without the mechanism"
    return EXPECTED_RESULT if passes_with else "FAILS with the mechanism"


def main() -> int:
    """Check the selected mutants; return 1 if a result is not as expected."""
    text_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    unexpected_count = 0
    for mutant in MUTANTS:
        if text_filter not in mutant.guarantee:
            continue
        with tempfile.TemporaryDirectory() as folder:
            result = _check_mutant(mutant, Path(folder))
        unexpected_count += result != EXPECTED_RESULT
        print(f"{mutant.guarantee:72s} {result}", flush=True)
    print(f"results that are not as expected: {unexpected_count}")
    return 1 if unexpected_count else 0


if __name__ == "__main__":
    sys.exit(main())
