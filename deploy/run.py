"""Start a node from a checkout, with the settings file that the platform has written.

This does not import ``coltsfootrill.cli``, which would double the start-up time. Signals are handled
and the callers' port opens before the other imports: see ``coltsfootrill.early_signals`` and
``coltsfootrill.early_listener``.
"""

from __future__ import annotations

import os
import sys

SETTINGS_VARIABLE = "COLTSFOOTRILL_SETTINGS"
EXIT_INVALID_SETTINGS = 2

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "src"))

from coltsfootrill.early_signals import handle_early_signals  # noqa: E402

handle_early_signals()

from pathlib import Path  # noqa: E402

from coltsfootrill.early_listener import open_from_settings  # noqa: E402

listener = open_from_settings(Path(os.environ[SETTINGS_VARIABLE]))

from coltsfootrill.process import set_up_process  # noqa: E402
from coltsfootrill.roles.node import NodeRole  # noqa: E402
from coltsfootrill.settings import InvalidSettingsError  # noqa: E402

if __name__ == "__main__":
    set_up_process()
    try:
        role = NodeRole.from_file(Path(os.environ[SETTINGS_VARIABLE]), listener=listener)
    except InvalidSettingsError as error:
        for problem in error.exceptions:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    sys.exit(role.run())
