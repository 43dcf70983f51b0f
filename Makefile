# Two targets do all the set-up: `make demo` shows the gateway at work, `make test` passes the tests.
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test lint bench

demo: $(VENV)/.ready-dev
	$(BIN)/roadpulley dev --for 20

test: $(VENV)/.ready-test lint
	$(BIN)/pytest -q

lint: $(VENV)/.ready-test
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: $(VENV)/.ready-dev
	$(BIN)/python benchmarks/request_cost.py

$(VENV)/.ready-%: pyproject.toml requirements.txt
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip -q install -r requirements.txt -e '.[$*]'
	touch $@
