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
    who: ProcessId
    body: MembershipMessage


@dataclass(slots=True)
class Member:
    claim: Claim
    since: MonotonicTime  # of its state
    heard_at: str = ""  # the address that it was heard from
    by: set[ProcessId] = field(default_factory=set)  # who else suspects it
    passed: int = 0  # times that the claim was sent on

    def there(self) -> bool:
        return self.claim.state < MemberState.DEAD


@dataclass(slots=True)
class Probe:
    who: ProcessId
    number: int
    ends: MonotonicTime
    helped: bool = False
    helpers: int = 0
    nacks: int = 0


class Membership:
    """`address`: how others reach this process, empty where their settings say it; `can`: duties, by bits.

    `static`: addresses by name, from the settings; `seeds`: further ones, whose names are not known.
    """

    def __init__(
        self,
        me: ProcessId,
        address: str,
        can: int,
        static: Mapping[str, str],
        seeds: Iterable[str],
        times: SwimParameters,
        rng: random.Random,
    ) -> None:
        self.me, self.times, self.rng, self.static = me, times, rng, dict(static)
        self.seeds = tuple(dict.fromkeys([*(a for n, a in static.items() if n != me.name), *seeds]))
        self.mine = Claim(me, 1, MemberState.ALIVE, address, can)
        self.table: dict[ProcessId, Member] = {}
        self.suspects: dict[ProcessId, Member] = {}  # of the table, for each look at the clock is over these
        self.fresh: dict[ProcessId, Member] = {}  # of the table: their claims are still passed on
        self.order: list[ProcessId] = []
        self.probe: Probe | None = None
        self.next_probe: MonotonicTime | None = None
        self.began: MonotonicTime = 0.0
        self.next_remind: MonotonicTime = 0.0
        self.next_page: MonotonicTime = 0.0
        self.page_after = NO_PROCESS
        self.relayed: dict[
            int, tuple[ProcessId, str, int, MonotonicTime]
        ] = {}  # for whom, where, its number, until
        self.unmet: dict[str, MonotonicTime] = {}
        self.number = 0
        self.health = 0  # 0: well
        self.news: list[tuple[ProcessId, MemberState]] = []  # what changed, for the shell to log
        self.false_alarms = 0  # claims against this process that it refuted
        self.again = 0  # times that our own claim is still to be passed on

    # ---- questions ----

    def there(self) -> list[Claim]:
        """Those who are thought to live, this process among them, by name and boot."""
        found = [m.claim for m in self.table.values() if m.there()]
        return sorted([*found, self.mine], key=lambda c: c.who)

    def where(self, member: Member) -> str:
        return member.claim.address or self.static.get(member.claim.who.name, "") or member.heard_at

    def next_at(self) -> MonotonicTime:
        ends = [m.since + self.patience(m) for m in self.suspects.values()]
        if ends or self.fresh or self.again:
            ends.append(self.next_remind)
        if self.probe is not None:
            ends.append(self.probe.ends)
        ends += [until for _, _, _, until in self.relayed.values()]
        return min([self.next_probe or 0.0, *ends])

    def patience(self, member: Member) -> float:
        """How long a suspect has to refute it (Lifeguard, section 4.2)."""
        t = self.times
        least = t.suspicion * max(1.0, math.log10(max(1, len(self.table) + 1))) * t.period
        if not t.careful:
            return least
        part = math.log(len(member.by) + 1) / math.log(t.confirmations + 1)
        return max(least, least * t.most_suspicion - part * least * (t.most_suspicion - 1))

    @property
    def slow(self) -> float:
        return 1.0 + self.health if self.times.careful else 1.0

    # ---- events ----

    def tick(self, now: MonotonicTime) -> list[OutboundMessage]:
        out: list[OutboundMessage] = []
        if self.next_probe is None:
            self.next_probe, self.began = now + self.rng.random() * self.times.period, now
            return self._seed(now, out)
        self._woke(now)
        if self.probe is not None and now >= self.probe.ends:
            self._unanswered(now, self.probe, out)
        for member in list(self.suspects.values()):
            if now >= member.since + self.patience(member):
                claim = member.claim
                dead = Claim(claim.who, claim.incarnation, MemberState.DEAD, claim.address, claim.can)
                self._take(now, dead, self.me)
        for number, (who, address, theirs, until) in list(self.relayed.items()):
            if now >= until:
                del self.relayed[number]
                out.append(OutboundMessage(address, who, Nack(theirs)))
        if now >= self.next_remind:
            # Danger: not as slowly as this process probes while it takes itself for slow: a suspect's time
            # runs.
            self.next_remind = now + self.times.period
            self._remind(out)
            self._spread(out)
        if now >= self.next_probe:
            self.next_probe = now + self.times.period * self.slow
            self._forget(now)
            self._seed(now, out)
            self._probe(now, out)
            if now >= self.next_page:
                self._ask_page(now, out)
        return out

    def heard(
        self, now: MonotonicTime, who: ProcessId, address: str, body: MembershipMessage
    ) -> list[OutboundMessage]:
        """From a process that the datagram names truly, at the address that it came from."""
        out: list[OutboundMessage] = []
        self.unmet.pop(address, None)
        if who not in self.table and len(self.table) < MAX_MEMBERS:
            self._take(now, Claim(who, 0, MemberState.ALIVE, "", 0), who)
        if who in self.table:
            self.table[who].heard_at = address
        claims = () if isinstance(body, Nack | PageRequest) else body.claims
        fresh = [self._take(now, claim, who) for claim in claims]
        match body:
            case Ping(number, _):
                out.append(OutboundMessage(address, who, Ack(number, self.me, self._news(who))))
            case PingRequest(number, target, at, _):
                self.number += 1
                self.relayed[self.number] = (who, address, number, now + self.times.answer * 0.8)
                out.append(OutboundMessage(at, target, Ping(self.number, self._news(target))))
            case Ack(number, answered, _):
                self._acked(number, answered, out)
            case Nack(number):
                if self.probe is not None and self.probe.number == number:
                    self.probe.nacks += 1
            case PageRequest(after):
                out.append(OutboundMessage(address, who, self._page(after)))
            case Page(page, last):
                self.page_after = NO_PROCESS if last or not page else page[-1].who
                if any(fresh) and not last:  # there may be more that is not known here
                    out.append(OutboundMessage(address, who, PageRequest(self.page_after)))
        return out

    def leave(self, now: MonotonicTime) -> list[OutboundMessage]:
        """This process ends: say so to a few, who tell the others."""
        self.mine = self._of_me(MemberState.LEFT)
        some = self._some(self.times.helpers, lambda m: m.there())
        return [OutboundMessage(self.where(m), m.claim.who, Ping(0, (self.mine,))) for m in some]

    def move(self, address: str) -> None:
        """This process is reached elsewhere from now on."""
        claim = self._of_me(MemberState.ALIVE)
        self.mine = Claim(claim.who, claim.incarnation, claim.state, address, claim.can)

    def able(self, can: int) -> None:
        """Which duties this process may hold from now on, by bits."""
        if can != self.mine.can:
            self.mine = self._of_me(MemberState.ALIVE, can)

    # ---- inside ----

    def _of_me(self, state: MemberState, can: int | None = None) -> Claim:
        self.again = self._resends()
        mine = self.mine
        return Claim(self.me, mine.incarnation + 1, state, mine.address, mine.can if can is None else can)

    def _resends(self) -> int:
        return math.ceil(self.times.resend * math.log10(len(self.table) + 10))

    def _woke(self, now: MonotonicTime) -> None:
        """Danger: a process that was stopped finds all its waits over, and answers that lie unread."""
        assert self.next_probe is not None
        late = now - min(self.next_probe, self.probe.ends if self.probe else math.inf)
        if not self.times.careful or late <= MAX_TICK_DELAY_PERIODS * self.times.period:
            return
        self.health = min(self.times.health, self.health + 1)
        for member in self.suspects.values():
            member.since += late
        if self.probe is not None:
            self.probe.ends = max(self.probe.ends, now + self.times.answer)

    def _forget(self, now: MonotonicTime) -> None:
        gone = [
            who
            for who, m in self.table.items()
            if m.claim.state >= MemberState.DEAD and now - m.since > self.times.forget
        ]
        for who in gone:
            del self.table[who]
            self.fresh.pop(who, None)

    def _seed(self, now: MonotonicTime, out: list[OutboundMessage]) -> list[OutboundMessage]:
        """Whom the settings name and nobody has met. Each is tried now and then, also after a cut."""
        known = {self.where(m) for m in self.table.values() if m.there()}
        for address in self.seeds:
            if address not in known and now >= self.unmet.get(address, 0.0):
                self.unmet[address] = now + self.times.period * (1 + self.rng.random())
                self.number += 1
                out.append(OutboundMessage(address, NO_PROCESS, Ping(self.number, (self.mine,))))
        return out

    def _probe(self, now: MonotonicTime, out: list[OutboundMessage]) -> None:
        if self.probe is not None:
            return
        for _ in range(len(self.order) + len(self.table) + 1):
            if not self.order:
                self.order = [w for w, m in self.table.items() if m.there()]
                self.rng.shuffle(self.order)
                if not self.order:
                    return
            who = self.order.pop()
            member = self.table.get(who)
            if member is not None and member.there():
                break
        else:
            return
        self.number += 1
        wait = self.times.answer * self.slow
        self.probe = Probe(who, self.number, now + wait)
        out.append(OutboundMessage(self.where(member), who, Ping(self.number, self._news(who))))

    def _remind(self, out: list[OutboundMessage]) -> None:
        """Lifeguard's buddy, each period: suspects are told what is said of them, a few, the oldest first.

        One of the dead is told too: it may have been cut off, and nobody probes it any more.
        """
        suspects = sorted(self.suspects.values(), key=lambda m: m.since)
        dead = [m for m in self.table.values() if m.claim.state is MemberState.DEAD]
        told = [*suspects[: self.times.helpers], *self.rng.sample(dead, min(1, len(dead)))]
        for member in told if self.times.careful else ():
            self.number += 1
            out.append(
                OutboundMessage(
                    self.where(member), member.claim.who, Ping(self.number, self._news(member.claim.who))
                )
            )

    def _spread(self, out: list[OutboundMessage]) -> None:
        """While there is news it goes to a few by chance, each period, however slowly this process probes.

        Danger: piggybacked on probes alone, a refutation waits for processes that take themselves for slow.
        """
        if not self.times.careful or not (
            self.again or any(m.claim.incarnation for m in self.fresh.values())
        ):
            return
        for member in self._some(self.times.spread, lambda m: m.claim.state is MemberState.ALIVE):
            self.number += 1
            out.append(
                OutboundMessage(
                    self.where(member), member.claim.who, Ping(self.number, self._news(member.claim.who))
                )
            )

    def _unanswered(self, now: MonotonicTime, probe: Probe, out: list[OutboundMessage]) -> None:
        member = self.table.get(probe.who)
        if member is None:
            self.probe = None
        elif not probe.helped:
            probe.helped = True
            probe.ends = now + self.times.answer * 1.2 * self.slow
            helpers = self._some(
                self.times.helpers, lambda m: m.claim.state is MemberState.ALIVE and m.claim.who != probe.who
            )
            probe.helpers = len(helpers)
            ask = PingRequest(probe.number, probe.who, self.where(member), ())
            out += [OutboundMessage(self.where(h), h.claim.who, ask) for h in helpers]
        else:
            self.probe = None
            missed = probe.helpers - probe.nacks
            # Lifeguard: helpers that say nothing either point to this process; helpers that do, to the other.
            worse = missed if probe.helpers else 1
            self.health = min(self.times.health, self.health + max(0, worse))
            claim = member.claim
            suspect = Claim(claim.who, claim.incarnation, MemberState.SUSPECT, claim.address, claim.can)
            self._take(now, suspect, self.me)

    def _acked(self, number: int, answered: ProcessId, out: list[OutboundMessage]) -> None:
        if number in self.relayed:
            who, address, theirs, _ = self.relayed.pop(number)
            out.append(OutboundMessage(address, who, Ack(theirs, answered, ())))
        if self.probe is not None and self.probe.number == number and self.probe.who == answered:
            self.probe = None
            self.health = max(0, self.health - 1)

    def _take(self, now: MonotonicTime, claim: Claim, by: ProcessId) -> bool:
        """Gives whether it was news."""
        if claim.who == self.me:
            self._of_us(claim)
            return False
        member = self.table.get(claim.who)
        if member is None:
            if claim.state is not MemberState.ALIVE or len(self.table) >= MAX_MEMBERS:
                return False  # the dead whom nobody knows here are forgotten
            self.table[claim.who] = self.fresh[claim.who] = Member(claim, now)
            self.news.append((claim.who, MemberState.ALIVE))
            self.order.insert(self.rng.randint(0, len(self.order)), claim.who)
            return True
        old = member.claim
        if claim.over(old):
            if claim.state is not old.state:
                member.since = now
                member.by = {by} if claim.state is MemberState.SUSPECT and by != self.me else set()
                self.news.append((claim.who, claim.state))
            member.claim, member.passed = claim, 0
            self.fresh[claim.who] = member
            self.suspects.pop(claim.who, None)
            if claim.state is MemberState.SUSPECT:
                self.suspects[claim.who] = member
            return True
        if claim.state is MemberState.SUSPECT and claim.incarnation == old.incarnation:
            if by != self.me and by not in member.by and len(member.by) < self.times.confirmations:
                member.by.add(by)
                member.passed, self.fresh[claim.who] = 0, member  # that others suspect it too is news
        return False

    def _of_us(self, claim: Claim) -> None:
        """Danger: what others say of this process is refuted, never believed."""
        if self.mine.state is MemberState.LEFT or claim.state is MemberState.ALIVE:
            if claim.incarnation > self.mine.incarnation and self.mine.state is not MemberState.LEFT:
                self.mine = Claim(
                    self.me, claim.incarnation + 1, MemberState.ALIVE, self.mine.address, self.mine.can
                )
            return
        if claim.incarnation >= self.mine.incarnation:
            self.false_alarms += 1
            self.health = min(self.times.health, self.health + 1)
            self.mine = Claim(self.me, claim.incarnation, MemberState.ALIVE, self.mine.address, self.mine.can)
            self.mine = self._of_me(MemberState.ALIVE)

    def _news(self, to: ProcessId) -> tuple[Claim, ...]:
        """The claims that were passed on least, ours first while it is news; bounded, each so often."""
        most = self._resends()
        for who in [who for who, m in self.fresh.items() if m.passed >= most]:
            del self.fresh[who]
        fresh = sorted((m for m in self.fresh.values() if m.claim.incarnation), key=lambda m: m.passed)
        first: list[Claim] = []
        if (theirs := self.table.get(to)) is not None and theirs.claim.state is not MemberState.ALIVE:
            # Danger: one that is not told what is said of it can't refute it, and stays dead to us for ever.
            first.append(theirs.claim)
            fresh = [m for m in fresh if m is not theirs]
        if self.again > 0 or theirs is None or not theirs.claim.incarnation:
            first.append(self.mine)
            self.again = max(0, self.again - 1)
        some = fresh[: self.times.claims - len(first)]
        for member in some:
            member.passed += 1
        return (*first, *(m.claim for m in some))

    def _some(self, count: int, which: Callable[[Member], bool]) -> list[Member]:
        fit = [m for m in self.table.values() if which(m)]
        return self.rng.sample(fit, min(count, len(fit)))

    def _ask_page(self, now: MonotonicTime, out: list[OutboundMessage]) -> None:
        # One that has just begun knows few, and what was news before it came reaches it by pages only.
        young = now - self.began < JOIN_EXCHANGES * self.times.exchange
        self.next_page = now + self.times.exchange * (0.75 + self.rng.random() / 2) / (
            JOIN_EXCHANGES if young else 1
        )
        for member in self._some(1, lambda m: m.claim.state is MemberState.ALIVE):
            out.append(OutboundMessage(self.where(member), member.claim.who, PageRequest(self.page_after)))

    def _page(self, after: ProcessId) -> Page:
        claims = [self.mine, *(m.claim for m in self.table.values() if m.claim.incarnation)]
        rest = sorted((c for c in claims if c.who > after), key=lambda c: c.who)
        return Page(tuple(rest[: self.times.page]), len(rest) <= self.times.page)
