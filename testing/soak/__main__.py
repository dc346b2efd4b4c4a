"""Runs soaks by hand: ``python -m testing.soak SECONDS FIRST_SEED [COUNT] [NODES]``."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from testing.soak.run import Soak

# Of three seeds, one causes nothing but planned work.
PLANNED_EACH = 3


def main() -> int:
    """Run the seeds one after another; return 1 when a promise was broken."""
    duration_s = float(sys.argv[1])
    first = int(sys.argv[2])
    count = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    nodes = int(sys.argv[4]) if len(sys.argv) > 4 else 5
    broken = 0
    for seed in range(first, first + count):
        is_planned_only = seed % PLANNED_EACH == 0
        with tempfile.TemporaryDirectory() as name:
            soak = Soak(Path(name), seed, nodes=nodes, is_planned_only=is_planned_only)
            violations = soak.run(duration_s)
            counts = " ".join(f"{key}={value}" for key, value in soak.ledger.count().items())
            print(f"seed {seed}: {len(soak.ledger.faults)} faults, {counts}", flush=True)
            for line in violations:
                print(f"  BROKEN {line}", flush=True)
            if violations:
                broken += 1
                for fault in soak.ledger.faults:
                    print(f"  fault {fault}")
                for log in sorted(Path(name).glob("*.log")):
                    kept = Path(f"soak-{seed}-{log.name}")
                    kept.write_bytes(log.read_bytes())
    print(f"{count} seeds, {broken} with a broken promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
