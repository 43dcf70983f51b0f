"""`roadpulley soak`: drawn faults over whole installations, judged; see docs/SOAK.md."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from pathlib import Path

import click

from roadpulley.soak.plan import DEFAULT_SECONDS, MIN_SECONDS, draw_plan, plan_lines
from roadpulley.soak.planted import MISTAKES
from roadpulley.soak.runner import PlayResult, PlaySettings, play

from . import frame
from .frame import option

WORDS = "Play drawn faults over whole installations and judge them."


def command() -> click.Command:
    params: list[click.Parameter] = [
        option("--seed", type=click.IntRange(0), default=1, help="Of the first play."),
        option("--seeds", type=click.IntRange(1, 100_000), default=1, help="How many, one after the other."),
        option(
            "--for", "seconds", type=click.FloatRange(MIN_SECONDS, 86_400), default=DEFAULT_SECONDS,
            help="Of load in each play.",
        ),
        option("--jobs", type=click.IntRange(1, 64), default=1, help="Plays at once."),
        option("--folder", type=frame.FOLDER, default=Path("found"), help="Of the plays that fail."),
        option("--plan", "plan_only", is_flag=True, help="Print what is drawn, and end."),
        option("--plant", type=click.Choice(sorted(MISTAKES)), help="A mistake, to try the judge."),
        option("--json", "as_json", is_flag=True, help="One JSON object a play on standard output."),
    ]  # fmt: skip
    return frame.command("soak", run, WORDS, params)


def run(args: argparse.Namespace) -> int:
    """0: all plays passed; 1: one failed."""
    seeds = range(args.seed, args.seed + args.seeds)
    if args.plan_only:
        for seed in seeds:
            print("\n".join(plan_lines(draw_plan(seed, args.seconds))))
        return 0
    settings = [PlaySettings(seed, args.seconds, args.folder, args.plant or "") for seed in seeds]
    failed = 0
    for result in results(settings, args.jobs):
        failed += not result.ok
        tell(result, args.as_json)
    if not args.as_json:
        print(f"{len(settings) - failed} plays passed, {failed} failed", flush=True)
    return 1 if failed else 0


def results(settings: list[PlaySettings], jobs: int) -> Iterator[PlayResult]:
    """As they come. Each play has a process of its own, which its gateways end with."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context, max_tasks_per_child=1) as pool:
        for done in as_completed([pool.submit(play, each) for each in settings]):
            yield done.result()


def tell(result: PlayResult, as_json: bool) -> None:
    if as_json:
        print(json.dumps(asdict(result)), flush=True)
        return
    print("\n".join(result.plan))
    late = f", the machine late by {result.late_ms:.0f} ms" if result.late_ms else ""
    print(f"  {'passed' if result.ok else 'FAILED'}: {result.asked} requests{late}")
    for problem in result.problems:
        print(f"    {problem}")
    if result.folder:
        print(f"    kept in {result.folder}")
    sys.stdout.flush()
