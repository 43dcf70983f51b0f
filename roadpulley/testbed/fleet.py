"""A fleet of agents as processes on this machine, with faults between them and a register that they
act on."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType

from roadpulley.fleet.clock import CLOCK_RATE_VARIABLE, WALL_OFFSET_VARIABLE
from roadpulley.fleet.duties.probe import PAUSE_ENV
from roadpulley.fleet.rights.messages import Limit

from .holders import Belief, Judgement, beliefs, judge, read_lines
from .limits import Spent
from .links import Links
from .processes import end_with_parent
from .register import Register
from .server import LOCAL, DatagramPort
from .spender import READY
from .stalling import SECONDS

END_S = 3.0
LOOK_S = 0.02
STALL_LEASES = 3  # for which a loop stands, where that is the fault
ATTEMPTS_S = 30.0  # for what a test waits for; a machine under load is slow


@dataclass(frozen=True)
class FleetPlan:
    """Seconds. Short leases, so that a play is short."""

    voters: int = 3
    others: int = 0
    duties: int = 2
    lease: float = 1.0
    drift: float = 0.05
    margin: float = 0.1
    answer: float = 0.08
    period: float = 0.15
    every: float = 0.02  # between two acts of a probe
    settle: float = 60.0
    pause: float = 0.0  # between its check and its act
    key: bool = True
    state: bool = False  # whether voters remember used fences on disk
    limit: Limit | None = None  # of each customer of the plan `paid`, over all gateways
    rights_lease: float = 1.0
    orders: bool = False  # whether operators' orders are followed
    orders_holds: float = 2.0
    cut_off: str = "keep"  # what holds where no orders are heard
    open_lease: float = 3.0
    counts: bool = False  # whether instances are a counter together
    parts: int = 1
    seed: int = 1

    @property
    def names(self) -> list[str]:
        return [f"v{n}" for n in range(self.voters)] + [f"o{n}" for n in range(self.others)]

    @property
    def duty_names(self) -> list[str]:
        return [f"duty-{n}" for n in range(self.duties)]


@dataclass
class Member:
    """One instance: its settings, and its process while one runs."""

    name: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    rate: float = 1.0
    offset_ms: int = 0  # of its wall clock
    stopped: bool = False

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(frozen=True)
class Load:
    """Of one spender: so many wishes a second, each of so many units, that wait for so many seconds."""

    rate: float
    units: float = 1.0
    within: float = 0.1
    limit: str = "paid/acme"


@dataclass(kw_only=True)
class Spender(Member):
    """`settings`: the socket of its instance."""

    load: Load


@dataclass(frozen=True)
class Wished:
    """Paid `at` that time or not paid, `after` so many seconds."""

    at: float
    limit: str
    units: float
    paid: bool
    after: float
    by: str


def read_wishes(spender: Spender) -> list[Wished]:
    """A last line that was cut off by its end is passed over: what it says was not acted on."""
    out = []
    for line in spender.log.read_bytes().splitlines(keepends=True):
        words = line.decode().split(" ")
        if line.endswith(b"\n") and len(words) == 5:
            at, limit, units, paid, after = words
            out.append(Wished(float(at), limit, float(units), paid == "1", float(after), spender.log.name))
    return out


@dataclass
class Fleet:
    plan: FleetPlan
    folder: Path
    rng: random.Random = field(init=False)
    register: Register = field(default_factory=Register)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.plan.seed)
        self.links = Links(self.plan.names, self.rng)
        self.members: dict[str, Member] = {}
        self.ports: dict[str, DatagramPort] = {}
        self.beside: list[Member] = []  # second processes of a name
        self.spenders: list[Spender] = []

    async def __aenter__(self) -> Fleet:
        await self.register.start()
        await self.links.open()
        self._settle()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, _: TracebackType | None
    ) -> None:
        for member in [*self.members.values(), *self.beside, *self.spenders]:
            member.signal(signal.SIGKILL)
            if member.process is not None:
                await member.process.wait()
        self.links.close()
        for port in self.ports.values():
            port.free()
        await self.register.close()

    def _settle(self) -> None:
        """Settings by instance: each sees the others at the ports that stand for them."""
        if self.plan.key:
            key = self.folder / "fleet.key"
            key.write_bytes(self.rng.randbytes(32))
            key.chmod(0o600)
        for name in self.plan.names:
            self.ports[name] = DatagramPort()
            self.links.real[name] = (LOCAL, self.ports[name].number)
        for name in self.plan.names:
            path = self.folder / f"{name}.toml"
            path.write_text(self._toml(name))
            self.members[name] = Member(name, path, self.folder / f"{name}.log")

    def _toml(self, name: str) -> str:
        plan = self.plan

        def row(other: str) -> str:
            host, port = self.links.real[name]
            return f'{other} = "{f"{host}:{port}" if other == name else self.links.at(name, other)}"'

        lines = ['installation = "trial"', f'control = "run-{name}"']
        lines += ['key = "fleet.key"'] if plan.key else []
        lines += [f'state = "state-{name}"'] if plan.state else []
        lines += [f"settle_s = {plan.settle}", "[voters]", *(row(n) for n in plan.names[: plan.voters])]
        lines += ["[others]", *(row(n) for n in plan.names[plan.voters :])]
        lines += ["[lease]", f"seconds = {plan.lease}", f"drift = {plan.drift}", f"margin_s = {plan.margin}"]
        lines += [f"answer_s = {plan.answer}", "[members]", f"period_s = {plan.period}"]
        if plan.limit is not None:
            lines += ["[rights]", f"lease_s = {plan.rights_lease}", f"parts = {plan.parts}", "ceilings = 1.0"]
            lines += ["[rights.limits.paid]", f"rate = {plan.limit.rate}", f"burst = {plan.limit.burst}"]
        lines += ["[counts]"] if plan.counts else []
        if plan.orders:
            lines += ["[orders]", "poll_s = 0.1", f"holds_s = {plan.orders_holds}"]
            lines += [f'cut_off = "{plan.cut_off}"', f"open_lease_s = {plan.open_lease}"]
        for duty in plan.duty_names:
            lines += [f"[duties.{duty}]", 'work = "probe"', f'address = "{self.register.address}"']
            lines += [f"every_s = {plan.every}"]
        return "\n".join(lines) + "\n"

    # ---- processes ----

    async def start(self, *names: str, rate: float = 1.0, offset_ms: int = 0) -> None:
        for name in names or self.plan.names:
            member = self.members[name]
            member.rate, member.offset_ms, member.stopped = rate, offset_ms, False
            member.process = await self._spawn(member)

    async def start_beside(self, name: str) -> Member:
        """A second process of one name."""
        first = self.members[name]
        second = Member(name, first.settings, first.log, rate=first.rate)
        second.process = await self._spawn(second)
        self.beside.append(second)
        return second

    async def _spawn(self, member: Member) -> asyncio.subprocess.Process:
        parent = os.getpid()
        env = {**os.environ, "ROADPULLEY_LOG": "debug", CLOCK_RATE_VARIABLE: str(member.rate)}
        env |= {WALL_OFFSET_VARIABLE: str(member.offset_ms), SECONDS: str(self.plan.lease * STALL_LEASES)}
        env[PAUSE_ENV] = str(self.plan.pause)
        command = ["-m", "roadpulley.testbed.stalling", "fleet", "--settings", str(member.settings), "agent"]
        with member.log.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                "--name",
                member.name,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stderr=log,
                preexec_fn=lambda: end_with_parent(parent),
                start_new_session=True,
            )

    async def spend(self, name: str, load: Load, rate: float = 1.0) -> Spender:
        """A process beside an instance that spends what it gets of a limit."""
        log = self.folder / f"{name}.spender{len(self.spenders)}.log"
        spender = Spender(name, self.folder / f"run-{name}" / f"{name}.beside", log, rate=rate, load=load)
        self.spenders.append(spender)
        await self.spend_again(spender)
        return spender

    async def spend_again(self, spender: Spender) -> None:
        parent, load = os.getpid(), spender.load
        env = {**os.environ, CLOCK_RATE_VARIABLE: str(spender.rate)}
        words = (spender.settings, load.limit, load.rate, load.units, load.within, self.rng.randrange(2**32))
        with spender.log.open("ab") as log:
            before = spender.log.read_bytes().count(READY)
            spender.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "roadpulley.testbed.spender",
                *(str(word) for word in words),
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                preexec_fn=lambda: end_with_parent(parent),
                start_new_session=True,
            )
        if not load.rate:
            # Danger: a signal that comes before its handler is there ends the process.
            await self.until(lambda: spender.log.read_bytes().count(READY) > before, "a spender that hears")

    def kill(self, *names: str) -> None:
        for name in names:
            self.members[name].signal(signal.SIGKILL)

    def stop(self, *names: str) -> None:
        for name in names:
            self.members[name].signal(signal.SIGSTOP)
            self.members[name].stopped = True

    def stall(self, name: str) -> None:
        """Its event loop stands still; what works in its other threads goes on."""
        self.members[name].signal(signal.SIGUSR1)

    def go_on(self, *names: str) -> None:
        for name in names:
            self.members[name].signal(signal.SIGCONT)
            self.members[name].stopped = False

    async def end(self, *names: str) -> None:
        """SIGTERM, and wait for the end."""
        for name in names:
            self.members[name].signal(signal.SIGTERM)
        for name in names:
            process = self.members[name].process
            if process is not None:
                await asyncio.wait_for(process.wait(), END_S)

    async def gone(self, *names: str) -> None:
        """Wait until those that were killed are no more."""
        ending = [self.members[name].process for name in names]
        for process in ending:
            if process is not None:
                await process.wait()

    # ---- what is seen ----

    def holder(self, duty: str) -> str | None:
        """Who acted last."""
        act = next((a for a in reversed(self.register.acts) if a.duty == duty and a.taken), None)
        return act.words.rpartition(".")[0] if act else None

    def fence(self, duty: str) -> int:
        return self.register.highest.get(duty, (0, ""))[0]

    def acts(self, duty: str) -> int:
        return sum(1 for a in self.register.acts if a.duty == duty and a.taken)

    async def until(self, what: Callable[[], bool], words: str, within: float = ATTEMPTS_S) -> None:
        """Raises TimeoutError with what was waited for."""
        end = asyncio.get_running_loop().time() + within
        while not what():
            if asyncio.get_running_loop().time() > end:
                raise TimeoutError(f"within {within:g} s not seen: {words}")
            await asyncio.sleep(LOOK_S)

    async def all_held(self, duties: Sequence[str] = ()) -> None:
        """Each duty is acted on, from now on."""
        names = duties or self.plan.duty_names
        before = {d: self.acts(d) for d in names}
        await self.until(lambda: all(self.acts(d) > before[d] for d in names), "acts of every duty")

    def wishes(self) -> list[Wished]:
        """Of all spenders, in their order of time."""
        return sorted((w for s in self.spenders for w in read_wishes(s)), key=lambda w: w.at)

    def spends(self, limit: str) -> list[Spent]:
        return [Spent(w.at, w.limit, w.units, w.by) for w in self.wishes() if w.paid and w.limit == limit]

    def beliefs(self) -> list[Belief]:
        out: list[Belief] = []
        for member in self.members.values():
            if member.log.exists():
                out += beliefs(member.name, read_lines(member.log.read_bytes().splitlines()))
        return out

    def judge(self, least_gap: float = 0.0) -> Judgement:
        return judge(self.beliefs(), self.register.acts, least_gap)
