"""Membership as one process sees it: SWIM with suspicion, and the extensions of Lifeguard. Performs no I/O.

Each period one member is probed; the random order is reshuffled after each round. A member that does not
answer is probed through helpers. If that fails too, it becomes a suspect, and the next ping to it carries the
suspicion. A suspect that does not refute the suspicion before its timeout is declared dead. Sources: SWIM
(Das and others, 2002), sections 3 and 4; Lifeguard (Dadgar, Phillips, Currey, 2018): local health, suspicion
timeouts that shrink with confirmations, the buddy system.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from roadpulley.fleet.duties.terms import NO_PROCESS, MonotonicTime, ProcessId

from .messages import (
    Ack,
    Claim,
    MembershipMessage,
    MemberState,
    Nack,
    Page,
    PageRequest,
    Ping,
    PingRequest,
    SwimParameters,
)

MAX_MEMBERS = 4_096
# During its first so many exchange intervals, a process requests pages so many times as often.
JOIN_EXCHANGES = 5
# A tick that is later than this many periods means that this process itself is slow.
MAX_TICK_DELAY_PERIODS = 0.5


@dataclass(frozen=True, slots=True)
class OutboundMessage:
    """A message to send. `receiver` is NO_PROCESS if no process at that address is known yet."""

    address: str
    receiver: ProcessId
    body: MembershipMessage


@dataclass(slots=True)
class Member:
    """What is known about another process."""

    claim: Claim
    state_since: MonotonicTime  # when it entered its state
    observed_address: str = ""  # source address of its last datagram
    suspected_by: set[ProcessId] = field(default_factory=set)  # other members that suspect it
    transmissions: int = 0  # times that the claim was gossiped

    def is_active(self) -> bool:
        """Whether it is alive or suspected."""
        return self.claim.state < MemberState.DEAD


@dataclass(slots=True)
class Probe:
    """The probe in progress. `is_indirect`: helpers were asked to probe the target too."""

    target: ProcessId
    sequence: int
    deadline: MonotonicTime
    is_indirect: bool = False
    helper_count: int = 0
    nack_count: int = 0


class Membership:
    """The state machine of one process.

    `address`: how others reach this process; empty if their settings name it. `duty_mask`: the duties that it
    may hold. `addresses`: addresses from the settings, by name. `seeds`: further addresses to contact, whose
    names are not known.
    """

    def __init__(
        self,
        own_id: ProcessId,
        address: str,
        duty_mask: int,
        addresses: Mapping[str, str],
        seeds: Iterable[str],
        swim_parameters: SwimParameters,
        rng: random.Random,
    ) -> None:
        self.self_id, self.parameters, self.rng, self.configured_addresses = (
            own_id,
            swim_parameters,
            rng,
            dict(addresses),
        )
        self.seeds = tuple(dict.fromkeys([*(a for n, a in addresses.items() if n != own_id.name), *seeds]))
        self.own_claim = Claim(own_id, 1, MemberState.ALIVE, address, duty_mask)
        self.table: dict[ProcessId, Member] = {}
        self.suspects: dict[ProcessId, Member] = {}  # the suspects of `table`, checked at every tick
        self.gossip_queue: dict[ProcessId, Member] = {}  # members of `table` whose claims are still gossiped
        self.probe_order: list[ProcessId] = []
        self.probe: Probe | None = None
        self.next_probe: MonotonicTime | None = None
        self.started_at: MonotonicTime = 0.0
        self.next_gossip: MonotonicTime = 0.0
        self.next_page: MonotonicTime = 0.0
        self.page_cursor = NO_PROCESS
        # By our sequence number: the requester, its address, its sequence number, the deadline.
        self.relayed_probes: dict[int, tuple[ProcessId, str, int, MonotonicTime]] = {}
        self.seed_retry_at: dict[str, MonotonicTime] = {}
        self.last_sequence = 0
        self.health_score = 0  # Lifeguard's local health; 0 is healthy
        self.state_changes: list[tuple[ProcessId, MemberState]] = []  # for the caller to log and clear
        self.refutations = 0  # suspect and dead claims about this process that it refuted
        self.own_claim_resends = 0  # how often the own claim is still to be gossiped

    # ---- queries ----

    def active_claims(self) -> list[Claim]:
        """Claims about alive and suspected processes, this one included, sorted by name and boot."""
        active = [m.claim for m in self.table.values() if m.is_active()]
        return sorted([*active, self.own_claim], key=lambda c: c.process)

    def address_of(self, member: Member) -> str:
        """Where to reach a member: as it claims, as configured, or as last observed."""
        return (
            member.claim.address
            or self.configured_addresses.get(member.claim.process.name, "")
            or member.observed_address
        )

    def next_deadline(self) -> MonotonicTime:
        """When `tick` has to be called next."""
        deadlines = [m.state_since + self.suspicion_timeout(m) for m in self.suspects.values()]
        if deadlines or self.gossip_queue or self.own_claim_resends:
            deadlines.append(self.next_gossip)
        if self.probe is not None:
            deadlines.append(self.probe.deadline)
        deadlines += [expires_at for _, _, _, expires_at in self.relayed_probes.values()]
        return min([self.next_probe or 0.0, *deadlines])

    def suspicion_timeout(self, member: Member) -> float:
        """Seconds that a suspect has to refute the suspicion (Lifeguard, section 4.2)."""
        swim = self.parameters
        minimum = swim.suspicion * max(1.0, math.log10(max(1, len(self.table) + 1))) * swim.period
        if not swim.careful:
            return minimum
        confirmed_ratio = math.log(len(member.suspected_by) + 1) / math.log(swim.confirmations + 1)
        return max(
            minimum, minimum * swim.most_suspicion - confirmed_ratio * minimum * (swim.most_suspicion - 1)
        )

    @property
    def timeout_multiplier(self) -> float:
        """Factor for probe timeouts and the probe interval; grows as the local health gets worse."""
        return 1.0 + self.health_score if self.parameters.careful else 1.0

    # ---- events ----

    def tick(self, now: MonotonicTime) -> list[OutboundMessage]:
        """Do what is due at `now`; returns the messages to send."""
        outbox: list[OutboundMessage] = []
        if self.next_probe is None:
            self.next_probe, self.started_at = now + self.rng.random() * self.parameters.period, now
            return self._ping_seeds(now, outbox)
        self._handle_late_tick(now)
        if self.probe is not None and now >= self.probe.deadline:
            self._handle_probe_timeout(now, self.probe, outbox)
        for member in list(self.suspects.values()):
            if now >= member.state_since + self.suspicion_timeout(member):
                claim = member.claim
                dead = Claim(
                    claim.process, claim.incarnation, MemberState.DEAD, claim.address, claim.duty_bits
                )
                self._apply_claim(now, dead, self.self_id)
        for own_sequence, (requester, address, requester_sequence, expires_at) in list(
            self.relayed_probes.items()
        ):
            if now >= expires_at:
                del self.relayed_probes[own_sequence]
                outbox.append(OutboundMessage(address, requester, Nack(requester_sequence)))
        if now >= self.next_gossip:
            # Not scaled by the timeout multiplier: the timeout of a suspect runs on while this process is
            # slow, so the suspect would learn of the suspicion too late to refute it.
            self.next_gossip = now + self.parameters.period
            self._ping_suspects(outbox)
            self._gossip(outbox)
        if now >= self.next_probe:
            self.next_probe = now + self.parameters.period * self.timeout_multiplier
            self._remove_expired(now)
            self._ping_seeds(now, outbox)
            self._start_probe(now, outbox)
            if now >= self.next_page:
                self._request_page(now, outbox)
        return outbox

    def handle_message(
        self, now: MonotonicTime, sender: ProcessId, address: str, body: MembershipMessage
    ) -> list[OutboundMessage]:
        """Handle a message whose sender is verified; returns the messages to send.

        `address`: the source address of the datagram.
        """
        outbox: list[OutboundMessage] = []
        self.seed_retry_at.pop(address, None)
        if sender not in self.table and len(self.table) < MAX_MEMBERS:
            self._apply_claim(now, Claim(sender, 0, MemberState.ALIVE, "", 0), sender)
        if sender in self.table:
            self.table[sender].observed_address = address
        claims = () if isinstance(body, Nack | PageRequest) else body.claims
        was_news = [self._apply_claim(now, claim, sender) for claim in claims]
        match body:
            case Ping(sequence, _):
                outbox.append(
                    OutboundMessage(address, sender, Ack(sequence, self.self_id, self._select_claims(sender)))
                )
            case PingRequest(sequence, target, target_address, _):
                self.last_sequence += 1
                self.relayed_probes[self.last_sequence] = (
                    sender,
                    address,
                    sequence,
                    now + self.parameters.answer * 0.8,
                )
                outbox.append(
                    OutboundMessage(
                        target_address, target, Ping(self.last_sequence, self._select_claims(target))
                    )
                )
            case Ack(sequence, responder, _):
                self._handle_ack(sequence, responder, outbox)
            case Nack(sequence):
                if self.probe is not None and self.probe.sequence == sequence:
                    self.probe.nack_count += 1
            case PageRequest(after):
                outbox.append(OutboundMessage(address, sender, self._build_page(after)))
            case Page(page, last):
                self.page_cursor = NO_PROCESS if last or not page else page[-1].process
                if any(was_news) and not last:  # later pages may hold more news
                    outbox.append(OutboundMessage(address, sender, PageRequest(self.page_cursor)))
        return outbox

    def leave(self, now: MonotonicTime) -> list[OutboundMessage]:
        """Announce the departure of this process to a few members, which gossip it."""
        self.own_claim = self._next_own_claim(MemberState.LEFT)
        receivers = self._sample_members(self.parameters.helpers, lambda m: m.is_active())
        return [
            OutboundMessage(self.address_of(m), m.claim.process, Ping(0, (self.own_claim,)))
            for m in receivers
        ]

    def set_address(self, address: str) -> None:
        """Announce a new address of this process; empty if the settings of the others name it."""
        claim = self._next_own_claim(MemberState.ALIVE)
        self.own_claim = Claim(claim.process, claim.incarnation, claim.state, address, claim.duty_bits)

    def set_duty_bits(self, duty_mask: int) -> None:
        """Announce which duties this process may hold from now on."""
        if duty_mask != self.own_claim.duty_bits:
            self.own_claim = self._next_own_claim(MemberState.ALIVE, duty_mask)

    # ---- internals ----

    def _next_own_claim(self, state: MemberState, duty_mask: int | None = None) -> Claim:
        self.own_claim_resends = self._transmit_limit()
        current = self.own_claim
        return Claim(
            self.self_id,
            current.incarnation + 1,
            state,
            current.address,
            current.duty_bits if duty_mask is None else duty_mask,
        )

    def _transmit_limit(self) -> int:
        return math.ceil(self.parameters.resend * math.log10(len(self.table) + 10))

    def _handle_late_tick(self, now: MonotonicTime) -> None:
        """Extend timeouts after a late tick.

        A process that was suspended finds all its timeouts expired although answers are still unread in its
        socket. Without the extension it would declare healthy members suspect or dead.
        """
        assert self.next_probe is not None
        delay = now - min(self.next_probe, self.probe.deadline if self.probe else math.inf)
        if not self.parameters.careful or delay <= MAX_TICK_DELAY_PERIODS * self.parameters.period:
            return
        self.health_score = min(self.parameters.health, self.health_score + 1)
        for member in self.suspects.values():
            member.state_since += delay
        if self.probe is not None:
            self.probe.deadline = max(self.probe.deadline, now + self.parameters.answer)

    def _remove_expired(self, now: MonotonicTime) -> None:
        expired = [
            process
            for process, m in self.table.items()
            if m.claim.state >= MemberState.DEAD and now - m.state_since > self.parameters.forget
        ]
        for process in expired:
            del self.table[process]
            self.gossip_queue.pop(process, None)

    def _ping_seeds(self, now: MonotonicTime, outbox: list[OutboundMessage]) -> list[OutboundMessage]:
        """Ping configured addresses at which no active member is known.

        Each is retried, so that the halves of a healed partition find each other again.
        """
        active_addresses = {self.address_of(m) for m in self.table.values() if m.is_active()}
        for address in self.seeds:
            if address not in active_addresses and now >= self.seed_retry_at.get(address, 0.0):
                self.seed_retry_at[address] = now + self.parameters.period * (1 + self.rng.random())
                self.last_sequence += 1
                outbox.append(
                    OutboundMessage(address, NO_PROCESS, Ping(self.last_sequence, (self.own_claim,)))
                )
        return outbox

    def _start_probe(self, now: MonotonicTime, outbox: list[OutboundMessage]) -> None:
        if self.probe is not None:
            return
        for _ in range(len(self.probe_order) + len(self.table) + 1):
            if not self.probe_order:
                self.probe_order = [w for w, m in self.table.items() if m.is_active()]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    return
            target = self.probe_order.pop()
            member = self.table.get(target)
            if member is not None and member.is_active():
                break
        else:
            return
        self.last_sequence += 1
        timeout = self.parameters.answer * self.timeout_multiplier
        self.probe = Probe(target, self.last_sequence, now + timeout)
        outbox.append(
            OutboundMessage(
                self.address_of(member), target, Ping(self.last_sequence, self._select_claims(target))
            )
        )

    def _ping_suspects(self, outbox: list[OutboundMessage]) -> None:
        """Ping a few suspects, the oldest first, to tell them of the suspicion (Lifeguard's buddy system).

        One dead member is pinged too: it may only have been partitioned, and nobody probes it any more.
        """
        suspects = sorted(self.suspects.values(), key=lambda m: m.state_since)
        dead = [m for m in self.table.values() if m.claim.state is MemberState.DEAD]
        receivers = [*suspects[: self.parameters.helpers], *self.rng.sample(dead, min(1, len(dead)))]
        for member in receivers if self.parameters.careful else ():
            self.last_sequence += 1
            outbox.append(
                OutboundMessage(
                    self.address_of(member),
                    member.claim.process,
                    Ping(self.last_sequence, self._select_claims(member.claim.process)),
                )
            )

    def _gossip(self, outbox: list[OutboundMessage]) -> None:
        """Each period, send news to a few random members, independently of the probe interval.

        If claims were only piggybacked on probes, slow processes, which probe less often, would delay a
        refutation.
        """
        if not self.parameters.careful or not (
            self.own_claim_resends or any(m.claim.incarnation for m in self.gossip_queue.values())
        ):
            return
        for member in self._sample_members(
            self.parameters.spread, lambda m: m.claim.state is MemberState.ALIVE
        ):
            self.last_sequence += 1
            outbox.append(
                OutboundMessage(
                    self.address_of(member),
                    member.claim.process,
                    Ping(self.last_sequence, self._select_claims(member.claim.process)),
                )
            )

    def _handle_probe_timeout(self, now: MonotonicTime, probe: Probe, outbox: list[OutboundMessage]) -> None:
        member = self.table.get(probe.target)
        if member is None:
            self.probe = None
        elif not probe.is_indirect:
            probe.is_indirect = True
            probe.deadline = now + self.parameters.answer * 1.2 * self.timeout_multiplier
            helpers = self._sample_members(
                self.parameters.helpers,
                lambda m: m.claim.state is MemberState.ALIVE and m.claim.process != probe.target,
            )
            probe.helper_count = len(helpers)
            request = PingRequest(probe.sequence, probe.target, self.address_of(member), ())
            outbox += [OutboundMessage(self.address_of(h), h.claim.process, request) for h in helpers]
        else:
            self.probe = None
            missing_nacks = probe.helper_count - probe.nack_count
            # Lifeguard: helpers that send no nack either suggest that this process is the slow one; nacks
            # suggest that it is the target.
            penalty = missing_nacks if probe.helper_count else 1
            self.health_score = min(self.parameters.health, self.health_score + max(0, penalty))
            claim = member.claim
            suspect = Claim(
                claim.process, claim.incarnation, MemberState.SUSPECT, claim.address, claim.duty_bits
            )
            self._apply_claim(now, suspect, self.self_id)

    def _handle_ack(self, sequence: int, responder: ProcessId, outbox: list[OutboundMessage]) -> None:
        if sequence in self.relayed_probes:
            requester, address, requester_sequence, _ = self.relayed_probes.pop(sequence)
            outbox.append(OutboundMessage(address, requester, Ack(requester_sequence, responder, ())))
        if self.probe is not None and self.probe.sequence == sequence and self.probe.target == responder:
            self.probe = None
            self.health_score = max(0, self.health_score - 1)

    def _apply_claim(self, now: MonotonicTime, claim: Claim, reporter: ProcessId) -> bool:
        """Merge a claim reported by `reporter`; returns whether it was news."""
        if claim.process == self.self_id:
            self._refute_claim(claim)
            return False
        member = self.table.get(claim.process)
        if member is None:
            if claim.state is not MemberState.ALIVE or len(self.table) >= MAX_MEMBERS:
                return False  # a dead process that is not in the table stays forgotten
            self.table[claim.process] = self.gossip_queue[claim.process] = Member(claim, now)
            self.state_changes.append((claim.process, MemberState.ALIVE))
            self.probe_order.insert(self.rng.randint(0, len(self.probe_order)), claim.process)
            return True
        known = member.claim
        if claim.supersedes(known):
            if claim.state is not known.state:
                member.state_since = now
                member.suspected_by = (
                    {reporter} if claim.state is MemberState.SUSPECT and reporter != self.self_id else set()
                )
                self.state_changes.append((claim.process, claim.state))
            member.claim, member.transmissions = claim, 0
            self.gossip_queue[claim.process] = member
            self.suspects.pop(claim.process, None)
            if claim.state is MemberState.SUSPECT:
                self.suspects[claim.process] = member
            return True
        if claim.state is MemberState.SUSPECT and claim.incarnation == known.incarnation:
            if (
                reporter != self.self_id
                and reporter not in member.suspected_by
                and len(member.suspected_by) < self.parameters.confirmations
            ):
                member.suspected_by.add(reporter)
                # A further confirmation is news and is gossiped again.
                member.transmissions, self.gossip_queue[claim.process] = 0, member
        return False

    def _refute_claim(self, claim: Claim) -> None:
        """Refute a claim about this process by a higher incarnation.

        The claim is never applied: a running process must not count itself as suspect or dead.
        """
        if self.own_claim.state is MemberState.LEFT or claim.state is MemberState.ALIVE:
            if (
                claim.incarnation > self.own_claim.incarnation
                and self.own_claim.state is not MemberState.LEFT
            ):
                self.own_claim = Claim(
                    self.self_id,
                    claim.incarnation + 1,
                    MemberState.ALIVE,
                    self.own_claim.address,
                    self.own_claim.duty_bits,
                )
            return
        if claim.incarnation >= self.own_claim.incarnation:
            self.refutations += 1
            self.health_score = min(self.parameters.health, self.health_score + 1)
            self.own_claim = Claim(
                self.self_id,
                claim.incarnation,
                MemberState.ALIVE,
                self.own_claim.address,
                self.own_claim.duty_bits,
            )
            self.own_claim = self._next_own_claim(MemberState.ALIVE)

    def _select_claims(self, receiver: ProcessId) -> tuple[Claim, ...]:
        """Select the claims to piggyback on a message to `receiver`.

        The own claim comes first while it is news, then the claims transmitted least often. The size is
        bounded, and each claim is transmitted a limited number of times.
        """
        limit = self._transmit_limit()
        for process in [process for process, m in self.gossip_queue.items() if m.transmissions >= limit]:
            del self.gossip_queue[process]
        fresh = sorted(
            (m for m in self.gossip_queue.values() if m.claim.incarnation), key=lambda m: m.transmissions
        )
        first: list[Claim] = []
        if (
            receiver_entry := self.table.get(receiver)
        ) is not None and receiver_entry.claim.state is not MemberState.ALIVE:
            # A process that does not learn of the claim about it cannot refute it, and stays dead to
            # this one for ever.
            first.append(receiver_entry.claim)
            fresh = [m for m in fresh if m is not receiver_entry]
        if self.own_claim_resends > 0 or receiver_entry is None or not receiver_entry.claim.incarnation:
            first.append(self.own_claim)
            self.own_claim_resends = max(0, self.own_claim_resends - 1)
        chosen = fresh[: self.parameters.claims - len(first)]
        for member in chosen:
            member.transmissions += 1
        return (*first, *(m.claim for m in chosen))

    def _sample_members(self, count: int, predicate: Callable[[Member], bool]) -> list[Member]:
        candidates = [m for m in self.table.values() if predicate(m)]
        return self.rng.sample(candidates, min(count, len(candidates)))

    def _request_page(self, now: MonotonicTime, outbox: list[OutboundMessage]) -> None:
        # A process that has just started knows few members, and claims that are no longer gossiped reach it
        # only through pages.
        is_joining = now - self.started_at < JOIN_EXCHANGES * self.parameters.exchange
        self.next_page = now + self.parameters.exchange * (0.75 + self.rng.random() / 2) / (
            JOIN_EXCHANGES if is_joining else 1
        )
        for member in self._sample_members(1, lambda m: m.claim.state is MemberState.ALIVE):
            outbox.append(
                OutboundMessage(self.address_of(member), member.claim.process, PageRequest(self.page_cursor))
            )

    def _build_page(self, after: ProcessId) -> Page:
        claims = [self.own_claim, *(m.claim for m in self.table.values() if m.claim.incarnation)]
        following = sorted((c for c in claims if c.process > after), key=lambda c: c.process)
        return Page(tuple(following[: self.parameters.page]), len(following) <= self.parameters.page)
