PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test demo bench measure slopes binary lint format clean

$(VENV)/installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

lint: $(VENV)/installed
	$(BIN)/black --check --quiet src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/mypy

format: $(VENV)/installed
	$(BIN)/black --quiet src tests tools
	$(BIN)/ruff check --fix src tests tools

test: lint
	$(BIN)/python tools/run_tests.py

# One file that runs as one process; see docs/decisions/0002-one-binary.md.
binary: $(VENV)/installed
	$(BIN)/python tools/build_binary.py dist/tanagerfront

clean:
	rm -rf $(VENV) build dist

demo: $(VENV)/installed
	$(BIN)/python tools/demo.py

bench: $(VENV)/installed
	$(BIN)/tanagerfront-lab bench

measure: $(VENV)/installed
	$(BIN)/tanagerfront-lab measure

slopes: $(VENV)/installed
	$(BIN)/tanagerfront-lab slopes
