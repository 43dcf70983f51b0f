"""Who is there, as one process sees it: SWIM with suspicion, Lifeguard's care for one's own slowness. Pure.

Each period one member is probed, in an order by chance that is drawn anew after each round. One that does not
answer is probed through others; if that fails too it is suspected, and told so with the next ping. A suspect
that does not refute it within its time counts as dead. Sources: SWIM (Das and others, 2002), sections 3 and
4; Lifeguard (Dadgar, Phillips, Currey, 2018): local health, waits that shrink with confirmations, buddies.
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
JOIN_EXCHANGES = (
    5  # exchanges that count as the beginning, in which pages are asked for so many times as often
)
MAX_TICK_DELAY_PERIODS = (
    0.5  # periods that a tick may come late before this process takes itself for the slow one
)


@dataclass(frozen=True, slots=True)
class OutboundMessage:
    """Send it there; `who` is NOBODY where no process of that address is known yet."""

    address: str
    receiver: ProcessId
    body: MembershipMessage


@dataclass(slots=True)
class Member:
    claim: Claim
    state_since: MonotonicTime  # of its state
    observed_address: str = ""  # the address that it was heard from
    suspected_by: set[ProcessId] = field(default_factory=set)  # who else suspects it
    transmissions: int = 0  # times that the claim was sent on

    def is_active(self) -> bool:
        return self.claim.state < MemberState.DEAD


@dataclass(slots=True)
class Probe:
    target: ProcessId
    number: int
    deadline: MonotonicTime
    is_indirect: bool = False
    helper_count: int = 0
    nack_count: int = 0


class Membership:
    """`address`: how others reach this process, empty where their settings say it; `can`: duties, by bits.

    `static`: addresses by name, from the settings; `seeds`: further ones, whose names are not known.
    """

    def __init__(
        self,
        own_id: ProcessId,
        address: str,
        can: int,
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
        self.own_claim = Claim(own_id, 1, MemberState.ALIVE, address, can)
        self.table: dict[ProcessId, Member] = {}
        self.suspects: dict[ProcessId, Member] = {}  # of the table, for each look at the clock is over these
        self.gossip_queue: dict[ProcessId, Member] = {}  # of the table: their claims are still passed on
        self.probe_order: list[ProcessId] = []
        self.probe: Probe | None = None
        self.next_probe: MonotonicTime | None = None
        self.started_at: MonotonicTime = 0.0
        self.next_gossip: MonotonicTime = 0.0
        self.next_page: MonotonicTime = 0.0
        self.page_cursor = NO_PROCESS
        self.relayed_probes: dict[
            int, tuple[ProcessId, str, int, MonotonicTime]
        ] = {}  # for whom, where, its number, until
        self.seed_retry_at: dict[str, MonotonicTime] = {}
        self.last_sequence = 0
        self.health_score = 0  # 0: well
        self.state_changes: list[tuple[ProcessId, MemberState]] = []  # what changed, for the shell to log
        self.refutations = 0  # claims against this process that it refuted
        self.own_claim_resends = 0  # times that our own claim is still to be passed on

    # ---- questions ----

    def active_claims(self) -> list[Claim]:
        """Those who are thought to live, this process among them, by name and boot."""
        found = [m.claim for m in self.table.values() if m.is_active()]
        return sorted([*found, self.own_claim], key=lambda c: c.process)

    def address_of(self, member: Member) -> str:
        return (
            member.claim.address
            or self.configured_addresses.get(member.claim.process.name, "")
            or member.observed_address
        )

    def next_deadline(self) -> MonotonicTime:
        ends = [m.state_since + self.suspicion_timeout(m) for m in self.suspects.values()]
        if ends or self.gossip_queue or self.own_claim_resends:
            ends.append(self.next_gossip)
        if self.probe is not None:
            ends.append(self.probe.deadline)
        ends += [until for _, _, _, until in self.relayed_probes.values()]
        return min([self.next_probe or 0.0, *ends])

    def suspicion_timeout(self, member: Member) -> float:
        """How long a suspect has to refute it (Lifeguard, section 4.2)."""
        t = self.parameters
        least = t.suspicion * max(1.0, math.log10(max(1, len(self.table) + 1))) * t.period
        if not t.careful:
            return least
        part = math.log(len(member.suspected_by) + 1) / math.log(t.confirmations + 1)
        return max(least, least * t.most_suspicion - part * least * (t.most_suspicion - 1))

    @property
    def timeout_multiplier(self) -> float:
        return 1.0 + self.health_score if self.parameters.careful else 1.0

    # ---- events ----

    def tick(self, now: MonotonicTime) -> list[OutboundMessage]:
        out: list[OutboundMessage] = []
        if self.next_probe is None:
            self.next_probe, self.started_at = now + self.rng.random() * self.parameters.period, now
            return self._ping_seeds(now, out)
        self._handle_late_tick(now)
        if self.probe is not None and now >= self.probe.deadline:
            self._handle_probe_timeout(now, self.probe, out)
        for member in list(self.suspects.values()):
            if now >= member.state_since + self.suspicion_timeout(member):
                claim = member.claim
                dead = Claim(
                    claim.process, claim.incarnation, MemberState.DEAD, claim.address, claim.duty_bits
                )
                self._apply_claim(now, dead, self.self_id)
        for number, (who, address, theirs, until) in list(self.relayed_probes.items()):
            if now >= until:
                del self.relayed_probes[number]
                out.append(OutboundMessage(address, who, Nack(theirs)))
        if now >= self.next_gossip:
            # Danger: not as slowly as this process probes while it takes itself for slow: a suspect's time
            # runs.
            self.next_gossip = now + self.parameters.period
            self._ping_suspects(out)
            self._gossip(out)
        if now >= self.next_probe:
            self.next_probe = now + self.parameters.period * self.timeout_multiplier
            self._remove_expired(now)
            self._ping_seeds(now, out)
            self._start_probe(now, out)
            if now >= self.next_page:
                self._request_page(now, out)
        return out

    def handle_message(
        self, now: MonotonicTime, who: ProcessId, address: str, body: MembershipMessage
    ) -> list[OutboundMessage]:
        """From a process that the datagram names truly, at the address that it came from."""
        out: list[OutboundMessage] = []
        self.seed_retry_at.pop(address, None)
        if who not in self.table and len(self.table) < MAX_MEMBERS:
            self._apply_claim(now, Claim(who, 0, MemberState.ALIVE, "", 0), who)
        if who in self.table:
            self.table[who].observed_address = address
        claims = () if isinstance(body, Nack | PageRequest) else body.claims
        fresh = [self._apply_claim(now, claim, who) for claim in claims]
        match body:
            case Ping(number, _):
                out.append(OutboundMessage(address, who, Ack(number, self.self_id, self._select_claims(who))))
            case PingRequest(number, target, at, _):
                self.last_sequence += 1
                self.relayed_probes[self.last_sequence] = (
                    who,
                    address,
                    number,
                    now + self.parameters.answer * 0.8,
                )
                out.append(OutboundMessage(at, target, Ping(self.last_sequence, self._select_claims(target))))
            case Ack(number, answered, _):
                self._handle_ack(number, answered, out)
            case Nack(number):
                if self.probe is not None and self.probe.number == number:
                    self.probe.nack_count += 1
            case PageRequest(after):
                out.append(OutboundMessage(address, who, self._build_page(after)))
            case Page(page, last):
                self.page_cursor = NO_PROCESS if last or not page else page[-1].process
                if any(fresh) and not last:  # there may be more that is not known here
                    out.append(OutboundMessage(address, who, PageRequest(self.page_cursor)))
        return out

    def leave(self, now: MonotonicTime) -> list[OutboundMessage]:
        """This process ends: say so to a few, who tell the others."""
        self.own_claim = self._next_own_claim(MemberState.LEFT)
        some = self._sample_members(self.parameters.helpers, lambda m: m.is_active())
        return [
            OutboundMessage(self.address_of(m), m.claim.process, Ping(0, (self.own_claim,))) for m in some
        ]

    def set_address(self, address: str) -> None:
        """This process is reached elsewhere from now on."""
        claim = self._next_own_claim(MemberState.ALIVE)
        self.own_claim = Claim(claim.process, claim.incarnation, claim.state, address, claim.duty_bits)

    def set_duty_bits(self, can: int) -> None:
        """Which duties this process may hold from now on, by bits."""
        if can != self.own_claim.duty_bits:
            self.own_claim = self._next_own_claim(MemberState.ALIVE, can)

    # ---- inside ----

    def _next_own_claim(self, state: MemberState, can: int | None = None) -> Claim:
        self.own_claim_resends = self._transmit_limit()
        mine = self.own_claim
        return Claim(
            self.self_id, mine.incarnation + 1, state, mine.address, mine.duty_bits if can is None else can
        )

    def _transmit_limit(self) -> int:
        return math.ceil(self.parameters.resend * math.log10(len(self.table) + 10))

    def _handle_late_tick(self, now: MonotonicTime) -> None:
        """Danger: a process that was stopped finds all its waits over, and answers that lie unread."""
        assert self.next_probe is not None
        late = now - min(self.next_probe, self.probe.deadline if self.probe else math.inf)
        if not self.parameters.careful or late <= MAX_TICK_DELAY_PERIODS * self.parameters.period:
            return
        self.health_score = min(self.parameters.health, self.health_score + 1)
        for member in self.suspects.values():
            member.state_since += late
        if self.probe is not None:
            self.probe.deadline = max(self.probe.deadline, now + self.parameters.answer)

    def _remove_expired(self, now: MonotonicTime) -> None:
        gone = [
            who
            for who, m in self.table.items()
            if m.claim.state >= MemberState.DEAD and now - m.state_since > self.parameters.forget
        ]
        for who in gone:
            del self.table[who]
            self.gossip_queue.pop(who, None)

    def _ping_seeds(self, now: MonotonicTime, out: list[OutboundMessage]) -> list[OutboundMessage]:
        """Whom the settings name and nobody has met. Each is tried now and then, also after a cut."""
        known = {self.address_of(m) for m in self.table.values() if m.is_active()}
        for address in self.seeds:
            if address not in known and now >= self.seed_retry_at.get(address, 0.0):
                self.seed_retry_at[address] = now + self.parameters.period * (1 + self.rng.random())
                self.last_sequence += 1
                out.append(OutboundMessage(address, NO_PROCESS, Ping(self.last_sequence, (self.own_claim,))))
        return out

    def _start_probe(self, now: MonotonicTime, out: list[OutboundMessage]) -> None:
        if self.probe is not None:
            return
        for _ in range(len(self.probe_order) + len(self.table) + 1):
            if not self.probe_order:
                self.probe_order = [w for w, m in self.table.items() if m.is_active()]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    return
            who = self.probe_order.pop()
            member = self.table.get(who)
            if member is not None and member.is_active():
                break
        else:
            return
        self.last_sequence += 1
        wait = self.parameters.answer * self.timeout_multiplier
        self.probe = Probe(who, self.last_sequence, now + wait)
        out.append(
            OutboundMessage(self.address_of(member), who, Ping(self.last_sequence, self._select_claims(who)))
        )

    def _ping_suspects(self, out: list[OutboundMessage]) -> None:
        """Lifeguard's buddy, each period: suspects are told what is said of them, a few, the oldest first.

        One of the dead is told too: it may have been cut off, and nobody probes it any more.
        """
        suspects = sorted(self.suspects.values(), key=lambda m: m.state_since)
        dead = [m for m in self.table.values() if m.claim.state is MemberState.DEAD]
        told = [*suspects[: self.parameters.helpers], *self.rng.sample(dead, min(1, len(dead)))]
        for member in told if self.parameters.careful else ():
            self.last_sequence += 1
            out.append(
                OutboundMessage(
                    self.address_of(member),
                    member.claim.process,
                    Ping(self.last_sequence, self._select_claims(member.claim.process)),
                )
            )

    def _gossip(self, out: list[OutboundMessage]) -> None:
        """While there is news it goes to a few by chance, each period, however slowly this process probes.

        Danger: piggybacked on probes alone, a refutation waits for processes that take themselves for slow.
        """
        if not self.parameters.careful or not (
            self.own_claim_resends or any(m.claim.incarnation for m in self.gossip_queue.values())
        ):
            return
        for member in self._sample_members(
            self.parameters.spread, lambda m: m.claim.state is MemberState.ALIVE
        ):
            self.last_sequence += 1
            out.append(
                OutboundMessage(
                    self.address_of(member),
                    member.claim.process,
                    Ping(self.last_sequence, self._select_claims(member.claim.process)),
                )
            )

    def _handle_probe_timeout(self, now: MonotonicTime, probe: Probe, out: list[OutboundMessage]) -> None:
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
            ask = PingRequest(probe.number, probe.target, self.address_of(member), ())
            out += [OutboundMessage(self.address_of(h), h.claim.process, ask) for h in helpers]
        else:
            self.probe = None
            missed = probe.helper_count - probe.nack_count
            # Lifeguard: helpers that say nothing either point to this process; helpers that do, to the other.
            worse = missed if probe.helper_count else 1
            self.health_score = min(self.parameters.health, self.health_score + max(0, worse))
            claim = member.claim
            suspect = Claim(
                claim.process, claim.incarnation, MemberState.SUSPECT, claim.address, claim.duty_bits
            )
            self._apply_claim(now, suspect, self.self_id)

    def _handle_ack(self, number: int, answered: ProcessId, out: list[OutboundMessage]) -> None:
        if number in self.relayed_probes:
            who, address, theirs, _ = self.relayed_probes.pop(number)
            out.append(OutboundMessage(address, who, Ack(theirs, answered, ())))
        if self.probe is not None and self.probe.number == number and self.probe.target == answered:
            self.probe = None
            self.health_score = max(0, self.health_score - 1)

    def _apply_claim(self, now: MonotonicTime, claim: Claim, by: ProcessId) -> bool:
        """Gives whether it was news."""
        if claim.process == self.self_id:
            self._refute_claim(claim)
            return False
        member = self.table.get(claim.process)
        if member is None:
            if claim.state is not MemberState.ALIVE or len(self.table) >= MAX_MEMBERS:
                return False  # the dead whom nobody knows here are forgotten
            self.table[claim.process] = self.gossip_queue[claim.process] = Member(claim, now)
            self.state_changes.append((claim.process, MemberState.ALIVE))
            self.probe_order.insert(self.rng.randint(0, len(self.probe_order)), claim.process)
            return True
        old = member.claim
        if claim.supersedes(old):
            if claim.state is not old.state:
                member.state_since = now
                member.suspected_by = (
                    {by} if claim.state is MemberState.SUSPECT and by != self.self_id else set()
                )
                self.state_changes.append((claim.process, claim.state))
            member.claim, member.transmissions = claim, 0
            self.gossip_queue[claim.process] = member
            self.suspects.pop(claim.process, None)
            if claim.state is MemberState.SUSPECT:
                self.suspects[claim.process] = member
            return True
        if claim.state is MemberState.SUSPECT and claim.incarnation == old.incarnation:
            if (
                by != self.self_id
                and by not in member.suspected_by
                and len(member.suspected_by) < self.parameters.confirmations
            ):
                member.suspected_by.add(by)
                member.transmissions, self.gossip_queue[claim.process] = (
                    0,
                    member,
                )  # that others suspect it too is news
        return False

    def _refute_claim(self, claim: Claim) -> None:
        """Danger: what others say of this process is refuted, never believed."""
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

    def _select_claims(self, to: ProcessId) -> tuple[Claim, ...]:
        """The claims that were passed on least, ours first while it is news; bounded, each so often."""
        most = self._transmit_limit()
        for who in [who for who, m in self.gossip_queue.items() if m.transmissions >= most]:
            del self.gossip_queue[who]
        fresh = sorted(
            (m for m in self.gossip_queue.values() if m.claim.incarnation), key=lambda m: m.transmissions
        )
        first: list[Claim] = []
        if (theirs := self.table.get(to)) is not None and theirs.claim.state is not MemberState.ALIVE:
            # Danger: one that is not told what is said of it can't refute it, and stays dead to us for ever.
            first.append(theirs.claim)
            fresh = [m for m in fresh if m is not theirs]
        if self.own_claim_resends > 0 or theirs is None or not theirs.claim.incarnation:
            first.append(self.own_claim)
            self.own_claim_resends = max(0, self.own_claim_resends - 1)
        some = fresh[: self.parameters.claims - len(first)]
        for member in some:
            member.transmissions += 1
        return (*first, *(m.claim for m in some))

    def _sample_members(self, count: int, which: Callable[[Member], bool]) -> list[Member]:
        fit = [m for m in self.table.values() if which(m)]
        return self.rng.sample(fit, min(count, len(fit)))

    def _request_page(self, now: MonotonicTime, out: list[OutboundMessage]) -> None:
        # One that has just begun knows few, and what was news before it came reaches it by pages only.
        young = now - self.started_at < JOIN_EXCHANGES * self.parameters.exchange
        self.next_page = now + self.parameters.exchange * (0.75 + self.rng.random() / 2) / (
            JOIN_EXCHANGES if young else 1
        )
        for member in self._sample_members(1, lambda m: m.claim.state is MemberState.ALIVE):
            out.append(
                OutboundMessage(self.address_of(member), member.claim.process, PageRequest(self.page_cursor))
            )

    def _build_page(self, after: ProcessId) -> Page:
        claims = [self.own_claim, *(m.claim for m in self.table.values() if m.claim.incarnation)]
        rest = sorted((c for c in claims if c.process > after), key=lambda c: c.process)
        return Page(tuple(rest[: self.parameters.page]), len(rest) <= self.parameters.page)
