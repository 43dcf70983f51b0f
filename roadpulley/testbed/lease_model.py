"""The lease machines in a small world where everything may happen at any time: explored whole, or by chance.

Three voters, two candidates, one duty, one register that the duty acts on. A message arrives at once,
never, or late: at any time after, past any other. In any state one of these may come next: a late message
arrives (once more, while repeats are left); a candidate looks at its clock; a register answers a claim; a
holder checks that it holds, and its act lands at any later time; a voter or a candidate restarts with
nothing, fences included; time goes on. How many are lost or late is bounded, as in delay-bounded
scheduling (Emmi, Qadeer, Rakamaric, 2011).

What must hold in every state: one candidate at most believes by its own clock that it holds the duty; each
fence that a holder begins to act under is above all before it; no act is taken up after one of a higher
fence.
"""

from __future__ import annotations

import dataclasses
import random
import sys
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from roadpulley.fleet.duties.candidate import (
    Action,
    Candidate,
    ClaimRegisters,
    HoldingEnded,
    HoldingStarted,
    SendMessage,
    State,
)
from roadpulley.fleet.duties.terms import NO_BALLOT, LeaseTimes, ProcessId
from roadpulley.fleet.duties.voter import Voter

DUTY = "d"


class Broken(AssertionError):
    """The invariant that does not hold, and what led there."""


@dataclass(frozen=True)
class Limits:
    """How much of each may happen in one history."""

    ticks: int = 9
    restarts: int = 2  # of voters
    wipes: int = 0  # of all voters at once
    reboots: int = 0  # of candidates
    repeats: int = 0
    tries: int = 2  # ballots of one candidate
    asks: int = 4  # of one candidate, renewals included
    late: int = 1  # messages that come late
    lost: int = 2  # messages that never come


@dataclass(frozen=True)
class Rules:
    """What the world around the machines keeps; tests plant mistakes here and in the machines."""

    voter: type[Voter] = Voter
    candidate: type[Candidate] = Candidate
    boots: bool = True  # messages for an earlier boot are dropped
    fences: bool = True  # the register refuses a fence that is too low
    claims: bool = True  # a holder acts only once its register has taken its fence up
    owners: bool = True  # the register tells two claims of one number apart


def nothing() -> float:
    return 0.0


Step = tuple[float, str, Callable[[], "World"]]
Packet = tuple[str, int, str, int, Any]  # from whom and its boot, to whom and its boot, what


@dataclass(frozen=True)
class World:
    now: int
    voters: tuple[tuple[int, Voter], ...]  # boot and machine
    candidates: tuple[tuple[int, Candidate], ...]
    sent: tuple[Packet, ...] = ()  # to be judged next: at once, never or late
    flying: tuple[Packet, ...] = ()  # late
    claims: tuple[int | None, ...] = (None, None)  # by candidate: a fence that is being claimed
    checked: tuple[int | None, ...] = (None, None)  # by candidate: a fence under which an act is on its way
    register: tuple[int, str] = (0, "")
    acted: int = 0  # the highest fence under which an act was taken up
    begun: int = 0  # the highest fence under which a holding began
    restarts: int = 0
    reboots: int = 0
    repeats: int = 0
    late: int = 0
    lost: int = 0
    wipes: int = 0


class Model:
    def __init__(
        self,
        times: LeaseTimes,
        limits: Limits,
        rules: Rules | None = None,
        rates: tuple[float, ...] = (1.0,) * 5,
    ) -> None:
        """`rates`: of the clocks of voters and candidates, in that order; within the drift of `times`."""
        self.times, self.limits, self.rules, self.rates = times, limits, rules or Rules(), rates
        self.loss = 0.2  # in drawn histories, beside 1 for an arrival
        self.names = tuple(f"v{n}" for n in range(3))

    def start(self) -> World:
        voters = tuple((1, self.rules.voter(self.times, 0.0, lost_state=False)) for _ in self.names)
        return World(0, voters, tuple((1, self._candidate(n, 1)) for n in range(2)))

    def _candidate(self, n: int, boot: int) -> Candidate:
        made = self.rules.candidate(
            DUTY, ProcessId(f"c{n}", boot), frozenset(self.names), self.times, nothing
        )
        made.due_at = 0.0
        return made

    def clock(self, world: World, place: int) -> float:
        """Of voter `place`, or of candidate `place - 3`."""
        return world.now * self.rates[place]

    # ---- what may come next ----

    def steps(self, world: World) -> Iterator[Step]:
        """All that may come next: how likely in a drawn history, in words, and what makes the next world."""
        limits = self.limits
        if world.sent:
            yield from self._fate(world, world.sent[0], replace(world, sent=world.sent[1:]))
            return
        for at, packet in enumerate(world.flying):
            rest = replace(world, flying=(*world.flying[:at], *world.flying[at + 1 :]))
            yield 0.5, arrival(packet), partial(self._arrive, rest, packet)
            if world.repeats < limits.repeats:
                again = replace(world, repeats=world.repeats + 1)
                yield 0.1, arrival(packet, "once more"), partial(self._arrive, again, packet)
        for n, (_, candidate) in enumerate(world.candidates):
            if self._may_tick(world, n, candidate):
                yield 1.0, f"c{n} looks at its clock", partial(self._tick, world, n)
            if world.claims[n] is not None:
                yield 1.0, f"the register answers c{n}", partial(self._claim, world, n)
            if world.checked[n] is not None:
                yield 0.3, f"the act of c{n} lands", partial(self._act, world, n)
            elif candidate.is_held(self.clock(world, 3 + n)):
                checked = put(world.checked, n, candidate.ballot.round)
                yield 0.5, f"c{n} checks that it holds", partial(replace, world, checked=checked)
            if world.reboots < limits.reboots:
                yield 0.03, f"c{n} restarts", partial(self._reboot, world, n)
        for n in range(len(self.names)):
            if world.restarts < limits.restarts:
                yield 0.03, f"v{n} restarts with nothing", partial(self._restart, world, n)
        if world.wipes < limits.wipes:
            yield 0.03, "all voters restart with nothing", partial(self._wipe, world)
        if world.now < limits.ticks:
            yield 1.0, "time goes on", partial(replace, world, now=world.now + 1)

    def _fate(self, world: World, packet: Packet, rest: World) -> Iterator[Step]:
        yield 1.0, arrival(packet), partial(self._arrive, rest, packet)
        if world.lost < self.limits.lost:
            yield self.loss, arrival(packet, "never"), partial(replace, rest, lost=world.lost + 1)
        if world.late < self.limits.late:
            flying = (*rest.flying, packet)
            yield 0.2, arrival(packet, "late"), partial(replace, rest, late=world.late + 1, flying=flying)

    def _may_tick(self, world: World, n: int, candidate: Candidate) -> bool:
        if self.clock(world, 3 + n) < candidate.next_tick_at():
            return False
        if (
            candidate.state is State.IDLE
            and candidate.ballot.round > 0
            and self.limits.tries <= candidate.failed_tries
        ):
            return False
        return (
            candidate.last_request_number < self.limits.asks
            or self.clock(world, 3 + n) >= candidate.held_until > 0
        )

    # ---- what it does ----

    def _arrive(self, world: World, packet: Packet) -> World:
        source, source_boot, target, target_boot, message = packet
        n = int(target[1:])
        if target[0] == "v":
            boot, old_voter = world.voters[n]
            if boot != target_boot and self.rules.boots:
                return world
            voter = clone(old_voter)
            answer = voter.handle_request(self.clock(world, n), message)
            world = replace(world, voters=put(world.voters, n, (boot, voter)))
            return self._fly(world, [(target, boot, source, source_boot, answer)]) if answer else world
        boot, old = world.candidates[n]
        if boot != target_boot:
            return world
        candidate = clone(old)
        out = candidate.handle_response(self.clock(world, 3 + n), source, message)
        return self._done(replace(world, candidates=put(world.candidates, n, (boot, candidate))), n, out)

    def _tick(self, world: World, n: int) -> World:
        boot, old = world.candidates[n]
        candidate = clone(old)
        out = candidate.tick(self.clock(world, 3 + n))
        return self._done(replace(world, candidates=put(world.candidates, n, (boot, candidate))), n, out)

    def _done(self, world: World, n: int, actions: list[Action]) -> World:
        boot, candidate = world.candidates[n]
        packets: list[Packet] = []
        for action in actions:
            match action:
                case SendMessage(voter, message):
                    packets.append((f"c{n}", boot, voter, world.voters[int(voter[1:])][0], message))
                case ClaimRegisters(_, fence):
                    world = replace(world, claims=put(world.claims, n, fence))
                case HoldingStarted(_, fence):
                    if fence <= world.begun:
                        raise Broken(f"c{n} begins under fence {fence} after {world.begun}")
                    world = replace(world, begun=fence)
                case HoldingEnded():
                    world = replace(world, claims=put(world.claims, n, None))
        world = self._fly(world, packets)
        if not self.rules.claims and world.claims[n] is not None:
            return self._claimed(world, n)
        return world

    def _claim(self, world: World, n: int) -> World:
        fence = world.claims[n]
        assert fence is not None
        highest, owner = world.register
        mine = f"c{n}.{world.candidates[n][0]}"
        if fence > highest or (fence == highest and (owner == mine or not self.rules.owners)):
            return self._claimed(replace(world, register=(fence, mine)), n)
        boot, old = world.candidates[n]
        candidate = clone(old)
        out = candidate.handle_low_fence(self.clock(world, 3 + n), fence, highest)
        world = replace(
            world, claims=put(world.claims, n, None), candidates=put(world.candidates, n, (boot, candidate))
        )
        return self._done(world, n, out)

    def _claimed(self, world: World, n: int) -> World:
        fence, (boot, old) = world.claims[n], world.candidates[n]
        assert fence is not None
        candidate = clone(old)
        out = candidate.handle_claimed(self.clock(world, 3 + n), fence)
        world = replace(
            world, claims=put(world.claims, n, None), candidates=put(world.candidates, n, (boot, candidate))
        )
        return self._done(world, n, out)

    def _act(self, world: World, n: int) -> World:
        fence = world.checked[n]
        assert fence is not None
        world = replace(world, checked=put(world.checked, n, None))
        if fence != world.register[0] and self.rules.fences:
            return world  # refused
        if fence < world.acted:
            raise Broken(f"an act of c{n} under fence {fence} was taken up after one under {world.acted}")
        return replace(world, acted=fence)

    def _restart(self, world: World, n: int) -> World:
        boot = world.voters[n][0] + 1
        if self.rules.boots:  # what was meant for the process before is dropped
            flying = tuple(p for p in world.flying if p[2] != self.names[n])
            world = replace(world, flying=flying)
        voter = self.rules.voter(self.times, self.clock(world, n))
        return replace(world, voters=put(world.voters, n, (boot, voter)), restarts=world.restarts + 1)

    def _wipe(self, world: World) -> World:
        for n in range(len(self.names)):
            world = self._restart(world, n)
        return replace(world, restarts=world.restarts - len(self.names), wipes=world.wipes + 1)

    def _reboot(self, world: World, n: int) -> World:
        """Danger: an act that was on its way from the process before goes on; nothing else of it is left."""
        boot = world.candidates[n][0] + 1
        fresh = self._candidate(n, boot)
        fresh.due_at = self.clock(world, 3 + n)
        candidates = put(world.candidates, n, (boot, fresh))
        return replace(
            world, candidates=candidates, claims=put(world.claims, n, None), reboots=world.reboots + 1
        )

    def _fly(self, world: World, packets: list[Packet]) -> World:
        """Danger: before those that wait already, so that an answer comes at once like all else."""
        return replace(world, sent=(*packets, *world.sent))

    # ---- what must hold ----

    def look(self, world: World) -> None:
        holders = [n for n, (_, c) in enumerate(world.candidates) if c.is_held(self.clock(world, 3 + n))]
        if len(holders) > 1:
            raise Broken("both candidates believe that they hold the duty")

    def key(self, world: World) -> int:
        """What tells worlds apart, for all that may still come. Where voters change places, it is the same.

        Where clocks differ the voters do too, and keep their places.
        """
        marks = [self._mark(world, n) for n in range(len(self.names))]
        if len(set(self.rates[:3])) == 1:
            marks.sort()
        return hash(
            (
                world.now,
                tuple(marks),
                tuple((boot, *candidate_key(c)) for boot, c in world.candidates),
                (world.claims, world.checked, world.register, world.acted, world.begun),
                (world.restarts, world.reboots, world.repeats, world.late, world.lost, world.wipes),
            )
        )

    def _mark(self, world: World, n: int) -> tuple[Any, ...]:
        """All that concerns one voter, without its name."""
        name, (boot, voter) = self.names[n], world.voters[n]
        of = tuple(
            (
                name in c.promised_by,
                name in c.rejected_by,
                tuple(name in a.granted_by for a in c.pending_accepts),
            )
            for _, c in world.candidates
        )
        there = tuple(sorted(hash((p[0], p[1], p[3], p[4])) for p in world.flying if p[2] == name))
        back = tuple(sorted(hash((p[2], p[3], p[1], p[4])) for p in world.flying if p[0] == name))
        now = tuple(hash((p[0] == name, p[1], p[3], p[4])) for p in world.sent if name in (p[0], p[2]))
        return hash((boot, voter_key(voter, self.clock(world, n)))), of, there, back, now

    # ---- exploring ----

    def explore(self, most: int, depth_first: bool = False) -> tuple[int, int, bool]:
        """Every history within the limits, each state once; gives states, depth, and whether that was all.

        Raises Broken with the steps that led there.
        """
        first = self.start()
        seen: dict[int, tuple[int | None, str]] = {self.key(first): (None, "the start")}
        todo: deque[tuple[World, Any, int]] = deque([(first, self.key(first), 0)])
        deepest = 0
        while todo:
            world, at, depth = todo.pop() if depth_first else todo.popleft()
            deepest = max(deepest, depth)
            words = ""
            try:
                for _, words, act in self.steps(world):
                    after = act()
                    key = self.key(after)
                    if key in seen:
                        continue
                    seen[key] = (at, words)
                    self.look(after)
                    if len(seen) >= most:
                        return len(seen), deepest, False
                    todo.append((after, key, depth + 1))
            except Broken as broken:
                raise Broken(f"{broken}: " + " | ".join(self._path(seen, at))) from None
        return len(seen), deepest, True

    def _path(self, seen: dict[int, tuple[int | None, str]], at: int | None) -> list[str]:
        words: list[str] = []
        while at is not None:
            at, step = seen[at]
            words.append(step)
        return words[::-1]

    def walk(self, rng: random.Random, steps: int) -> int:
        """One history by chance, of so many steps at most. Raises Broken with what led there."""
        self.loss = rng.choice((0.02, 0.2, 0.6))
        world, path = self.start(), list[str]()
        for number in range(steps):
            choices = list(self.steps(world))
            if not choices:
                return number
            _, words, act = rng.choices(choices, [weight for weight, _, _ in choices])[0]
            path.append(words)
            try:
                world = act()
                self.look(world)
            except Broken as broken:
                raise Broken(f"{broken}: " + " | ".join(path)) from None
        return steps


def arrival(packet: Packet, how: str = "") -> str:
    return sys.intern(f"{type(packet[4]).__name__} of {packet[0]} arrives at {packet[2]} {how}".rstrip())


def put(row: tuple[Any, ...], n: int, value: Any) -> tuple[Any, ...]:
    return (*row[:n], value, *row[n + 1 :])


def clone(machine: Any) -> Any:
    new = object.__new__(type(machine))
    new.__dict__.update(machine.__dict__)
    if isinstance(machine, Voter):
        new.duty_states = {name: dataclasses.replace(state) for name, state in machine.duty_states.items()}
    return new


def voter_key(voter: Voter, now: float) -> tuple[Any, ...]:
    state = voter.duty_states.get(DUTY)
    silent = max(0.0, voter.voting_starts_at() - now)
    if state is None:
        return (silent,)
    running = state.granted_until > now
    return (
        silent,
        state.promised_ballot,
        state.granted_ballot if running else NO_BALLOT,
        state.granted_until if running else 0.0,
    )


def candidate_key(c: Candidate) -> tuple[Any, ...]:
    asks = tuple((a.number, a.sent_at) for a in c.pending_accepts)
    counts = (len(c.promised_by), len(c.rejected_by), c.last_request_number, c.failed_tries, c.retry_delay_ms)
    return (c.state, c.ballot, c.highest_round, c.due_at, c.held_until, c.claim_deadline, asks, counts)
