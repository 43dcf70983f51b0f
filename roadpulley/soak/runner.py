"""Plays one plan on real processes and judges it; a play that fails leaves a folder that tells all of it."""

from __future__ import annotations

import asyncio
import json
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path

import uvloop

from roadpulley.testbed.installation import Installation, Outcome, SetupError
from roadpulley.testbed.operator import NoAnswerError
from roadpulley.testbed.processes import GatewayExitError
from roadpulley.testbed.scenario import Scenario
from roadpulley.testbed.timeline import MAX_SHUTDOWN_S

from .checks import ProcessUse, descriptors_are_back, resource_faults, tracebacks, use_of_gateway
from .plan import draw_plan, plan_lines

PLAY_MARGIN_S = 60.0  # beside the load: starting, recovery, settling
READY_S = 10.0  # in which every gateway that was restarted takes clients again
SETTLE_S = 12.0  # in which idle connections to backends are given up
LOOK_S = 0.1


@dataclass(frozen=True)
class PlaySettings:
    """`planted`: a mistake of `planted.py` that the gateways are started with; "" for none."""

    seed: int
    seconds: float
    folder: Path  # of the plays that fail
    planted: str = ""


@dataclass
class PlayResult:
    seed: int
    plan: list[str]
    problems: list[str]  # in words; empty: the play passed
    asked: int = 0
    late_ms: float = 0.0  # for which the machine stood still
    faults: dict[str, int] = field(default_factory=dict)  # drawn, by kind
    folder: str = ""  # of a play that failed

    @property
    def ok(self) -> bool:
        return not self.problems


def play(settings: PlaySettings) -> PlayResult:
    """Play one seed in this process, with an event loop of its own."""
    scenario = draw_plan(settings.seed, settings.seconds)
    if settings.planted:
        scenario = replace(scenario, workers="")  # a mistake is planted in processes without workers
    result = PlayResult(
        settings.seed,
        list(plan_lines(scenario)),
        [],
        faults=dict(Counter(fault.kind for fault in scenario.faults)),
    )
    work = Path(tempfile.mkdtemp(prefix=f"soak-{settings.seed}-"))
    try:
        uvloop.run(play_and_judge(scenario, settings, work, result))
        if not result.ok:
            keep(settings, work, result)
    finally:
        shutil.rmtree(work, ignore_errors=True)
    return result


async def play_and_judge(scenario: Scenario, settings: PlaySettings, work: Path, result: PlayResult) -> None:
    program = ("roadpulley.soak.planted", settings.planted) if settings.planted else None
    try:
        async with asyncio.timeout(scenario.seconds + PLAY_MARGIN_S):
            async with Installation(scenario, folder=work, program=program) as world:
                before = uses(world)
                outcome = await world.run()
                record(outcome, work, result)
                if not outcome.verdict.late:
                    result.problems += [
                        f"{name}: had not ended by itself {MAX_SHUTDOWN_S:g} s after SIGTERM"
                        for name in world.forced_ends
                    ]
                result.problems += await not_ready(world)
                result.problems += resource_faults(
                    {name: use for name, use in before.items() if use is not None},
                    await settled(world, before),
                )
    except (SetupError, GatewayExitError, NoAnswerError) as error:
        result.problems.append(str(error))
    except TimeoutError:
        result.problems.append(f"not over {PLAY_MARGIN_S:g} s after its load")
    result.problems += tracebacks(work)


def record(outcome: Outcome, work: Path, result: PlayResult) -> None:
    result.asked, result.late_ms = len(outcome.ledger.asks), outcome.verdict.late_ms
    for rule in outcome.verdict.rules.values():
        if not rule.ok:
            result.problems.append(
                f"{rule.name}: {rule.breaches} breaches, first {'; '.join(rule.words[:3])}"
            )
    (work / "ledger.json").write_text(json.dumps(outcome.ledger.to_json()))
    (work / "verdict.txt").write_text("\n".join(outcome.verdict.lines()) + "\n")


def uses(world: Installation) -> dict[str, ProcessUse | None]:
    return {
        name: use_of_gateway(process.pid) if process.running else None
        for name, process in world.gateways.items()
    }


async def not_ready(world: Installation) -> list[str]:
    """Gateways that don't take clients some seconds after the end of the load."""
    end = asyncio.get_running_loop().time() + READY_S
    while waiting := [
        gate.name for gate in world.load_generator.gates if not gate.taken_in or not gate.running()
    ]:
        if asyncio.get_running_loop().time() > end:
            return [f"{name}: not ready {READY_S:g} s after the end" for name in waiting]
        await asyncio.sleep(LOOK_S)
    return []


async def settled(world: Installation, before: dict[str, ProcessUse | None]) -> dict[str, ProcessUse | None]:
    """The use of all gateways once their clients have left and idle connections are given up."""
    world.load_generator.close()
    end = asyncio.get_running_loop().time() + SETTLE_S
    while True:
        after = uses(world)
        pairs = ((first, after.get(name)) for name, first in before.items() if first is not None)
        back = all(last is not None and descriptors_are_back(first, last) for first, last in pairs)
        if back or asyncio.get_running_loop().time() > end:
            return after
        await asyncio.sleep(LOOK_S)


def special_files(folder: str, names: list[str]) -> set[str]:
    """Sockets and the like, which can't be copied; a process that was killed leaves them behind."""
    paths = {name: Path(folder, name) for name in names}
    return {name for name, path in paths.items() if not path.is_dir() and not path.is_file()}


def keep(settings: PlaySettings, work: Path, result: PlayResult) -> None:
    """Leave what is needed to find the cause: plan, logs, ledger, problems and the command."""
    name = f"seed-{settings.seed}" + (f"-{settings.planted}" if settings.planted else "")
    folder = settings.folder / name
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(work, folder, ignore=special_files)
    again = f"roadpulley soak --seed {settings.seed} --for {settings.seconds:g}"
    again += f" --plant {settings.planted}" if settings.planted else ""
    (folder / "problems.txt").write_text("\n".join([again, "", *result.plan, "", *result.problems]) + "\n")
    result.folder = str(folder)
