#!/bin/sh
# Run once, after the `build` command of the deploy file. The stand-ins of the cases are Python files that use the
# standard library alone, so nothing has to be fetched; they are compiled here to see that they can be read.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPYCACHEPREFIX="$(mktemp -d)" .venv/bin/python -m py_compile review/standins.py review/sites.py review/*/case.py
