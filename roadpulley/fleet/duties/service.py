"""The shell of the duties at one instance: its vote, its candidates, and the work of what it holds."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass, field
from typing import Any

import structlog

from roadpulley.fleet.clock import Clock
from roadpulley.fleet.members.messages import Claim as Member
from roadpulley.fleet.settings import DutySettings, FleetSettings

from .assignment import MAX_ACTIVE_CANDIDATES, RANK_DELAY_S, assign_candidates
from .candidate import (
    NO_DEADLINE,
    Action,
    Candidate,
    ClaimRegisters,
    HoldingEnded,
    HoldingRenewed,
    HoldingStarted,
    SendMessage,
    State,
)
from .fence_store import FenceStore
from .terms import Accept, MonotonicTime, Prepare, ProcessId, VoterRequest, VoterResponse
from .voter import Voter
from .voter_config import VOTERS_DUTY, VoterConfig
from .work import HeldDuty, StaleFenceError, Work, WorkCompleted, WorkError

CLAIM_AGAIN_S = 0.2
LOOK_S = 0.05  # between two looks whether a holding has ended
LAST_ROUND_S = 5.0  # that a planned hand-over waits for the round of work that is under way

log = structlog.get_logger("roadpulley.fleet.duties")


@dataclass
class Holding:
    """One duty at this instance, held or not."""

    settings: DutySettings
    candidate: Candidate
    work: Work
    duty: HeldDuty | None = None
    task: asyncio.Task[None] | None = None
    began: MonotonicTime = 0.0
    acts: int = 0
    last: str = ""  # how the last holding ended, or why work failed
    better: MonotonicTime = math.inf  # since when another instance should have it
    let_go: MonotonicTime = -math.inf  # when it was handed over
    leaving: bool = False
    hurry: bool = False  # the next round is wanted now


@dataclass
class Duties:
    """`ask` sends a question to a voter, `offer` tells another instance that a duty is free,
    and under which fence it was held last."""

    settings: FleetSettings
    me: ProcessId
    clock: Clock
    works: Mapping[str, Work]
    ask: Callable[[str, VoterRequest], None]
    offer: Callable[[ProcessId, str, int], None]
    changed: Callable[[], None]  # a timer is to be set anew
    executor: Executor
    rng: random.Random
    voter_config: VoterConfig
    wished: Callable[[], bool]  # whether the voters are to be changed from here
    handing: Callable[[str, ProcessId], Awaitable[None]] | None = None  # what the next holder is told before
    fence_store: FenceStore | None = None  # of one that may vote; None: nobody would find it
    voter: Voter | None = None  # also of who is no voter yet: once it is one, it need not keep silent first
    holdings: dict[str, Holding] = field(default_factory=dict)
    orders: dict[str, list[ProcessId]] = field(default_factory=dict)
    leaving: bool = False
    next_hand_over: MonotonicTime = 0.0

    def __post_init__(self) -> None:
        for name, work in self.works.items():
            self.add(self.settings.duties[name], work)

    def add(self, settings: DutySettings, work: Work) -> None:
        voters = frozenset(self.voter_config.voters)
        candidate = Candidate(
            settings.name, self.me, voters, self.settings.times, self.rng.random, self.voter_config.id
        )
        self.holdings[settings.name] = Holding(settings, candidate, work)

    def adopt_voter_config(self, voter_config: VoterConfig) -> None:
        """Other voters count from now on. What is held stays held, and is renewed by them."""
        self.voter_config = voter_config
        if self.voter is not None:
            self.voter.config_id = voter_config.id
        for holding in self.holdings.values():
            candidate = holding.candidate
            self.do(
                holding,
                candidate.set_voters(self.clock.now(), voter_config.id, frozenset(voter_config.voters)),
            )

    # ---- the vote ----

    def vote(self, now: MonotonicTime) -> None:
        """Begin to vote, with nothing in memory but which fences may have been used."""
        assert self.fence_store is not None
        self.voter = Voter(self.settings.times, now, self.fence_store.floor, self.voter_config.id)

    def asked(self, question: VoterRequest) -> VoterResponse | None:
        if self.voter is None or self.fence_store is None:
            return None
        if isinstance(question, Prepare | Accept):
            try:
                self._reserve(question.ballot.round)
            except OSError as error:
                log.error("no vote: its memory cannot be written", why=str(error))
                return None
        return self.voter.handle_request(self.clock.now(), question)

    def _reserve(self, number: int) -> None:
        assert self.fence_store is not None and self.voter is not None
        if self.fence_store.reserved_until <= number <= self.voter.max_allowed_round():
            self.fence_store.reserve(number)

    # ---- candidates ----

    def answered(self, voter: str, answer: VoterResponse) -> None:
        if holding := self.holdings.get(answer.duty):
            self.do(holding, holding.candidate.handle_response(self.clock.now(), voter, answer))

    def offered(self, name: str, rank: int, fence: int) -> None:
        """Another instance has let go of it."""
        if (holding := self.holdings.get(name)) and not self.leaving:
            # Danger: a try under a number that was used is refused, and while it waits the one that let go of
            # it takes it again.
            holding.candidate.observe_round(fence)
            holding.candidate.stop_trying()  # what it waited for is over
            holding.candidate.schedule_try(self.clock.now(), rank * RANK_DELAY_S)
            self.changed()

    def tick(self) -> None:
        now = self.clock.now()
        for holding in self.holdings.values():
            if now >= holding.candidate.next_tick_at():
                self.do(holding, holding.candidate.tick(now))

    def next_at(self) -> MonotonicTime:
        return min((h.candidate.next_tick_at() for h in self.holdings.values()), default=NO_DEADLINE)

    def arrange(self, members: list[Member], bits: Mapping[str, int]) -> None:
        """Who tries to take what, by the members that are seen; and what should go to another instance."""
        now, names = self.clock.now(), list(bits)
        able = {n: [m.process for m in members if m.duty_bits >> bits[n] & 1] for n in names}
        self.orders = assign_candidates(able, {n: self.settings.duties[n].prefer for n in names})
        for name, holding in self.holdings.items():
            if name == VOTERS_DUTY:
                if self.wished() and holding.candidate.due_at == NO_DEADLINE and not self.leaving:
                    holding.candidate.schedule_try(now, 0.0)
                continue  # taken only by who has something to change
            order, candidate = self.orders.get(name, []), holding.candidate
            rank = order.index(self.me) if self.me in order else len(order)
            if self.leaving or rank >= MAX_ACTIVE_CANDIDATES:
                candidate.stop_trying()
            elif candidate.due_at == NO_DEADLINE:
                # Danger: who has just handed it over may be the first choice still, and would take it back.
                others_first = (
                    MAX_ACTIVE_CANDIDATES if now - holding.let_go < self.settings.times.lease else 0
                )
                candidate.schedule_try(now, (rank + others_first) * RANK_DELAY_S)
            else:
                candidate.priority_delay_s = rank * RANK_DELAY_S
        self._even_out(now)
        self.changed()

    def _even_out(self, now: MonotonicTime) -> None:
        """Hand over what another should have, one at a time, once that has stood for a while."""
        held = [h for name, h in self.holdings.items() if h.duty is not None and name != VOTERS_DUTY]
        for holding in held:
            name, order = holding.settings.name, self.orders.get(holding.settings.name, [])
            mine = self._part(self.me)
            wished = order and order[0].name in holding.settings.prefer
            if order and order[0] != self.me and (wished or len(held) > mine):
                holding.better = min(holding.better, now)
            else:
                holding.better = math.inf
            due = max(holding.better + self.settings.settle_s, self.next_hand_over)
            if now >= due and not holding.leaving:
                # Danger: all at once, as soon as a member shows, would make a bad link a storm of hand-overs.
                self.next_hand_over = now + min(2.0, self.settings.settle_s)
                holding.better = math.inf
                self.hand_over(name, f"{order[0].name} should have it")

    def _part(self, who: ProcessId) -> int:
        return sum(1 for order in self.orders.values() if order and order[0] == who)

    # ---- actions ----

    def do(self, holding: Holding, actions: list[Action]) -> None:
        name = holding.settings.name
        for action in actions:
            match action:
                case SendMessage(voter, message):
                    self.ask(voter, message)
                case ClaimRegisters(_, fence):
                    self._take(holding, fence)
                case HoldingStarted(_, fence):
                    holding.began = self.clock.now()
                    self._say("holds", holding, fence)
                case HoldingRenewed(_, fence, until):
                    log.debug(
                        "renews", duty=name, fence=fence, boot=self.me.boot, until=until / self.clock.rate
                    )
                case HoldingEnded(_, fence, why):
                    self._stop(holding, fence, why)
        self.changed()

    def _take(self, holding: Holding, fence: int) -> None:
        candidate = holding.candidate
        self._say("takes", holding, fence)
        holding.leaving = False
        duty = HeldDuty(
            candidate.duty,
            fence,
            lambda: candidate.held_until if candidate.state is State.HOLDING else -math.inf,
            self.clock.now,
        )
        holding.duty, before = duty, holding.task
        holding.task = asyncio.get_running_loop().create_task(self._serve(holding, duty, before))

    def _stop(self, holding: Holding, fence: int, why: str) -> None:
        if holding.duty is not None:
            holding.duty.ended.set()
            holding.duty = None
        holding.last = why
        self._say("stops", holding, fence, why=why)

    def _say(self, event: str, holding: Holding, fence: int, **more: Any) -> None:
        log.info(event, duty=holding.settings.name, fence=fence, boot=self.me.boot, **more)

    # ---- the work ----

    async def _serve(self, holding: Holding, duty: HeldDuty, before: asyncio.Task[None] | None) -> None:
        """One holding: claim it at its registers, then its rounds, until it ends."""
        if before is not None:
            await asyncio.wait({before})  # one round at a time: the last may still be under way
        candidate, fence = holding.candidate, duty.fence
        try:
            if not await self._claim(holding, duty):
                return
            self.do(holding, candidate.handle_claimed(self.clock.now(), fence))
            while not duty.ended.is_set():
                wait = await self._threaded(holding.work.act, duty)
                holding.acts += 1
                await self._pause(holding, duty, holding.settings.every_s if wait is None else wait)
        except StaleFenceError as low:
            if not duty.ended.is_set():
                self.do(holding, candidate.handle_low_fence(self.clock.now(), fence, low.highest))
        except WorkCompleted as done:
            if not duty.ended.is_set():
                self.do(holding, candidate.release(self.clock.now(), str(done)))
        except Exception as error:  # whatever it is: the duty is not done here, and the next one should try
            if not isinstance(error, WorkError):
                log.exception("work broke", duty=duty.name, fence=fence)
            if not duty.ended.is_set():
                self.do(
                    holding, candidate.release(self.clock.now(), f"its work failed: {error}", failed=True)
                )

    async def _claim(self, holding: Holding, duty: HeldDuty) -> bool:
        owner = f"{self.me.name}.{self.me.boot}"
        while not duty.ended.is_set():
            try:
                highest = await self._threaded(holding.work.claim, duty.fence, owner)
            except WorkError as error:
                log.warning("a register is out of reach", duty=duty.name, fence=duty.fence, why=str(error))
                await self._pause(holding, duty, CLAIM_AGAIN_S)
                continue
            if highest is None:
                return not duty.ended.is_set()
            raise StaleFenceError(highest)
        return False

    async def _threaded(self, call: Callable[..., Any], *args: Any) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self.executor, call, *args)

    async def _pause(self, holding: Holding, duty: HeldDuty, seconds: float) -> None:
        """Until the next round, or the end of the holding, or somebody asks for a round."""
        end = self.clock.now() + seconds
        while not duty.ended.is_set() and not holding.hurry and (left := end - self.clock.now()) > 0:
            await asyncio.sleep(min(left, LOOK_S))
        holding.hurry = False

    def run_now(self, name: str) -> dict[str, Any]:
        """Begin the next round at once, if it is held here; else tell who was heard to hold it."""
        holding = self.holdings.get(name)
        held = holding is not None and holding.duty is not None
        if holding is not None:
            holding.hurry = held
        return {"done": held, "duty": name, "holder": holding.candidate.known_holder.name if holding else ""}

    # ---- hand-over ----

    def hand_over(self, name: str, why: str) -> bool:
        """Let another have it, once the round that is under way has ended. Gives whether it is held here."""
        holding = self.holdings.get(name)
        if holding is None or holding.duty is None or holding.leaving:
            return False
        holding.leaving = True
        asyncio.get_running_loop().create_task(self._hand_over(holding, holding.duty, why))
        return True

    async def _hand_over(self, holding: Holding, duty: HeldDuty, why: str) -> None:
        name, task = holding.settings.name, holding.task
        others = [who for who in self.orders.get(name, []) if who != self.me][:MAX_ACTIVE_CANDIDATES]
        if others and self.handing is not None:
            await self.handing(name, others[0])
        duty.ended.set()  # no further round begins
        if task is not None:
            await asyncio.wait({task}, timeout=LAST_ROUND_S)
        if holding.duty is not duty:
            return  # it ended by itself meanwhile
        holding.let_go = self.clock.now()
        self.do(holding, holding.candidate.release(holding.let_go, f"handed over: {why}"))
        for who in others:
            self.offer(who, name, duty.fence)

    async def leave(self) -> None:
        """SIGTERM, drain, upgrade: all that is held goes to others, now."""
        self.leaving = True
        for holding in self.holdings.values():
            holding.candidate.stop_trying()
        tasks = [
            asyncio.ensure_future(self._hand_over(h, h.duty, "this instance ends"))
            for h in self.holdings.values()
            if h.duty is not None
        ]
        if tasks:
            await asyncio.wait(tasks)
