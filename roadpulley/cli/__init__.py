"""`roadpulley COMMAND`: one file a command, each thin."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from . import check, dev, fleet, frame, plan, quota_error, reserve, serve, soak, store, usage

COMMANDS = (dev, soak, serve, check, quota_error, store, plan, reserve, usage, fleet)


def whole() -> click.Group:
    short = {"help_option_names": ["-h", "--help"]}
    commands = [c.command() for c in COMMANDS]
    return click.Group("roadpulley", commands=commands, help=__doc__, context_settings=short)


def main(argv: Sequence[str] | None = None) -> int:
    """0: well; 1: a rule broke or a check failed; 2: it could not be done as asked; 130: interrupted."""
    return frame.main(whole(), sys.argv[1:] if argv is None else argv, "roadpulley")


if __name__ == "__main__":
    sys.exit(main())
