"""Start a node from a checkout, with the settings file that the platform has written.

This does not import ``coltsfootrill.cli``, which would double the start-up time.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from coltsfootrill.log import set_up_log  # noqa: E402
from coltsfootrill.roles.node import NodeRole  # noqa: E402
from coltsfootrill.settings import InvalidSettingsError  # noqa: E402

SETTINGS_VARIABLE = "COLTSFOOTRILL_SETTINGS"
EXIT_INVALID_SETTINGS = 2

if __name__ == "__main__":
    set_up_log()
    try:
        role = NodeRole.from_file(Path(os.environ[SETTINGS_VARIABLE]))
    except InvalidSettingsError as error:
        for problem in error.exceptions:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    sys.exit(role.run())
