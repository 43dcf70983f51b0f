"""A gateway whose core is the bottleneck: goodput, and how fast the rest is refused.

    .venv/bin/python benchmarks/overload.py [--times 0.8 1 1.5 2] [--seconds 6] [--out FILE]

Saturation is measured first, with a closed loop; then requests are offered at multiples of it, at fixed times
that do not wait for answers. Twelve backends answer after 20 ms, so that only the gateway is short.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import Any, cast

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parent))

import request_cost as parts_of  # noqa: E402
from report import report  # noqa: E402
from request_cost import BACKENDS, CUSTOMERS, LOCAL, NODE_PROCESSES, ROOT, VALUE, Part  # noqa: E402

# Of all loaders together: more than are open at once, as answers come in order and a refusal would be timed
# with the served ones before it on its connection.
CONNECTIONS = 3_000
LOADERS = 3
SATURATING = 256  # open at once: more than the 20 ms of the backends need to keep the core busy
COLUMNS = (
    "offered x",
    "offered/s",
    "served/s",
    "goodput",
    "served p50",
    "served p99",
    "refused p50",
    "refused p99",
)


class Client(asyncio.Protocol):
    """Sends when it is told, and notes how long each answer took."""

    def __init__(self, ends: dict[str, list[float]]) -> None:
        self.ends, self.sent, self.held = ends, deque[float](), bytearray()
        self.free = deque[Client]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, serial: int, first: int) -> None:
        who = b"%016x" % (serial * 7919 % CUSTOMERS)
        listed = b"c=tile-view,t=bench,d=4000,units=1,spread=1,first=0"
        args = (b"API.READ", who, b"%08x%08x" % (first, serial), listed)
        self.sent.append(time.perf_counter())
        self.transport.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args))

    def data_received(self, data: bytes) -> None:
        self.held += data
        while self.held:
            line = self.held.find(b"\r\n")
            if line < 0:
                return
            served = self.held.startswith(b"$")
            end = line + 2 + (len(VALUE) + 2 if served else 0)
            if len(self.held) < end:
                return
            how = "served" if served else "refused" if self.held.startswith(b"-BUSY") else "failed"
            self.ends[how].append(time.perf_counter() - self.sent.popleft())
            del self.held[:end]
            if not self.sent:
                self.free.append(self)


async def offer(port: int, rate: float, seconds: float, first: int) -> None:
    """Offer a rate for some seconds after a time to settle; latencies are of what was asked after that."""
    ends: dict[str, list[float]] = {"served": [], "refused": [], "failed": []}
    loop = asyncio.get_running_loop()
    made = [
        await loop.create_connection(lambda: Client(ends), LOCAL, port) for _ in range(CONNECTIONS // LOADERS)
    ]
    clients = [cast(Client, client) for _, client in made]
    free = deque(clients)  # those without an open request, as far as is known
    for client in clients:
        client.free = free
    began, serial, settled = time.perf_counter(), 0, False
    while (now := time.perf_counter() - began) < parts_of.WARM_S * 2 + seconds:
        if not settled and now > parts_of.WARM_S * 2:
            settled = True
            for each in ends.values():
                each.clear()
        while serial < now * rate:
            while free and free[0].sent:
                free.popleft()
            client = free.popleft() if free else clients[serial % len(clients)]
            client.ask(serial, first)
            serial += 1
        await asyncio.sleep(0.001)
    figures = {how: sorted(round(s * 1000, 2) for s in got) for how, got in ends.items()}
    lost = sum(len(client.sent) for client in clients)
    counts = {how: len(got) for how, got in figures.items()}
    shown = {how: got[:: max(1, len(got) // 2_000)] for how, got in figures.items()}
    print(json.dumps({"counts": counts, "latencies": shown, "open": lost}), flush=True)


def at_rate(port: int, rate: float, seconds: float) -> dict[str, Any]:
    me = str(Path(__file__).resolve())
    loaders = [
        Part(sys.executable, me, "--role", str(port), str(rate / LOADERS), str(seconds), str(n))
        for n in range(LOADERS)
    ]
    results = [loader.line() for loader in loaders]
    for loader in loaders:
        loader.end()
    merged = {
        how: sorted(ms for r in results for ms in r["latencies"][how]) for how in results[0]["latencies"]
    }
    counts = {how: sum(r["counts"][how] for r in results) for how in merged}
    return {"counts": counts, "latencies": merged, "seconds": seconds}


def quantile(sorted_: list[float], share: float) -> float:
    return sorted_[min(len(sorted_) - 1, int(len(sorted_) * share))] if sorted_ else 0.0


def run(times: list[float], seconds: float) -> list[dict[str, Any]]:
    parts: list[Part] = []
    rows = []
    with tempfile.TemporaryDirectory(prefix="roadpulley-") as folder:
        try:
            parts += [
                parts_of.part("backends", str(BACKENDS // NODE_PROCESSES)) for _ in range(NODE_PROCESSES)
            ]
            ports = [port for each in parts for port in each.line()]
            parts.append(parts_of.part("surroundings", json.dumps(parts_of.hosts_of(ports))))
            counter, discovery = parts[-1].line()
            subject, port = parts_of.gateway(Path(folder), ports, counter, discovery)
            parts.append(subject)
            print(f"saturation, {SATURATING} open ...", file=sys.stderr, flush=True)
            full = parts_of.measure(subject, port, SATURATING, seconds)["a_second"]
            for factor in times:
                print(f"{factor:g} times {full:,.0f} a second ...", file=sys.stderr, flush=True)
                got = at_rate(port, full * factor, seconds)
                served, refused = got["latencies"]["served"], got["latencies"]["refused"]
                rows.append({
                    "times": factor, "offered": full * factor, "served": got["counts"]["served"] / seconds,
                    "goodput": got["counts"]["served"] / seconds / full, "counts": got["counts"],
                    "served_ms": [quantile(served, 0.5), quantile(served, 0.99)],
                    "refused_ms": [quantile(refused, 0.5), quantile(refused, 0.99)],
                })  # fmt: skip
        finally:
            for each in parts:
                each.end()
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    lines = ["| " + " | ".join(COLUMNS) + " |", "| ---: " * len(COLUMNS) + "|"]
    for r in rows:
        figures = [f"{r['times']:g}", f"{r['offered']:,.0f}", f"{r['served']:,.0f}", f"{r['goodput']:.0%}"]
        figures += [f"{ms:,.0f} ms" for ms in (*r["served_ms"], *r["refused_ms"])]
        lines.append("| " + " | ".join(figures) + " |")
    return "\n".join(lines)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--times", type=float, nargs="+", default=[0.8, 1.0, 1.5, 2.0])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "overload.json")
    parser.add_argument("--role", nargs=4, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.role:
        port, rate, seconds, first = args.role
        uvloop.run(offer(int(port), float(rate), float(seconds), int(first)))
        return 0
    rows = run(args.times, args.seconds)
    return report(table(rows), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
