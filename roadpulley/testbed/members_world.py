"""Members in virtual time: many machines of one process each, links with loss and delay, deaths and stops."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from roadpulley.fleet.duties.terms import ProcessId
from roadpulley.fleet.members.messages import MemberState, SwimParameters
from roadpulley.fleet.members.state_machine import Membership, OutboundMessage
from roadpulley.fleet.peers.envelope import Codec

KEY = b"k" * 32  # so that bytes are counted as they are sent
MAX_DELAY_S = 0.004


@dataclass
class Seen:
    """What a play showed. Times are seconds."""

    datagrams: int = 0
    bytes: int = 0
    deaths: dict[tuple[str, str], float] = field(default_factory=dict)  # who heard of whose death, when
    false: list[tuple[float, str, str]] = field(default_factory=list)  # when, who, of whom
    wrong_s: float = 0.0  # seconds in which somebody who lived was dead to somebody, added up


class MembersWorld:
    """`cut` says whether a datagram from one to another is lost at a time, beside the loss by chance."""

    def __init__(
        self,
        count: int,
        seed: int,
        loss: float = 0.0,
        times: SwimParameters | None = None,
        cut: Callable[[float, str, str], bool] = lambda now, a, b: False,
    ) -> None:
        self.rng, self.loss, self.cut, self.now = random.Random(seed), loss, cut, 0.0
        self.names = [f"m{n:03}" for n in range(count)]
        self.boots = dict.fromkeys(self.names, 1)
        self.times = times or SwimParameters()
        self.machines = {name: self._made(name) for name in self.names}
        self.codec = Codec("world", "m000", 1, KEY)
        self.dead: set[str] = set()
        self.stopped: dict[str, float] = {}  # until when
        self.unread: dict[str, list[tuple[OutboundMessage, str, ProcessId]]] = {}  # of those that are stopped
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count, self.seen = 0, Seen()
        self.wrong: dict[tuple[str, str], float] = {}
        for name in self.names:
            self.at(self.rng.random() * self.times.period, partial(self._tick, name))

    def _made(self, name: str) -> Membership:
        seeds = [n for n in self.names[:3] if n != name]
        return Membership(
            ProcessId(name, self.boots[name]),
            name,
            1,
            {},
            seeds,
            self.times,
            random.Random(self.rng.random()),
        )

    def at(self, when: float, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, act))

    def run(self, until: float) -> Seen:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = until
        for key, since in list(self.wrong.items()):
            self.seen.wrong_s += until - since
            self.wrong[key] = until
        return self.seen

    def kill(self, name: str) -> None:
        self.dead.add(name)

    def stop(self, name: str, seconds: float) -> None:
        """As SIGSTOP: nothing is read, sent or timed; what comes waits in the socket."""
        self.stopped[name] = self.now + seconds
        self.at(self.now + seconds, lambda: self._wake(name))

    def _wake(self, name: str) -> None:
        """Danger: timers that are over fire before what lies unread is read, as an event loop does it."""
        self.stopped.pop(name, None)
        self._tick(name, again=False)
        for tell, source, who in self.unread.pop(name, []):
            self._heard(name, tell, source, who)

    def _tick(self, name: str, again: bool = True) -> None:
        if name in self.dead:
            return
        machine = self.machines[name]
        if name in self.stopped:
            if again:
                self.at(self.stopped[name] + 0.001, lambda: self._tick(name))
            return
        self._send(name, machine.tick(self.now))
        self._look(name)
        if again:
            self.at(max(self.now + 0.0005, machine.next_deadline()), lambda: self._tick(name))

    def _send(self, name: str, tells: list[OutboundMessage]) -> None:
        for tell in tells:
            self.seen.datagrams += 1
            self.seen.bytes += sum(map(len, self.codec.pack(1, [self.codec.encode_body(tell.body)])))
            if self.rng.random() < self.loss or self.cut(self.now, name, tell.address):
                continue
            delay = self.rng.uniform(0.0002, MAX_DELAY_S)
            who = self.machines[name].self_id
            self.at(self.now + delay, partial(self._arrive, tell, name, who))

    def _arrive(self, tell: OutboundMessage, source: str, who: ProcessId) -> None:
        target = tell.address
        if target in self.dead or target not in self.machines:
            return
        if target in self.stopped:
            self.unread.setdefault(target, []).append((tell, source, who))
            return
        self._heard(target, tell, source, who)

    def _heard(self, target: str, tell: OutboundMessage, source: str, who: ProcessId) -> None:
        self._send(target, self.machines[target].handle_message(self.now, who, source, tell.body))
        self._look(target)

    def _look(self, name: str) -> None:
        """Which deaths it has just heard of, and which of them are none."""
        machine = self.machines[name]
        for who, state in machine.state_changes:
            key = (name, who.name)
            if state is MemberState.DEAD and who.name in self.dead:
                self.seen.deaths.setdefault(key, self.now)
            elif state is MemberState.DEAD:
                self.seen.false.append((self.now, name, who.name))
                self.wrong[key] = self.now
            elif state is MemberState.ALIVE and key in self.wrong:
                self.seen.wrong_s += self.now - self.wrong.pop(key)
        machine.state_changes.clear()

    def all_seen(self) -> bool:
        """Whether everybody who lives sees exactly those who live."""
        alive = {n for n in self.names if n not in self.dead}
        return all({c.process.name for c in self.machines[n].active_claims()} == alive for n in alive)
