PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format dist bench clean

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
	$(BIN)/python -m pytest

clean:
	rm -rf $(VENV) build dist src/*.egg-info
