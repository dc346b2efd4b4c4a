PYTHON ?= python3
VENV := .venv
# First seed of a soak run; the default is a new one each day.
SOAK_SEED ?= $(shell date +%Y%m%d00)
BIN := $(VENV)/bin

.PHONY: demo test lint format dist bench prove slopes soak soak-entry clean

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/.ready
	scripts/demo.sh

lint: $(VENV)/.ready
	$(BIN)/black --check --quiet src testing
	$(BIN)/ruff check src testing
	$(BIN)/mypy

format: $(VENV)/.ready
	$(BIN)/ruff check --fix src testing
	$(BIN)/black src testing

test: lint
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

# On first use shiv unpacks the file within the process itself: no other process is started.
dist: $(VENV)/.ready
	rm -rf build dist && mkdir -p dist
	$(BIN)/shiv --quiet --constraint constraints.txt --python '/usr/bin/env python3' \
		--console-script coltsfootrill --output-file dist/coltsfootrill .

bench: $(VENV)/.ready
	scripts/bench_added.sh
	scripts/bench_policies.sh
	scripts/bench_control.sh
	scripts/bench_change.sh

prove: $(VENV)/.ready
	$(BIN)/python scripts/prove.py

slopes: $(VENV)/.ready
	$(BIN)/python scripts/slopes.py

soak: $(VENV)/.ready
	$(BIN)/python -m testing.soak 15 $(SOAK_SEED) 20

soak-entry: $(VENV)/.ready
	$(BIN)/python -m testing.entry_fleet 600 1

clean:
	rm -rf $(VENV) build dist src/*.egg-info
