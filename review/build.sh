#!/usr/bin/env bash
# Build the stand-ins of the cases: Python of the standard library only, compiled as a check.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m compileall -q standins ./*/case.py
