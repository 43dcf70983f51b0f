#!/bin/sh
# Builds what the cases 6 to 10 start, after the `build` command of deploy/balancer.toml.
# Their stand-ins are Python files of the standard library: they are compiled here, so that a mistake shows.
# The case of `roadpulley serve` and `roadpulley usage` needs the project's own command line and its libraries.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/rig2
.venv/bin/python -c 'import click, sortedcontainers, roadpulley' 2>/dev/null && test -x .venv/bin/roadpulley ||
    .venv/bin/pip -q install -e '.[store]'
