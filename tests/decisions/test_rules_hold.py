"""Random legal event sequences: the five rules hold, and the same events give the same actions."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from helpers import FIRM, KEYED, SAFE, UNSAFE, World, backends, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from mintford import interface as api
from mintford.ceilings import MAX_SHARED_RATIO

NOT_RUN_OUTCOMES = {api.Outcome.FULL, api.Outcome.CONNECT, api.Outcome.IGNORED}
OUTCOMES = list(api.Outcome)
STEPS = st.lists(
    st.tuples(st.sampled_from("rrrrroootlcx"), st.integers(0, 7), st.integers(0, 400)),
    min_size=20,
    max_size=150,
)


class RuleChecker:
    """Checks the rules from outside while a random history is played."""

    def __init__(self, seed: int, may_duplicate: bool, started: bool) -> None:
        self.world = World([entry(i, cell=i % 2) for i in range(5)], seed=seed, may_duplicate=may_duplicate)
        self.may_duplicate = may_duplicate
        self.asked: dict[str, tuple[str, float]] = {}
        self.final: set[str] = set()
        self.sent: dict[str, list[tuple[int, float, api.Outcome | None]]] = {}
        self.calls: list[api.AddToCounter] = []
        self.states = {i: api.BackendState.READY for i in range(5)}
        self.drained_at = {i: -1e9 for i in range(5)}
        self.ceiling, self.ceiling_at = MAX_SHARED_RATIO * 40, self.world.now
        if started:
            self.step("t", 0, 400)

    def check(self, actions: list[api.Action]) -> None:
        now = self.world.now
        for action in actions:
            if isinstance(action, api.Send):
                name, expires = self.asked[action.request]
                tries = self.sent.setdefault(action.request, [])
                assert action.request not in self.final and now <= expires
                assert len(tries) < 3
                assert self.may_duplicate or all(o is not None for _, _, o in tries)
                ran = [(b, t) for b, t, o in tries if o not in NOT_RUN_OUTCOMES]
                assert name != "wipe" or not ran
                if name == "order":
                    assert all(b % 2 == action.backend % 2 and now - t <= KEYED.repeat_window for b, t in ran)
                ready = self.states[action.backend] is api.BackendState.READY
                assert ready or now - self.drained_at[action.backend] <= 1000
                if not tries:
                    # The even part of the split ceiling, which starts empty, and the whole shared part.
                    part = MAX_SHARED_RATIO + (1 - MAX_SHARED_RATIO) / 2
                    more = (now - self.ceiling_at) / 1000 * 20 * part
                    self.ceiling = min(40 * part, self.ceiling + more) - 1
                    self.ceiling_at = now
                    assert self.ceiling >= -1e-6, "more than this gateway's part of the ceiling"
                tries.append((action.backend, now, None))
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.request not in self.final
                name, expires = self.asked[action.request]
                assert now <= expires + 8
                ran = [b for b, _, o in self.sent.get(action.request, []) if o not in NOT_RUN_OUTCOMES]
                assert isinstance(action, api.Fail) or name == "view" or not ran
                self.final.add(action.request)
            elif isinstance(action, api.Cancel):
                assert action.attempt < len(self.sent[action.request])
            elif isinstance(action, api.AddToCounter):
                self.calls.append(action)

    def out(self) -> list[tuple[str, int]]:
        return [(r, i) for r, tries in self.sent.items() for i, t in enumerate(tries) if t[2] is None]

    def end(self, request: str, attempt: int, outcome: api.Outcome) -> None:
        backend, sent_at, _ = self.sent[request][attempt]
        self.sent[request][attempt] = (backend, sent_at, outcome)
        if outcome is api.Outcome.OK:
            self.final.add(request)
        finished = request in self.final
        self.check(self.world.give(api.AttemptEnded(request, attempt, backend, outcome, 1, finished)))

    def step(self, what: str, which: int, amount: int) -> None:
        world = self.world
        if what == "r":
            name = (SAFE, KEYED, UNSAFE)[which % 3].name
            self.asked[f"r{world.serial + 1}"] = (name, world.now + 500 + amount * 5)
            self.check(world.ask(name, FIRM.name, "c", 2, 500 + amount * 5))
        elif what == "o" and (out := self.out()):
            self.end(*out[amount % len(out)], OUTCOMES[which])
        elif what == "t":
            self.pass_time(amount)
        elif what == "l":
            state = (api.BackendState.READY, api.BackendState.DRAINING, api.BackendState.GONE)[which % 3]
            backend = amount % 5
            if self.states[backend] is api.BackendState.READY:
                self.drained_at[backend] = world.now
            self.states[backend] = state
            started = world.now - 100 if which > 4 else 0.0
            self.check(
                world.give(backends(entry(backend, state, started, backend % 2), scope=api.ListScope.CHANGES))
            )
        elif what == "c" and self.calls:
            call = self.calls.pop(0)
            self.check(world.give(api.CounterReplied(call.name, OUTCOMES[which], amount / 10)))
        elif what == "x" and (open_requests := [r for r in self.sent if r not in self.final]):
            self.final.add(open_requests[amount % len(open_requests)])
            self.check(world.give(api.RequestAbandoned(open_requests[amount % len(open_requests)])))

    def pass_time(self, amount: float) -> None:
        for _ in range(int(amount // 50) + 1):
            self.check(self.world.pass_time(50))
            for request, attempt in self.out():
                if self.world.now >= self.asked[request][1]:
                    self.end(request, attempt, api.Outcome.TIMED_OUT)


@settings(max_examples=150)
@given(STEPS, st.integers(0, 2**31), st.booleans(), st.booleans())
def test_five_rules_hold_for_random_histories(
    steps: list[tuple[str, int, int]], seed: int, double: bool, started: bool
) -> None:
    checker = RuleChecker(seed, double, started)
    for step in steps:
        checker.step(*step)
    checker.pass_time(4000)
    assert set(checker.asked) == checker.final, "every request has its one final answer"
    assert not checker.world.gateway.attempts.requests


def history(seed: int) -> list[tuple[float, api.Action]]:
    world = World(seed=seed)
    for i in range(400):
        for action in world.ask(("view", "order", "wipe")[i % 3], ("basic", "firm")[i % 2], f"c{i % 17}"):
            if isinstance(action, api.Send) and i % 5:
                world.end(action, OUTCOMES[i % 4])
            elif isinstance(action, api.AddToCounter):
                world.give(api.CounterReplied(action.name, OUTCOMES[i % 2 * 3], i / 100))
        world.pass_time(60)
    return world.log


def test_same_events_give_the_same_actions_under_other_hash_seeds() -> None:
    here = Path(__file__).parent
    code = (
        "import test_rules_hold as t, hashlib; print(hashlib.sha256(repr(t.history(7)).encode()).hexdigest())"
    )
    digests = set()
    for hash_seed in ("1", "2", "77"):
        path = os.pathsep.join([str(here), str(here.parent), str(here.parents[1])])
        env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": path}
        run = subprocess.run(
            [sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True
        )
        digests.add(run.stdout)
    assert len(digests) == 1
    assert history(7) == history(7)
