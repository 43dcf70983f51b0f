"""What one request costs a gateway in CPU, against a bare RESP pass-through on the same loop library.

    .venv/bin/python benchmarks/request_cost.py [--open 4 32 256 1024] [--seconds 4] [--rounds 2] [--out FILE]
                                                [--customers 64] [--backends 12]

Twelve backends answer each request after 20 ms. A closed loop of clients keeps so many requests open; gateway
and pass-through are measured in turn, several rounds of each, in one run. CPU is what the operating system
booked to the process; the ratio of the two is the figure to compare between machines, not the times.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any, cast

import uvloop

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from report import report  # noqa: E402

from roadpulley.testbed import terms  # noqa: E402
from roadpulley.testbed.counter import Counter  # noqa: E402
from roadpulley.testbed.discovery import Discovery  # noqa: E402
from roadpulley.testbed.processes import end_with_parent  # noqa: E402
from roadpulley.testbed.server import LOCAL, Port  # noqa: E402

NODE_PROCESSES = 3
LOADERS = 2
BACKENDS = int(os.environ.get("BENCH_BACKENDS", "12"))  # the children are told so too
WORK_S = 0.020
WARM_S = 1.0
CUSTOMERS = int(os.environ.get("BENCH_CUSTOMERS", "64"))
VALUE = b"x" * 600
SUBJECT = os.environ.get("BENCH_PYTHON", sys.executable)  # runs the gateway: that of a compiled build, say
COLUMNS = (
    "open", "CPU us a request", "pass-through", "ratio", "requests/s", "pass-through", "p50 ms", "p99 ms",
    "refused",
)  # fmt: skip
ANSWER = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE)


# ---- parts, each in a process of its own ----


class Backend(asyncio.Protocol):
    """Answers each read, which holds one command, after the time of its work."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.loop = asyncio.get_running_loop()

    def data_received(self, data: bytes) -> None:
        self.loop.call_later(WORK_S, self.answer)

    def answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(ANSWER)


async def backends(ports: int) -> None:
    loop = asyncio.get_running_loop()
    made = [await loop.create_server(Backend, LOCAL, 0, backlog=4096) for _ in range(ports)]
    print(json.dumps([s.sockets[0].getsockname()[1] for s in made]), flush=True)
    await asyncio.Event().wait()


async def surroundings(hosts: list[dict[str, Any]]) -> None:
    """The counter and discovery."""
    counter, discovery = Counter(), Discovery()
    counter.keep_calls = False
    discovery.catalogue.seq = 1
    discovery.catalogue.whole = lambda dial: {"seq": 1, "whole": True, "hosts": hosts}  # type: ignore[method-assign]
    await counter.start()
    await discovery.start()
    print(json.dumps([counter.port, discovery.port]), flush=True)
    await asyncio.Event().wait()


class Through(asyncio.Protocol):
    """One end of a pair: what it reads the other one writes."""

    def __init__(self, other: Through | None = None) -> None:
        self.other, self.early = other, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.other is None:
            self.other = Through(self)
            port = PORTS[TURN[0] % len(PORTS)]
            TURN[0] += 1
            far = self.other
            asyncio.ensure_future(asyncio.get_running_loop().create_connection(lambda: far, LOCAL, port))
        elif self.other.early:
            self.transport.write(self.other.early)

    def data_received(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)
        else:
            self.early += data

    def connection_lost(self, error: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


PORTS: list[int] = []
TURN = [0]


async def pass_through(ports: list[int]) -> None:
    PORTS.extend(ports)
    server = await asyncio.get_running_loop().create_server(Through, LOCAL, 0, backlog=4096)
    print(json.dumps(server.sockets[0].getsockname()[1]), flush=True)
    await asyncio.Event().wait()


class Client(asyncio.Protocol):
    """Keeps one request open."""

    def __init__(self, number: int, latencies: list[float], ends: dict[str, int]) -> None:
        self.number, self.latencies, self.ends, self.serial, self.held = number, latencies, ends, 0, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask()

    def ask(self) -> None:
        self.serial += 1
        who = b"%016x" % ((self.number * 7919 + self.serial) % CUSTOMERS)
        id = b"%08x%08x" % (self.number, self.serial)
        listed = b"c=tile-view,t=bench,d=4000,units=1,spread=1,first=0"
        args = (b"API.READ", who, id, listed)
        self.began = time.perf_counter()
        self.transport.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args))

    def data_received(self, data: bytes) -> None:
        self.held += data
        if self.held[:1] in b"+-":
            whole, how = (
                self.held.endswith(b"\r\n"),
                "refused" if self.held.startswith(b"-BUSY") else "failed",
            )
        else:  # the gateway's value, or a whole answer that was passed through
            whole, how = len(self.held) >= len(VALUE) + 8 and self.held.endswith(b"\r\n"), "served"
            if self.held.startswith(b"*"):
                whole = len(self.held) >= len(ANSWER)
        if whole:
            self.held = b""
            self.ends[how] += 1
            if how == "served":
                self.latencies.append(time.perf_counter() - self.began)
            if how == "served":
                self.ask()
            else:  # it was told to come later
                asyncio.get_running_loop().call_later(0.05, self.ask)

    def connection_lost(self, error: Exception | None) -> None:
        self.ends["closed"] += 1


async def load(port: int, open_: int, seconds: float, first: int) -> None:
    latencies: list[float] = []
    ends: dict[str, int] = defaultdict(int)
    loop = asyncio.get_running_loop()
    for number in range(first, first + open_):
        await loop.create_connection(lambda n=number: Client(n, latencies, ends), LOCAL, port)  # type: ignore[misc]
    await asyncio.sleep(WARM_S)
    latencies.clear()
    ends.clear()
    print("warm", flush=True)
    await asyncio.sleep(seconds)
    latencies.sort()
    shown = latencies[:: max(1, len(latencies) // 2_000)]
    print(json.dumps({"ends": ends, "latencies": [round(s * 1000, 3) for s in shown]}), flush=True)


# ---- the run ----


class Part:
    """A child that says one JSON line when it is ready."""

    def __init__(
        self, *args: str, env: dict[str, str] | None = None, speaks: bool = True, judged: bool = False
    ) -> None:
        parent, cpus = os.getpid(), sorted(os.sched_getaffinity(0))
        own = {cpus[-1]} if judged else set(cpus[:-1]) or set(cpus)

        def prepare() -> None:
            end_with_parent(parent)
            os.sched_setaffinity(0, own)  # what is measured has a core to itself

        self.process = subprocess.Popen(
            args,
            stdout=subprocess.PIPE,
            stderr=None if speaks else subprocess.PIPE,
            text=True,
            env={**os.environ, **(env or {})},
            preexec_fn=prepare,
        )

    def line(self) -> Any:
        assert self.process.stdout is not None
        text = self.process.stdout.readline()
        if not text:
            raise SystemExit(f"{self.process.args!r} ended early")
        return json.loads(text) if text.strip() != "warm" else "warm"

    def cpu(self) -> float:
        """Seconds of CPU so far, as the scheduler booked them."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def part(role: str, *args: str, judged: bool = False) -> Part:
    return Part(sys.executable, str(Path(__file__).resolve()), "--role", role, *args, judged=judged)


def configuration(port: Port, ports: list[int], counter: int, discovery: int) -> dict[str, Any]:
    """Of a gateway whose one plan never runs short, for all benchmarks."""
    plan = {"name": "bench", "rate": 10_000.0, "mostAtOnce": 20_000.0}
    settings = {**terms.settings(0, 1), "packages": [plan], "caps": {**terms.CAPS, "maxOpen": 20_000}}
    return {
        "name": "n0",
        "listen": port.address,
        "discovery": f"{LOCAL}:{discovery}",
        "counter": f"{LOCAL}:{counter}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 8192},
        "known": {"seq": 1, "whole": True, "hosts": hosts_of(ports)},
        "settings": settings,
    }


def gateway(folder: Path, ports: list[int], counter: int, discovery: int) -> tuple[Part, int]:
    port = Port()
    config = configuration(port, ports, counter, discovery)
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    env = {"LB_CONFIG": str(path)}
    installed = ["-P"] if sys.executable != SUBJECT else []  # not the source in this folder
    made = Part(SUBJECT, *installed, "-m", "roadpulley", env=env, speaks=False, judged=True)
    assert made.process.stderr is not None
    while "serves at" not in made.process.stderr.readline():
        if made.process.poll() is not None:
            raise SystemExit("the gateway did not start")
    return made, port.number


def hosts_of(ports: list[int]) -> list[dict[str, Any]]:
    return [
        {"host": f"t{n}", "dial": f"{LOCAL}:{port}", "site": "zone-a", "class": "m2", "block": n // 4,
         "health": "up", "share": 1.0, "born_ms": 0}
        for n, port in enumerate(ports)
    ]  # fmt: skip


def measure(subject: Part, port: int, open_: int, seconds: float) -> dict[str, float]:
    shares = [open_ // LOADERS + (n < open_ % LOADERS) for n in range(LOADERS)]
    loaders = [
        part("load", str(port), str(s), str(seconds), str(n * 100_000)) for n, s in enumerate(shares) if s
    ]
    for each in loaders:
        each.line()
    cpu, began = subject.cpu(), time.monotonic()
    results = [each.line() for each in loaders]
    cpu, passed = subject.cpu() - cpu, time.monotonic() - began
    for each in loaders:
        each.end()
    ends: dict[str, int] = defaultdict(int)
    for result in results:
        for how, count in result["ends"].items():
            ends[how] += count
    answered = ends["served"] + ends["refused"] + ends["failed"]
    latencies = sorted(ms for result in results for ms in result["latencies"]) or [0.0]
    return {
        "cpu_us": cpu / max(1, answered) * 1e6,
        "a_second": answered / passed,
        "busy": cpu / passed,
        "p50_ms": latencies[len(latencies) // 2],
        "p99_ms": latencies[int(len(latencies) * 0.99)],
        "refused": ends["refused"],
        "failed": ends["failed"] + ends["closed"],
    }


def run(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    parts: list[Part] = []
    with tempfile.TemporaryDirectory(prefix="roadpulley-") as folder:
        try:
            parts += [part("backends", str(args.backends // NODE_PROCESSES)) for _ in range(NODE_PROCESSES)]
            ports = [port for each in parts for port in each.line()]
            parts.append(part("surroundings", json.dumps(hosts_of(ports))))
            counter, discovery = parts[-1].line()
            through = part("pass-through", json.dumps(ports), judged=True)
            parts.append(through)
            subjects = {"pass-through": (through, int(through.line()))}
            subject, port = gateway(Path(folder), ports, counter, discovery)
            parts.append(subject)
            subjects["gateway"] = (subject, port)
            for open_ in args.open:
                got: dict[str, list[dict[str, float]]] = defaultdict(list)
                for round_ in range(args.rounds):
                    for name, (which, at) in subjects.items():
                        print(f"{open_} open, round {round_ + 1}, {name} ...", file=sys.stderr, flush=True)
                        got[name].append(measure(which, at, open_, args.seconds))
                median = {
                    name: {key: statistics.median(r[key] for r in rounds) for key in rounds[0]}
                    for name, rounds in got.items()
                }
                ratio = median["gateway"]["cpu_us"] / median["pass-through"]["cpu_us"]
                rows.append({"open": open_, "ratio": ratio, **median})
        finally:
            for each in parts:
                each.end()
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    lines = ["| " + " | ".join(COLUMNS) + " |", "| ---: " * len(COLUMNS) + "|"]
    for row in rows:
        g, p = row["gateway"], row["pass-through"]
        figures = (
            row["open"],
            g["cpu_us"],
            p["cpu_us"],
            g["a_second"],
            p["a_second"],
            g["p50_ms"],
            g["p99_ms"],
        )
        open_, cost, bare, *rest = (f"{figure:,.0f}" for figure in figures)
        cells = [open_, cost, bare, f"{row['ratio']:.1f}", *rest, f"{g['refused']:,.0f}"]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--open", type=int, nargs="+", default=[4, 32, 256, 1024])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "request_cost.json")
    parser.add_argument("--customers", type=int, default=CUSTOMERS)
    parser.add_argument("--backends", type=int, default=BACKENDS, help="a multiple of 3")
    parser.add_argument("--role", help=argparse.SUPPRESS)
    parser.add_argument("rest", nargs="*", help=argparse.SUPPRESS)
    args = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(16_384, hard), hard))
    roles = {
        "backends": lambda: backends(int(args.rest[0])),
        "surroundings": lambda: surroundings(json.loads(args.rest[0])),
        "pass-through": lambda: pass_through(json.loads(args.rest[0])),
        "load": lambda: load(int(args.rest[0]), int(args.rest[1]), float(args.rest[2]), int(args.rest[3])),
    }
    if args.role:
        uvloop.run(roles[args.role]())
        return 0
    os.environ.update(BENCH_CUSTOMERS=str(args.customers), BENCH_BACKENDS=str(args.backends))
    rows = run(args)
    return report(table(rows), rows, args.out, seconds=args.seconds)


if __name__ == "__main__":
    sys.exit(main())
