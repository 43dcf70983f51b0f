"""Requests a second of 1, 2 and 4 workers on one address, on as many cores of their own.

    .venv/bin/python benchmarks/workers.py [--workers 1 2 4] [--seconds 4] [--out FILE]

Workers get the machine's last cores, all else the first; where there are too few cores for both, the table
says how many each had, and the ratio is a lower bound.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

import request_cost as parts_of  # noqa: E402
from report import report  # noqa: E402
from request_cost import BACKENDS, NODE_PROCESSES, ROOT, Part, hosts_of  # noqa: E402

from roadpulley.testbed.server import Port  # noqa: E402

OPEN_EACH = 192  # requests open for each worker: enough to keep its core busy
LOADERS = 4
COLUMNS = (
    "workers",
    "cores for them",
    "requests/s",
    "times one",
    "CPU us a request",
    "p50 ms",
    "p99 ms",
    "refused",
)


def start(
    folder: Path, workers: int, ports: list[int], counter: int, discovery: int, *more: str
) -> tuple[Part, Port]:
    """`more`: further options of `serve`."""
    port = Port()
    config = parts_of.configuration(port, ports, counter, discovery)
    path = folder / f"{workers}.json"
    path.write_text(json.dumps(config))
    command = ("-m", "roadpulley.cli", "serve", "--config", str(path), "--workers", str(workers), *more)
    made = Part(sys.executable, *command, speaks=False)
    assert made.process.stderr is not None
    serving = 0
    while serving < workers:
        line = made.process.stderr.readline()
        if not line:
            raise SystemExit("the workers did not start")
        serving += "serves at port" in line
    return made, port


def children(pid: int) -> list[int]:
    return [int(c) for c in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def cpu_of(pids: list[int]) -> float:
    return sum(int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) for pid in pids) / 1e9


def measure(pids: list[int], port: int, open_: int, seconds: float) -> dict[str, float]:
    each = open_ // LOADERS
    loaders = [
        parts_of.part("load", str(port), str(each), str(seconds), str(n * 100_000)) for n in range(LOADERS)
    ]
    for loader in loaders:
        loader.line()
    cpu, began = cpu_of(pids), time.monotonic()
    results = [loader.line() for loader in loaders]
    cpu, passed = cpu_of(pids) - cpu, time.monotonic() - began
    for loader in loaders:
        loader.end()
    ends: dict[str, int] = defaultdict(int)
    for result in results:
        for how, count in result["ends"].items():
            ends[how] += count
    latencies = sorted(ms for result in results for ms in result["latencies"]) or [0.0]
    answered = max(1, ends["served"] + ends["refused"] + ends["failed"])
    return {
        "a_second": ends["served"] / passed,
        "cpu_us": cpu / answered * 1e6,
        "p50_ms": latencies[len(latencies) // 2],
        "p99_ms": latencies[int(len(latencies) * 0.99)],
        "refused": ends["refused"] / answered,
    }


def run(counts: list[int], seconds: float) -> list[dict[str, Any]]:
    cpus = sorted(os.sched_getaffinity(0))
    rows: list[dict[str, Any]] = []
    parts: list[Part] = []
    with tempfile.TemporaryDirectory(prefix="roadpulley-") as folder:
        try:
            room = max(1, min(max(counts), len(cpus) // 2))
            mine, others = set(cpus[-room:]), set(cpus[:-room]) or set(cpus)
            parts += [
                parts_of.part("backends", str(BACKENDS // NODE_PROCESSES)) for _ in range(NODE_PROCESSES)
            ]
            ports = [port for each in parts for port in each.line()]
            parts.append(parts_of.part("surroundings", json.dumps(hosts_of(ports))))
            counter, discovery = parts[-1].line()
            for part in parts:
                os.sched_setaffinity(part.process.pid, others)
            for workers in counts:
                print(f"{workers} workers ...", file=sys.stderr, flush=True)
                subject, port = start(Path(folder), workers, ports, counter, discovery)
                parts.append(subject)
                pids = children(subject.process.pid)
                own = sorted(mine)[: max(1, min(workers, room))]
                for pid in pids:
                    os.sched_setaffinity(pid, own)
                os.sched_setaffinity(0, others)
                got = measure(pids, port.number, OPEN_EACH * workers, seconds)
                os.sched_setaffinity(0, set(cpus))
                subject.process.send_signal(signal.SIGTERM)
                subject.process.wait(timeout=20)
                rows.append({"workers": workers, "cores": len(own), **got})
        finally:
            for each in parts:
                each.end()
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    lines = ["| " + " | ".join(COLUMNS) + " |", "| ---: " * len(COLUMNS) + "|"]
    for r in rows:
        times = r["a_second"] / rows[0]["a_second"]
        cells = [
            str(r["workers"]),
            str(r["cores"]),
            f"{r['a_second']:,.0f}",
            f"{times:.2f}",
            f"{r['cpu_us']:.0f}",
        ]
        cells += [f"{r['p50_ms']:.0f}", f"{r['p99_ms']:.0f}", f"{r['refused']:.1%}"]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--workers", type=int, nargs="+", default=[1, 2, 4])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "workers.json")
    args = parser.parse_args()
    rows = run(args.workers, args.seconds)
    return report(table(rows), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
