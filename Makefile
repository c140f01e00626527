.PHONY: run serve test soak experiment lint format measure measure-scale slopes binary generate

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

$(STAMP): requirements/runtime.txt requirements/development.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements/development.txt
	touch $(STAMP)

# Starts a fleet on loopback, sends requests and checks every answer.
run: $(STAMP)
	$(PYTHON) -m standins.fleet run

# Starts the same fleet and leaves it running until interrupted.
serve: $(STAMP)
	$(PYTHON) -m standins.fleet serve

test: $(STAMP)
	$(PYTHON) -m tools.run_tests

# Plays the soak of the gateway with a range of seeds, 24 s each.
FIRST_SEED ?= 1
LAST_SEED ?= 50
soak: $(STAMP)
	$(PYTHON) -m tests.soak $(FIRST_SEED) $(LAST_SEED)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

measure: $(STAMP)
	$(PYTHON) -m measurements.main

measure-scale: $(STAMP)
	$(PYTHON) -m measurements.main --scale

# Compares ways of sharing engines; OPTIONS as of measurements/experiment.py.
experiment: $(STAMP)
	$(PYTHON) -m measurements.experiment $(OPTIONS)

# Measures every slope that docs/CAPACITY.md uses.
slopes: $(STAMP)
	$(PYTHON) -m measurements.slopes

binary: $(STAMP)
	mkdir -p build
	$(PYTHON) -m tools.build_binary build/crowwinch

# Regenerates crowwinch/generated from schema/ (needs requirements/generator.txt).
generate:
	tools/generate.sh
