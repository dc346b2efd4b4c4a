"""Starts the program from a checkout, with the settings that the platform has written."""

from __future__ import annotations

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from coltsfootrill.cli import main  # noqa: E402

SETTINGS_VARIABLE = "COLTSFOOTRILL_SETTINGS"

if __name__ == "__main__":
    sys.argv += ["--settings", os.environ[SETTINGS_VARIABLE]]
    main()
