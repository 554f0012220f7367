PYTHON ?= python3
SEED ?= 1
FOR ?= 20
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test test-long binary check format bench soak capacity docs docs-check clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/wisteriawall demo

test: $(STAMP)
	$(BIN)/python -m pytest

test-long: $(STAMP)
	$(BIN)/python -m pytest --hypothesis-profile=long --hypothesis-seed=$(SEED)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	MYPYPATH=src:testing $(BIN)/mypy -p tools -p bench -p support -p soak

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	PYTHONPATH=testing $(BIN)/python -m bench

soak: $(STAMP)
	PYTHONPATH=testing $(BIN)/python -m soak --seed $(SEED) --for $(FOR)

docs: $(STAMP)
	$(BIN)/python -m tools.settings_reference

docs-check: $(STAMP)
	$(BIN)/python -m tools.settings_reference --check

capacity: $(STAMP)
	PYTHONPATH=testing $(BIN)/python -m tools.capacity

binary: $(STAMP)
	mkdir -p dist; rm -rf build
	$(BIN)/shiv --quiet --console-script wisteriawall \
		--output-file dist/wisteriawall \
		--requirement requirements-run.lock . --no-build-isolation

clean:
	rm -rf dist build .venv
