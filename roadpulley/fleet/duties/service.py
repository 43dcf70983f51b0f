"""Runs the duties of one instance: its voter, its candidates, and the work of the duties that it holds."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass, field
from typing import Any

import structlog

from roadpulley.fleet.clock import Clock
from roadpulley.fleet.members.messages import Claim
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
POLL_INTERVAL_S = 0.05  # between checks whether a holding has ended
HAND_OVER_TIMEOUT_S = 5.0  # a planned hand-over waits this long for the current round

log = structlog.get_logger("roadpulley.fleet.duties")


@dataclass
class LocalDuty:
    """One duty that this instance may hold, and its current holding, if any."""

    settings: DutySettings
    candidate: Candidate
    work: Work
    held_duty: HeldDuty | None = None
    task: asyncio.Task[None] | None = None
    held_since: MonotonicTime = 0.0
    act_count: int = 0
    end_reason: str = ""  # why the last holding ended, for operators
    better_since: MonotonicTime = math.inf  # since when another instance is the better holder
    handed_over_at: MonotonicTime = -math.inf  # when this instance last handed it over
    is_handing_over: bool = False
    run_requested: bool = False  # the next round begins now


@dataclass
class DutyManager:
    """The voter, the candidates and the holdings of one process.

    `send_request` sends a request to a voter. `send_offer` tells another process that a duty is free: with
    its rank among those that are told, and the fence under which the duty was held last.
    """

    settings: FleetSettings
    process_id: ProcessId
    clock: Clock
    works: Mapping[str, Work]
    send_request: Callable[[str, VoterRequest], None]
    send_offer: Callable[[ProcessId, str, int, int], None]
    on_due_change: Callable[[], None]  # called when `next_due_at` may have changed
    executor: Executor
    rng: random.Random
    voter_config: VoterConfig
    is_change_requested: Callable[[], bool]  # whether an operator asked this instance to change the voters
    # Called before a duty is released, with the processes that may acquire it, the first candidate first.
    before_hand_over: Callable[[str, Sequence[ProcessId]], Awaitable[None]] | None = None
    fence_store: FenceStore | None = None  # None: this process doesn't vote
    # Also set at an instance that is no voter yet: after its addition it need not wait out the silence.
    voter: Voter | None = None
    local_duties: dict[str, LocalDuty] = field(default_factory=dict)
    rankings: dict[str, list[ProcessId]] = field(default_factory=dict)
    is_leaving: bool = False
    next_hand_over_at: MonotonicTime = 0.0

    def __post_init__(self) -> None:
        for name, work in self.works.items():
            self.add_duty(self.settings.duties[name], work)

    def add_duty(self, settings: DutySettings, work: Work) -> None:
        """Adds a duty that this instance may hold."""
        voters = frozenset(self.voter_config.voters)
        candidate = Candidate(
            settings.name, self.process_id, voters, self.settings.times, self.rng.random, self.voter_config.id
        )
        self.local_duties[settings.name] = LocalDuty(settings, candidate, work)

    def adopt_voter_config(self, voter_config: VoterConfig) -> None:
        """Uses another voter configuration. Holdings continue, and the new voters renew them."""
        self.voter_config = voter_config
        if self.voter is not None:
            self.voter.config_id = voter_config.id
        for local_duty in self.local_duties.values():
            candidate = local_duty.candidate
            self.apply_actions(
                local_duty,
                candidate.set_voters(self.clock.now(), voter_config.id, frozenset(voter_config.voters)),
            )

    # ---- voting ----

    def start_voting(self, now: MonotonicTime) -> None:
        """Starts a voter without any state but the fences that may have been used."""
        assert self.fence_store is not None
        self.voter = Voter(self.settings.times, now, self.fence_store.floor, self.voter_config.id)

    def handle_voter_request(self, request: VoterRequest) -> VoterResponse | None:
        """The response of the own voter; None: no response is sent."""
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

    def handle_voter_response(self, voter: str, response: VoterResponse) -> None:
        """Passes a voter's response to the candidate that it is for."""
        if local_duty := self.local_duties.get(response.duty):
            self.apply_actions(
                local_duty, local_duty.candidate.handle_response(self.clock.now(), voter, response)
            )

    def handle_offer(self, name: str, rank: int, fence: int) -> None:
        """Tries to acquire a duty that another instance has released; `rank`: place among those notified."""
        if (local_duty := self.local_duties.get(name)) and not self.is_leaving:
            # An attempt with a round that was used before is rejected, and during its backoff the instance
            # that released the duty would acquire it again.
            local_duty.candidate.observe_round(fence)
            local_duty.candidate.stop_trying()  # cancels the scheduled attempt, which may be later
            local_duty.candidate.schedule_try(self.clock.now(), rank * RANK_DELAY_S)
            self.on_due_change()

    def tick(self) -> None:
        """Runs the candidates whose time has come."""
        now = self.clock.now()
        for local_duty in self.local_duties.values():
            if now >= local_duty.candidate.next_tick_at():
                self.apply_actions(local_duty, local_duty.candidate.tick(now))

    def next_due_at(self) -> MonotonicTime:
        """When `tick` is due next."""
        return min((h.candidate.next_tick_at() for h in self.local_duties.values()), default=NO_DEADLINE)

    def update_assignments(self, members: list[Claim], bits: Mapping[str, int]) -> None:
        """Reassigns candidates for the live members, and starts hand-overs to better holders.

        `bits`: the number of each duty's bit in the members' `duty_bits`.
        """
        now, names = self.clock.now(), list(bits)
        eligible = {n: [m.process for m in members if m.duty_bits >> bits[n] & 1] for n in names}
        self.rankings = assign_candidates(eligible, {n: self.settings.duties[n].prefer for n in names})
        for name, local_duty in self.local_duties.items():
            if name == VOTERS_DUTY:
                if (
                    self.is_change_requested()
                    and local_duty.candidate.due_at == NO_DEADLINE
                    and not self.is_leaving
                ):
                    local_duty.candidate.schedule_try(now, 0.0)
                continue  # acquired only by an instance that has a change to make
            ranking, candidate = self.rankings.get(name, []), local_duty.candidate
            rank = ranking.index(self.process_id) if self.process_id in ranking else len(ranking)
            if self.is_leaving or rank >= MAX_ACTIVE_CANDIDATES:
                candidate.stop_trying()
            elif candidate.due_at == NO_DEADLINE:
                # The instance that has just handed it over may still rank first, and would acquire it again.
                extra_ranks = (
                    MAX_ACTIVE_CANDIDATES
                    if now - local_duty.handed_over_at < self.settings.times.lease
                    else 0
                )
                candidate.schedule_try(now, (rank + extra_ranks) * RANK_DELAY_S)
            else:
                candidate.priority_delay_s = rank * RANK_DELAY_S
        self._rebalance(now)
        self.on_due_change()

    def _rebalance(self, now: MonotonicTime) -> None:
        """Hands over one duty that another instance has been the better holder of for `hand_over_delay_s`."""
        held = [h for name, h in self.local_duties.items() if h.held_duty is not None and name != VOTERS_DUTY]
        for local_duty in held:
            name, ranking = local_duty.settings.name, self.rankings.get(local_duty.settings.name, [])
            own_share = self._count_first_choices(self.process_id)
            is_preferred = ranking and ranking[0].name in local_duty.settings.prefer
            if ranking and ranking[0] != self.process_id and (is_preferred or len(held) > own_share):
                local_duty.better_since = min(local_duty.better_since, now)
            else:
                local_duty.better_since = math.inf
            due = max(local_duty.better_since + self.settings.hand_over_delay_s, self.next_hand_over_at)
            if now >= due and not local_duty.is_handing_over:
                # Handing over all at once, as soon as a member appears, would cause hand-over storms on a bad
                # link.
                self.next_hand_over_at = now + min(2.0, self.settings.hand_over_delay_s)
                local_duty.better_since = math.inf
                self.hand_over(name, f"{ranking[0].name} should have it")

    def _count_first_choices(self, process: ProcessId) -> int:
        return sum(1 for ranking in self.rankings.values() if ranking and ranking[0] == process)

    # ---- actions ----

    def apply_actions(self, local_duty: LocalDuty, actions: list[Action]) -> None:
        """Executes the actions of a candidate."""
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
                case HoldingEnded(_, fence, reason):
                    self._end_holding(local_duty, fence, reason)
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
            candidate.previous_fence,
        )
        local_duty.held_duty, previous_task = duty, local_duty.task
        local_duty.task = asyncio.get_running_loop().create_task(self._serve(local_duty, duty, previous_task))

    def _end_holding(self, local_duty: LocalDuty, fence: int, reason: str) -> None:
        if local_duty.held_duty is not None:
            local_duty.held_duty.ended.set()
            local_duty.held_duty = None
        local_duty.end_reason = reason
        self._log_holding("stops", local_duty, fence, why=reason)

    def _log_holding(self, event: str, local_duty: LocalDuty, fence: int, **fields: Any) -> None:
        log.info(event, duty=local_duty.settings.name, fence=fence, boot=self.process_id.boot, **fields)

    # ---- the work ----

    async def _serve(
        self, local_duty: LocalDuty, duty: HeldDuty, previous_task: asyncio.Task[None] | None
    ) -> None:
        """Runs one holding: claims its fence at the registers, then runs rounds of work until it ends."""
        if previous_task is not None:
            await asyncio.wait(
                {previous_task}
            )  # one round at a time: that of the previous holding may still run
        candidate, fence = local_duty.candidate, duty.fence
        try:
            if not await self._claim_registers(local_duty, duty):
                return
            self.apply_actions(local_duty, candidate.handle_claimed(self.clock.now(), fence))
            while not duty.ended.is_set():
                delay_s = await self._run_in_thread(local_duty.work.act, duty)
                local_duty.act_count += 1
                await self._wait_for_next_round(
                    local_duty, duty, local_duty.settings.every_s if delay_s is None else delay_s
                )
        except StaleFenceError as low:
            if not duty.ended.is_set():
                self.apply_actions(
                    local_duty, candidate.handle_low_fence(self.clock.now(), fence, low.highest)
                )
        except WorkCompleted as done:
            if not duty.ended.is_set():
                self.apply_actions(local_duty, candidate.release(self.clock.now(), str(done)))
        except Exception as error:  # whatever the failure, another instance should try
            if not isinstance(error, WorkError):
                log.exception("work raised an unexpected exception", duty=duty.name, fence=fence)
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
        """Waits until the next round is due or requested, or the holding ends."""
        end = self.clock.now() + seconds
        while (
            not duty.ended.is_set()
            and not local_duty.run_requested
            and (remaining_s := end - self.clock.now()) > 0
        ):
            await asyncio.sleep(min(remaining_s, POLL_INTERVAL_S))
        local_duty.run_requested = False

    def run_now(self, name: str) -> dict[str, Any]:
        """Begins the next round now, if the duty is held here; otherwise reports the last known holder."""
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

    def hand_over(self, name: str, reason: str) -> bool:
        """Hands over the duty after the current round; returns False if it isn't held here."""
        local_duty = self.local_duties.get(name)
        if local_duty is None or local_duty.held_duty is None or local_duty.is_handing_over:
            return False
        local_duty.is_handing_over = True
        asyncio.get_running_loop().create_task(self._hand_over(local_duty, local_duty.held_duty, reason))
        return True

    async def _hand_over(self, local_duty: LocalDuty, duty: HeldDuty, reason: str) -> None:
        name, task = local_duty.settings.name, local_duty.task
        others = [process for process in self.rankings.get(name, []) if process != self.process_id][
            :MAX_ACTIVE_CANDIDATES
        ]
        if others and self.before_hand_over is not None:
            await self.before_hand_over(name, others)
        duty.ended.set()  # no further round begins
        if task is not None:
            await asyncio.wait({task}, timeout=HAND_OVER_TIMEOUT_S)
        if local_duty.held_duty is not duty:
            return  # it has expired or failed meanwhile
        local_duty.handed_over_at = self.clock.now()
        self.apply_actions(
            local_duty, local_duty.candidate.release(local_duty.handed_over_at, f"handed over: {reason}")
        )
        for rank, process in enumerate(others):
            self.send_offer(process, name, rank, duty.fence)

    async def hand_over_all(self) -> None:
        """Hands over all duties, before the process ends in a drain or an upgrade."""
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
