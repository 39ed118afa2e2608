VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
LOSS ?= 0
STAMP = $(VENV)/.installed

.PHONY: demo test lint format setup measure measure-all queue-orders imbalance-floor slopes passthrough-slopes soak

setup: $(STAMP)

$(STAMP): pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: setup
	$(BIN)/python -m berylturn_standins.demo --loss $(LOSS)
	$(BIN)/python -m berylturn_standins.opaque_demo

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

SHAPE ?= himshell
SCENARIO ?= steady
POLICY ?= product
SEED ?= 1

measure: setup
	$(BIN)/python -m bench.measure --shape=$(SHAPE) --scenario=$(SCENARIO) --policy=$(POLICY) --seed=$(SEED) $(if $(PLOT),--plot=$(PLOT))

measure-all: setup
	$(BIN)/python -m bench.measure_all

imbalance-floor: setup
	$(BIN)/python -m bench.imbalance_floor

queue-orders: setup
	$(BIN)/python -m bench.queue_orders

slopes: setup
	$(BIN)/python -m bench.slopes

passthrough-slopes: setup
	$(BIN)/python -m bench.passthrough_slopes

SOAK_SEED ?= 1
SOAK_COUNT ?= 50

soak: setup
	$(BIN)/python -m berylturn_standins.soak --seed=$(SOAK_SEED) --count=$(SOAK_COUNT)
