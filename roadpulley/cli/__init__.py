"""`roadpulley COMMAND`: one file a command, each thin."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from . import check, dev, fleet, plan, reserve, serve, store, usage

COMMANDS = (dev, serve, check, store, plan, reserve, usage, fleet)


def main(argv: Sequence[str] | None = None) -> int:
    """0: well; 1: a rule broke or a check failed; 2: it could not be done as asked; 130: interrupted."""
    parser = argparse.ArgumentParser(prog="roadpulley", description=__doc__)
    commands = parser.add_subparsers(title="commands", metavar="COMMAND", required=True)
    for command in COMMANDS:
        command.add(commands)
    given = list(sys.argv[1:] if argv is None else argv)
    if given[:1] == ["fleet"]:  # its own commands and options are read by click
        return fleet.run(given[1:])
    args = parser.parse_args(given)
    run = args.run
    return int(run(args))


if __name__ == "__main__":
    sys.exit(main())
