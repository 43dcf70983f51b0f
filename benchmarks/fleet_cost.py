"""What a request costs a gateway that is an instance of a fleet, in turn with one that is none.

    python benchmarks/fleet_cost.py [--rounds 5] [--seconds 4] [--out FILE]

One worker under its supervisor, which runs the instance; two more instances vote. Sixteen duties are acted
on every half second. CPU is that of worker and supervisor together; the ratio is the median over pairs of
rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

import request_cost as parts_of  # noqa: E402
import workers as serving  # noqa: E402
from report import report  # noqa: E402
from request_cost import BACKENDS, NODE_PROCESSES, Part, hosts_of  # noqa: E402

from roadpulley.testbed.register import Register  # noqa: E402
from roadpulley.testbed.server import DatagramPort  # noqa: E402

OUT = Path(__file__).resolve().parent / "out" / "fleet_cost.json"
DUTIES = 16
SETTLE_S = 6.0
PAGE = os.sysconf("SC_PAGE_SIZE")


def rss_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 2**20


def settings(folder: Path, register: str) -> Path:
    ports = {name: DatagramPort() for name in ("a", "b", "c")}
    rows = [f'{name} = "{port.address}"' for name, port in ports.items()]
    duties = [f'[duties.d{n}]\nwork = "probe"\naddress = "{register}"\nevery_s = 0.5' for n in range(DUTIES)]
    path = folder / "fleet.toml"
    path.write_text(
        "\n".join(['installation = "cost"', 'control = "run"', "[voters]", *rows, *duties]) + "\n"
    )
    return path


def register() -> str:
    """Its address; it answers from a thread of this process."""
    made, ready = Register(), threading.Event()

    async def serve() -> None:
        await made.start()
        ready.set()
        await asyncio.Event().wait()

    threading.Thread(target=lambda: asyncio.run(serve()), daemon=True).start()
    ready.wait()
    return made.address


def one(
    folder: Path, ports: list[int], around: tuple[int, int], more: tuple[str, ...], seconds: float
) -> Any:
    subject, port = serving.start(folder, 1, ports, *around, *more)
    drain = threading.Thread(target=subject.process.stderr.read, daemon=True)  # type: ignore[union-attr]
    drain.start()
    try:
        pid = subject.process.pid
        [worker] = serving.children(pid)
        time.sleep(SETTLE_S)
        got = serving.measure([pid, worker], port.number, serving.OPEN_EACH, seconds)
        return {**got, "supervisor_mb": rss_mb(pid), "worker_mb": rss_mb(worker)}
    finally:
        subject.process.send_signal(signal.SIGTERM)
        subject.process.wait(timeout=20)


def run(rounds: int, seconds: float) -> list[dict[str, Any]]:
    rows, parts, agents = [], list[Part](), list[subprocess.Popen[bytes]]()
    with tempfile.TemporaryDirectory(prefix="roadpulley-") as place:
        folder = Path(place)
        path = settings(folder, register())
        try:
            for name in ("b", "c"):
                command = ("-m", "roadpulley.cli", "fleet", "--settings", str(path), "agent", "--name", name)
                agents.append(subprocess.Popen([sys.executable, *command], stderr=subprocess.DEVNULL))
            parts += [
                parts_of.part("backends", str(BACKENDS // NODE_PROCESSES)) for _ in range(NODE_PROCESSES)
            ]
            ports = [port for each in parts for port in each.line()]
            parts.append(parts_of.part("surroundings", json.dumps(hosts_of(ports))))
            around = tuple(parts[-1].line())
            for number in range(rounds):
                print(f"round {number + 1} of {rounds}", file=sys.stderr, flush=True)
                for fleet in (False, True):
                    more = ("--fleet", str(path), "--name", "a") if fleet else ()
                    rows.append({"fleet": fleet, **one(folder, ports, around, more, seconds)})
        finally:
            for agent in agents:
                agent.kill()
            for each in parts:
                each.end()
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    without, beside = ([r for r in rows if r["fleet"] is on] for on in (False, True))
    ratios = [b["cpu_us"] / a["cpu_us"] for a, b in zip(without, beside, strict=True)]
    columns = ("cpu_us", "p50_ms", "p99_ms", "supervisor_mb", "worker_mb")
    lines = ["| | " + " | ".join(columns) + " |", "| --- " * (len(columns) + 1) + "|"]
    for words, of in (("no fleet", without), ("in a fleet", beside)):
        cells = [f"{statistics.median(r[c] for r in of):.1f}" for c in columns]
        lines.append(f"| {words} | " + " | ".join(cells) + " |")
    span = f"{min(ratios):.3f} to {max(ratios):.3f}"
    return "\n".join(
        [*lines, f"CPU a request, in a fleet over none: {statistics.median(ratios):.3f} ({span})"]
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--out", type=Path, default=OUT)
    args = parser.parse_args()
    rows = run(args.rounds, args.seconds)
    return report(table(rows), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
