"""What all commands share: options and arguments of click, handed to a function as one object."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

FOLDER = click.Path(path_type=Path)
Run = Callable[[argparse.Namespace], int]


def command(
    name: str, run: Run, words: str, params: Sequence[click.Parameter], **fixed: Any
) -> click.Command:
    """One whose parameters, and what is `fixed`, reach `run` as the attributes of one object."""

    def call(**given: Any) -> int:
        return run(argparse.Namespace(**given, **fixed))

    return click.Command(name, callback=call, params=list(params), help=words, short_help=words)


def group(
    name: str, words: str, params: Sequence[click.Parameter], parts: Sequence[click.Command]
) -> click.Group:
    """Commands of one matter. What the group itself is given reaches each of them too."""

    @click.pass_context
    def keep(context: click.Context, /, **given: Any) -> None:
        context.obj = given

    return click.Group(
        name, commands=list(parts), callback=keep, params=list(params), help=words, short_help=words
    )


def inherits(run: Run) -> Run:
    """With what the group was given, beside what the command was."""

    def call(args: argparse.Namespace) -> int:
        shared = click.get_current_context().obj or {}
        return run(argparse.Namespace(**shared, **vars(args)))

    return call


def option(*names: str, **settings: Any) -> click.Option:
    return click.Option(names, **settings)


def argument(name: str, **settings: Any) -> click.Argument:
    return click.Argument([name], **settings)


def main(whole: click.Group, given: Sequence[str], prog: str) -> int:
    """The exit code. Words that are off give 2 and the usage, an interruption 130."""
    try:
        return int(whole.main(list(given), prog, standalone_mode=False) or 0)
    except click.exceptions.Exit as error:
        return int(error.exit_code)
    except click.ClickException as error:
        error.show(sys.stderr)
        return 2
    except click.Abort:
        return 130
