"""Set-up of the log: one line for each change of state, on standard error."""

from __future__ import annotations

import logging as standard_logging

from absl import flags
from absl import logging


def set_up_log() -> None:
    """Log lines of level INFO and above, with the prefix of ``absl.logging``."""
    # The command line is not parsed by absl, whose flags keep their defaults.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    # Waitress writes a line for each caller that leaves early; counters tell that already.
    standard_logging.getLogger("waitress").setLevel(standard_logging.ERROR)
