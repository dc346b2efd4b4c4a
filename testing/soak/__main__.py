"""Command line of the soak: ``python -m testing.soak SECONDS FIRST_SEED [COUNT] [NODES] [FAULT]``.

FAULT is put into all nodes on purpose, see ``linked_node``.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from testing.soak.run import Soak

# Every third seed injects only planned operations: node stops and upstream departures.
PLANNED_ONLY_SEED_INTERVAL = 3


def main() -> int:
    """Run the seeds one after another; return 1 when a guarantee was violated, otherwise 0."""
    duration_s = float(sys.argv[1])
    first_seed = int(sys.argv[2])
    count = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    nodes = int(sys.argv[4]) if len(sys.argv) > 4 else 5
    node_fault = sys.argv[5] if len(sys.argv) > 5 else ""
    violated_seeds = 0
    for seed in range(first_seed, first_seed + count):
        is_planned_only = seed % PLANNED_ONLY_SEED_INTERVAL == 0
        with tempfile.TemporaryDirectory() as name:
            soak = Soak(
                Path(name), seed, nodes=nodes, is_planned_only=is_planned_only, fault=node_fault
            )
            violations = soak.run(duration_s)
            outcomes = soak.history.count_outcomes().items()
            counts = " ".join(f"{key}={value}" for key, value in outcomes)
            changes = f"{soak.judge.acknowledged_count} changes, {soak.judge.judged_count} judged"
            changes += f", {soak.zones.acknowledged_count} evacuations"
            changes += f", {soak.cold_judge.judged_count} warm-ups judged"
            changes += f", {soak.kept_judge.judged_count} requests on kept connections judged"
            print(
                f"seed {seed}: {len(soak.history.faults)} faults, {changes}, {counts}", flush=True
            )
            for violation in violations:
                print(f"  VIOLATED {violation}", flush=True)
            if violations:
                violated_seeds += 1
                for fault in soak.history.faults:
                    print(f"  fault {fault}")
                for log in sorted(Path(name).glob("*.log")):
                    Path(f"soak-{seed}-{log.name}").write_bytes(log.read_bytes())
    print(f"{count} seeds, {violated_seeds} with a violated guarantee")
    return 1 if violated_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
