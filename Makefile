# Two targets do all the set-up: `make demo` shows the gateway at work, `make test` passes the tests.
VENV ?= .venv
# Tests mostly wait for sockets and timers, so a few at once cost each other little time. The long ones over
# processes stand side by side in one file: who is through with his own share takes tests from the others.
TEST_JOBS ?= 4
BIN = $(VENV)/bin

# The request path compiled, from the same source; in an environment of its own. It needs a C compiler.
COMPILED = $(VENV)-compiled

# `make explore`: other draws of all property tests, FACTOR times as many as CI draws.
SEED ?= 1
FACTOR ?= 10
EXPLORE_JOBS ?= 2

SHARED = test_workers_share_an_address_without_violations

# Faults under the sockets of a process, for tests: see tests/preload/faults.c.
FAULTS_LIBRARY ?= build/faults.so

.PHONY: demo test lint explore bench compiled test-compiled bench-compiled faults

faults: $(FAULTS_LIBRARY)

$(FAULTS_LIBRARY): tests/preload/faults.c
	mkdir -p $(dir $@)
	$(CC) -std=gnu11 -Wall -Wextra -Werror -O2 -shared -fPIC -o $@ $< -ldl -lpthread

demo: $(VENV)/.ready-dev
	$(BIN)/roadpulley dev --for 20

test: $(VENV)/.ready-test lint
	$(BIN)/pytest -q -n $(TEST_JOBS) --dist worksteal -m 'not alone'
	$(BIN)/pytest -q -m alone

lint: $(VENV)/.ready-test
	$(BIN)/ruff check .
	$(BIN)/ruff format --check -q .
	$(BIN)/mypy

explore: $(VENV)/.ready-test
	status=0; for round in $$(seq 1 $(FACTOR)); do seed=$$(( $(SEED) * 1000 + round )); echo "seed $$seed"; \
		$(BIN)/pytest -q -n $(EXPLORE_JOBS) -p no:cacheprovider --runxfail -m hypothesis \
		--hypothesis-profile=explore --hypothesis-seed=$$seed || status=1; done; exit $$status

bench: $(VENV)/.ready-dev
	$(BIN)/python benchmarks/request_cost.py

compiled: $(COMPILED)/.ready-compile

# -P and PYTHONSAFEPATH: the installed package, not the source in this folder.
test-compiled: $(COMPILED)/.ready-compile
	PYTHONSAFEPATH=1 ROADPULLEY_EXPECT=compiled $(COMPILED)/bin/pytest -q -n $(TEST_JOBS) --dist worksteal -p no:cacheprovider \
		tests/core tests/edges tests/decisions
	PYTHONSAFEPATH=1 ROADPULLEY_EXPECT=compiled $(COMPILED)/bin/pytest -q -p no:cacheprovider \
		tests/workers/test_workers.py::$(SHARED)

bench-compiled: $(VENV)/.ready-dev $(COMPILED)/.ready-compile
	BENCH_PYTHON=$(COMPILED)/bin/python $(BIN)/python benchmarks/request_cost.py

$(COMPILED)/.ready-compile: setup.py pyproject.toml requirements.txt $(wildcard mintford/*.py roadpulley/*/*.py)
	test -x $(COMPILED)/bin/python || python3 -m venv $(COMPILED)
	$(COMPILED)/bin/python -m pip -q install -r requirements.txt mypy==2.4.1 'setuptools>=77'
	ROADPULLEY_COMPILE=1 $(COMPILED)/bin/python -m pip -q install --no-build-isolation --force-reinstall '.[test]'
	touch $@

$(VENV)/.ready-%: pyproject.toml requirements.txt
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip -q install -r requirements.txt -e '.[$*]'
	touch $@
