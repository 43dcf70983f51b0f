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

CLAIM_RETRY_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.05  # between two looks whether a holding has ended
HAND_OVER_TIMEOUT_S = 5.0  # that a planned hand-over waits for the round of work that is under way

log = structlog.get_logger("roadpulley.fleet.duties")


@dataclass
class LocalDuty:
    """One duty at this instance, held or not."""

    settings: DutySettings
    candidate: Candidate
    work: Work
    held_duty: HeldDuty | None = None
    task: asyncio.Task[None] | None = None
    held_since: MonotonicTime = 0.0
    act_count: int = 0
    end_reason: str = ""  # how the last holding ended, or why work failed
    better_since: MonotonicTime = math.inf  # since when another instance should have it
    handed_over_at: MonotonicTime = -math.inf  # when it was handed over
    is_handing_over: bool = False
    run_requested: bool = False  # the next round is wanted now


@dataclass
class DutyManager:
    """`ask` sends a question to a voter, `offer` tells another instance that a duty is free,
    and under which fence it was held last."""

    settings: FleetSettings
    process_id: ProcessId
    clock: Clock
    works: Mapping[str, Work]
    send_request: Callable[[str, VoterRequest], None]
    send_offer: Callable[[ProcessId, str, int], None]
    on_due_change: Callable[[], None]  # a timer is to be set anew
    executor: Executor
    rng: random.Random
    voter_config: VoterConfig
    is_change_requested: Callable[[], bool]  # whether the voters are to be changed from here
    before_hand_over: Callable[[str, ProcessId], Awaitable[None]] | None = (
        None  # what the next holder is told before
    )
    fence_store: FenceStore | None = None  # of one that may vote; None: nobody would find it
    voter: Voter | None = None  # also of who is no voter yet: once it is one, it need not keep silent first
    local_duties: dict[str, LocalDuty] = field(default_factory=dict)
    rankings: dict[str, list[ProcessId]] = field(default_factory=dict)
    is_leaving: bool = False
    next_hand_over_at: MonotonicTime = 0.0

    def __post_init__(self) -> None:
        for name, work in self.works.items():
            self.add_duty(self.settings.duties[name], work)

    def add_duty(self, settings: DutySettings, work: Work) -> None:
        voters = frozenset(self.voter_config.voters)
        candidate = Candidate(
            settings.name, self.process_id, voters, self.settings.times, self.rng.random, self.voter_config.id
        )
        self.local_duties[settings.name] = LocalDuty(settings, candidate, work)

    def adopt_voter_config(self, voter_config: VoterConfig) -> None:
        """Other voters count from now on. What is held stays held, and is renewed by them."""
        self.voter_config = voter_config
        if self.voter is not None:
            self.voter.config_id = voter_config.id
        for local_duty in self.local_duties.values():
            candidate = local_duty.candidate
            self.apply_actions(
                local_duty,
                candidate.set_voters(self.clock.now(), voter_config.id, frozenset(voter_config.voters)),
            )

    # ---- the vote ----

    def start_voting(self, now: MonotonicTime) -> None:
        """Begin to vote, with nothing in memory but which fences may have been used."""
        assert self.fence_store is not None
        self.voter = Voter(self.settings.times, now, self.fence_store.floor, self.voter_config.id)

    def handle_voter_request(self, request: VoterRequest) -> VoterResponse | None:
        if self.voter is None or self.fence_store is None:
            return None
        if isinstance(request, Prepare | Accept):
            try:
                self._reserve_fences(request.ballot.round)
            except OSError as error:
                log.error("no vote: its memory cannot be written", why=str(error))
                return None
        return self.voter.handle_request(self.clock.now(), request)

    def _reserve_fences(self, number: int) -> None:
        assert self.fence_store is not None and self.voter is not None
        if self.fence_store.reserved_until <= number <= self.voter.max_allowed_round():
            self.fence_store.reserve(number)

    # ---- candidates ----

    def handle_voter_response(self, voter: str, answer: VoterResponse) -> None:
        if local_duty := self.local_duties.get(answer.duty):
            self.apply_actions(
                local_duty, local_duty.candidate.handle_response(self.clock.now(), voter, answer)
            )

    def handle_offer(self, name: str, rank: int, fence: int) -> None:
        """Another instance has let go of it."""
        if (local_duty := self.local_duties.get(name)) and not self.is_leaving:
            # Danger: a try under a number that was used is refused, and while it waits the one that let go of
            # it takes it again.
            local_duty.candidate.observe_round(fence)
            local_duty.candidate.stop_trying()  # what it waited for is over
            local_duty.candidate.schedule_try(self.clock.now(), rank * RANK_DELAY_S)
            self.on_due_change()

    def tick(self) -> None:
        now = self.clock.now()
        for local_duty in self.local_duties.values():
            if now >= local_duty.candidate.next_tick_at():
                self.apply_actions(local_duty, local_duty.candidate.tick(now))

    def next_due_at(self) -> MonotonicTime:
        return min((h.candidate.next_tick_at() for h in self.local_duties.values()), default=NO_DEADLINE)

    def update_assignments(self, members: list[Member], bits: Mapping[str, int]) -> None:
        """Who tries to take what, by the members that are seen; and what should go to another instance."""
        now, names = self.clock.now(), list(bits)
        able = {n: [m.process for m in members if m.duty_bits >> bits[n] & 1] for n in names}
        self.rankings = assign_candidates(able, {n: self.settings.duties[n].prefer for n in names})
        for name, local_duty in self.local_duties.items():
            if name == VOTERS_DUTY:
                if (
                    self.is_change_requested()
                    and local_duty.candidate.due_at == NO_DEADLINE
                    and not self.is_leaving
                ):
                    local_duty.candidate.schedule_try(now, 0.0)
                continue  # taken only by who has something to change
            order, candidate = self.rankings.get(name, []), local_duty.candidate
            rank = order.index(self.process_id) if self.process_id in order else len(order)
            if self.is_leaving or rank >= MAX_ACTIVE_CANDIDATES:
                candidate.stop_trying()
            elif candidate.due_at == NO_DEADLINE:
                # Danger: who has just handed it over may be the first choice still, and would take it back.
                others_first = (
                    MAX_ACTIVE_CANDIDATES
                    if now - local_duty.handed_over_at < self.settings.times.lease
                    else 0
                )
                candidate.schedule_try(now, (rank + others_first) * RANK_DELAY_S)
            else:
                candidate.priority_delay_s = rank * RANK_DELAY_S
        self._rebalance(now)
        self.on_due_change()

    def _rebalance(self, now: MonotonicTime) -> None:
        """Hand over what another should have, one at a time, once that has stood for a while."""
        held = [h for name, h in self.local_duties.items() if h.held_duty is not None and name != VOTERS_DUTY]
        for local_duty in held:
            name, order = local_duty.settings.name, self.rankings.get(local_duty.settings.name, [])
            mine = self._count_first_choices(self.process_id)
            is_change_requested = order and order[0].name in local_duty.settings.prefer
            if order and order[0] != self.process_id and (is_change_requested or len(held) > mine):
                local_duty.better_since = min(local_duty.better_since, now)
            else:
                local_duty.better_since = math.inf
            due = max(local_duty.better_since + self.settings.hand_over_delay_s, self.next_hand_over_at)
            if now >= due and not local_duty.is_handing_over:
                # Danger: all at once, as soon as a member shows, would make a bad link a storm of hand-overs.
                self.next_hand_over_at = now + min(2.0, self.settings.hand_over_delay_s)
                local_duty.better_since = math.inf
                self.hand_over(name, f"{order[0].name} should have it")

    def _count_first_choices(self, who: ProcessId) -> int:
        return sum(1 for order in self.rankings.values() if order and order[0] == who)

    # ---- actions ----

    def apply_actions(self, local_duty: LocalDuty, actions: list[Action]) -> None:
        name = local_duty.settings.name
        for action in actions:
            match action:
                case SendMessage(voter, message):
                    self.send_request(voter, message)
                case ClaimRegisters(_, fence):
                    self._start_holding(local_duty, fence)
                case HoldingStarted(_, fence):
                    local_duty.held_since = self.clock.now()
                    self._log_holding("holds", local_duty, fence)
                case HoldingRenewed(_, fence, until):
                    log.debug(
                        "renews",
                        duty=name,
                        fence=fence,
                        boot=self.process_id.boot,
                        until=until / self.clock.rate,
                    )
                case HoldingEnded(_, fence, why):
                    self._end_holding(local_duty, fence, why)
        self.on_due_change()

    def _start_holding(self, local_duty: LocalDuty, fence: int) -> None:
        candidate = local_duty.candidate
        self._log_holding("takes", local_duty, fence)
        local_duty.is_handing_over = False
        duty = HeldDuty(
            candidate.duty,
            fence,
            lambda: candidate.held_until if candidate.state is State.HOLDING else -math.inf,
            self.clock.now,
        )
        local_duty.held_duty, before = duty, local_duty.task
        local_duty.task = asyncio.get_running_loop().create_task(self._serve(local_duty, duty, before))

    def _end_holding(self, local_duty: LocalDuty, fence: int, why: str) -> None:
        if local_duty.held_duty is not None:
            local_duty.held_duty.ended.set()
            local_duty.held_duty = None
        local_duty.end_reason = why
        self._log_holding("stops", local_duty, fence, why=why)

    def _log_holding(self, event: str, local_duty: LocalDuty, fence: int, **more: Any) -> None:
        log.info(event, duty=local_duty.settings.name, fence=fence, boot=self.process_id.boot, **more)

    # ---- the work ----

    async def _serve(self, local_duty: LocalDuty, duty: HeldDuty, before: asyncio.Task[None] | None) -> None:
        """One holding: claim it at its registers, then its rounds, until it ends."""
        if before is not None:
            await asyncio.wait({before})  # one round at a time: the last may still be under way
        candidate, fence = local_duty.candidate, duty.fence
        try:
            if not await self._claim_registers(local_duty, duty):
                return
            self.apply_actions(local_duty, candidate.handle_claimed(self.clock.now(), fence))
            while not duty.ended.is_set():
                wait = await self._run_in_thread(local_duty.work.act, duty)
                local_duty.act_count += 1
                await self._wait_for_next_round(
                    local_duty, duty, local_duty.settings.every_s if wait is None else wait
                )
        except StaleFenceError as low:
            if not duty.ended.is_set():
                self.apply_actions(
                    local_duty, candidate.handle_low_fence(self.clock.now(), fence, low.highest)
                )
        except WorkCompleted as done:
            if not duty.ended.is_set():
                self.apply_actions(local_duty, candidate.release(self.clock.now(), str(done)))
        except Exception as error:  # whatever it is: the duty is not done here, and the next one should try
            if not isinstance(error, WorkError):
                log.exception("work broke", duty=duty.name, fence=fence)
            if not duty.ended.is_set():
                self.apply_actions(
                    local_duty, candidate.release(self.clock.now(), f"its work failed: {error}", failed=True)
                )

    async def _claim_registers(self, local_duty: LocalDuty, duty: HeldDuty) -> bool:
        owner = f"{self.process_id.name}.{self.process_id.boot}"
        while not duty.ended.is_set():
            try:
                highest = await self._run_in_thread(local_duty.work.claim, duty.fence, owner)
            except WorkError as error:
                log.warning("a register is out of reach", duty=duty.name, fence=duty.fence, why=str(error))
                await self._wait_for_next_round(local_duty, duty, CLAIM_RETRY_INTERVAL_S)
                continue
            if highest is None:
                return not duty.ended.is_set()
            raise StaleFenceError(highest)
        return False

    async def _run_in_thread(self, call: Callable[..., Any], *args: Any) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self.executor, call, *args)

    async def _wait_for_next_round(self, local_duty: LocalDuty, duty: HeldDuty, seconds: float) -> None:
        """Until the next round, or the end of the holding, or somebody asks for a round."""
        end = self.clock.now() + seconds
        while (
            not duty.ended.is_set() and not local_duty.run_requested and (left := end - self.clock.now()) > 0
        ):
            await asyncio.sleep(min(left, POLL_INTERVAL_S))
        local_duty.run_requested = False

    def run_now(self, name: str) -> dict[str, Any]:
        """Begin the next round at once, if it is held here; else tell who was heard to hold it."""
        local_duty = self.local_duties.get(name)
        held = local_duty is not None and local_duty.held_duty is not None
        if local_duty is not None:
            local_duty.run_requested = held
        return {
            "done": held,
            "duty": name,
            "holder": local_duty.candidate.known_holder.name if local_duty else "",
        }

    # ---- hand-over ----

    def hand_over(self, name: str, why: str) -> bool:
        """Let another have it, once the round that is under way has ended. Gives whether it is held here."""
        local_duty = self.local_duties.get(name)
        if local_duty is None or local_duty.held_duty is None or local_duty.is_handing_over:
            return False
        local_duty.is_handing_over = True
        asyncio.get_running_loop().create_task(self._hand_over(local_duty, local_duty.held_duty, why))
        return True

    async def _hand_over(self, local_duty: LocalDuty, duty: HeldDuty, why: str) -> None:
        name, task = local_duty.settings.name, local_duty.task
        others = [who for who in self.rankings.get(name, []) if who != self.process_id][
            :MAX_ACTIVE_CANDIDATES
        ]
        if others and self.before_hand_over is not None:
            await self.before_hand_over(name, others[0])
        duty.ended.set()  # no further round begins
        if task is not None:
            await asyncio.wait({task}, timeout=HAND_OVER_TIMEOUT_S)
        if local_duty.held_duty is not duty:
            return  # it ended by itself meanwhile
        local_duty.handed_over_at = self.clock.now()
        self.apply_actions(
            local_duty, local_duty.candidate.release(local_duty.handed_over_at, f"handed over: {why}")
        )
        for who in others:
            self.send_offer(who, name, duty.fence)

    async def hand_over_all(self) -> None:
        """SIGTERM, drain, upgrade: all that is held goes to others, now."""
        self.is_leaving = True
        for local_duty in self.local_duties.values():
            local_duty.candidate.stop_trying()
        tasks = [
            asyncio.ensure_future(self._hand_over(h, h.held_duty, "this instance ends"))
            for h in self.local_duties.values()
            if h.held_duty is not None
        ]
        if tasks:
            await asyncio.wait(tasks)
