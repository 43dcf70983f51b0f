"""The soak: plans that a seed alone decides, its checks, and three fixed seeds played."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.soak.checks import TRACEBACK, ProcessUse, resource_faults, tracebacks, use_of_gateway
from roadpulley.soak.plan import (
    CALM_S,
    LAST_PART,
    RECOVERY_S,
    draw_plan,
    plan_lines,
)
from roadpulley.soak.planted import MISTAKES
from roadpulley.soak.runner import PlayResult, PlaySettings, keep, play
from roadpulley.testbed.scenario import GATEWAY_FAULTS, NODE_FAULTS, Scenario

SECONDS = 10.0
FIXED_SEEDS = (1, 2, 3)


# ---- plans ----


@given(st.integers(0, 2**32))
def test_a_plan_is_valid_and_leaves_one_gateway_and_most_nodes_alone(seed: int) -> None:
    scenario = draw_plan(seed)  # its checks are the scenario's own
    gateways = [f.target for f in scenario.faults if f.kind in GATEWAY_FAULTS]
    nodes = {f.target for f in scenario.faults if f.kind in NODE_FAULTS}
    assert len(set(gateways)) == len(gateways) < scenario.gateways
    assert len(nodes) <= 0.4 * scenario.nodes
    assert all(f.at + f.seconds <= scenario.seconds for f in scenario.faults)
    assert all(f.at <= LAST_PART * scenario.seconds + 2.0 for f in scenario.faults)
    assert scenario.faults[0].at >= CALM_S


def overlaps(scenario: Scenario) -> bool:
    faults = scenario.faults
    pairs = [(a, b) for n, a in enumerate(faults) for b in faults[n + 1 :]]
    return any(b.at <= a.at + a.seconds + RECOVERY_S for a, b in pairs)


def test_plans_overlap_faults_and_draw_every_kind() -> None:
    plans = [draw_plan(seed) for seed in range(300)]
    assert sum(map(overlaps, plans)) > 0.8 * len(plans)
    kinds = {fault.kind for plan in plans for fault in plan.faults}
    assert kinds >= {"kill", "restart", "signals", "hang", "crowd", "pause", "retune", "upgrade"}
    assert "stop-reload" in kinds and {bool(plan.node.break_ratio) for plan in plans} == {False, True}
    assert kinds >= {"node-hang", "node-slow", "node-fail", "node-kill", "node-start", "node-drain"}
    assert kinds >= {"delay", "cut", "half-open", "drip", "reset", "blackhole", "stall", "rush"}
    assert kinds >= {"counter-lost", "counter-slow", "counter-full", "discovery-silent"}
    assert {plan.workers for plan in plans} == {"", "1", "2"}
    assert {plan.deployment for plan in plans} == {"tiles", "transfers", "beyond"}


def test_a_seed_prints_the_same_plan_in_another_process() -> None:
    code = "from roadpulley.soak.plan import draw_plan, plan_lines\n"
    code += "for seed in range(40): print(*plan_lines(draw_plan(seed)), sep='\\n')"
    printed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert printed.splitlines() == [line for seed in range(40) for line in plan_lines(draw_plan(seed))]


# ---- checks ----


def test_memory_that_grows_and_descriptors_that_stay_are_told() -> None:
    before = {"n0": ProcessUse(20_000, 30), "n1": ProcessUse(20_000, 30), "n2": ProcessUse(20_000, 30)}
    assert not list(resource_faults(before, {**before, "n0": ProcessUse(40_000, 40)}))
    after = {"n0": ProcessUse(60_000, 30), "n1": ProcessUse(20_000, 50), "n2": None}
    words = list(resource_faults(before, after))
    assert [w.split(":")[0] for w in words] == ["n0", "n1", "n2"]
    assert "memory" in words[0] and "descriptors" in words[1] and "gone" in words[2]


def test_the_use_of_this_process_is_read_and_of_one_that_has_ended_is_none() -> None:
    code, pipe = "print('up', flush=True); input()", subprocess.PIPE
    with subprocess.Popen([sys.executable, "-c", code], stdin=pipe, stdout=pipe) as process:
        assert process.stdout is not None and process.stdout.readline() == b"up\n"
        use = use_of_gateway(process.pid)
        assert use is not None and use.memory_kb > 1_000 and use.descriptors >= 3
    assert use_of_gateway(process.pid) is None


def test_a_traceback_in_any_log_is_told_with_its_last_line(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_text("all is well\n")
    (tmp_path / "n1.log").write_text(f"{TRACEBACK}:\n  File x\n    y()\nValueError: bad\nmore\n")
    assert list(tracebacks(tmp_path)) == ["n1.log: traceback, ValueError: bad"]


# ---- plays ----


@pytest.mark.alone
@pytest.mark.timeout(110)
@pytest.mark.parametrize("seed", FIXED_SEEDS)
def test_a_fixed_seed_passes(seed: int, tmp_path: Path) -> None:
    print(f"seed {seed}")
    result = play(PlaySettings(seed, SECONDS, tmp_path))
    assert result.ok, "\n".join([*result.plan, *result.problems])
    assert result.asked > 100


@pytest.mark.alone
@pytest.mark.timeout(110)
def test_a_play_that_fails_leaves_all_that_is_needed_to_find_the_cause(tmp_path: Path) -> None:
    result = play(PlaySettings(1, 8.0, tmp_path, "answer-twice"))
    assert not result.ok and any(p.startswith("answered: ") for p in result.problems)
    folder = Path(result.folder)
    first, *rest = (folder / "problems.txt").read_text().splitlines()
    assert first == "roadpulley soak --seed 1 --for 8 --plant answer-twice"
    assert set(result.problems) <= set(rest) and set(result.plan) <= set(rest)
    assert {"ledger.json", "verdict.txt", "n0.log", "n0.json"} <= {p.name for p in folder.iterdir()}


def test_every_planted_mistake_says_what_it_does() -> None:
    assert len(MISTAKES) >= 8 and all(plant.__doc__ for plant in MISTAKES.values())


def test_a_failed_play_is_kept_though_a_process_left_its_socket_behind(tmp_path: Path) -> None:
    """The soak ended with a traceback there, and told nothing of the play that failed."""
    work = tmp_path / "work"
    (work / "logs").mkdir(parents=True)
    (work / "logs" / "n0.log").write_text("serves\n")
    settings = PlaySettings(7, SECONDS, tmp_path / "kept")
    result = PlayResult(7, ["seed 7"], ["answered: 1 breaches"])
    with socket.socket(socket.AF_UNIX) as left_behind:
        left_behind.bind(str(work / "gateway.link"))
        keep(settings, work, result)
    kept = Path(result.folder)
    assert (kept / "logs" / "n0.log").read_text() == "serves\n"
    assert "answered: 1 breaches" in (kept / "problems.txt").read_text()
    assert not (kept / "gateway.link").exists()
