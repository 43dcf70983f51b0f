#!/bin/sh
# Run once, after the `build` command of deploy/balancer.toml, for the cases 6 to 10.
# Their stand-ins are Python files of the standard library: they are compiled here, so that a mistake shows.
# `roadpulley serve` (case 7) and `roadpulley usage` (the trial on billing) need the project's own command line.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build command of deploy/balancer.toml first" >&2; exit 2; }
PYTHONPYCACHEPREFIX="$(mktemp -d)" .venv/bin/python -m py_compile review/rig2/*.py review/6/*.py review/7/*.py \
    review/8/*.py review/9/*.py review/10/*.py || exit 1
.venv/bin/python -c 'import click, sortedcontainers' 2>/dev/null || .venv/bin/pip -q install -e '.[store]' ||
    echo "no command line: case 7 starts the supervisor of serve by itself, the trial on billing can't run" >&2
exit 0
