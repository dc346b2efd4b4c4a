"""Configuration of the log, which is written to standard error."""

from __future__ import annotations

import logging as standard_logging
import sys

from absl import flags
from absl import logging


def set_up_log() -> None:
    """Log messages of level INFO and above in the format of ``absl.logging``."""
    # absl does not parse the command line: mark its flags as parsed, with their default values.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.setStream(sys.stderr)
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    # Waitress logs a line for each client that disconnects early, which metrics already count.
    standard_logging.getLogger("waitress").setLevel(standard_logging.ERROR)
