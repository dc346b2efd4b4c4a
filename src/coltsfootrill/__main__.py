"""Run the command line with ``python -m coltsfootrill``."""

from __future__ import annotations

from coltsfootrill.start import main

if __name__ == "__main__":
    main()
