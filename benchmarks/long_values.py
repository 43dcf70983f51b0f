"""How much memory a gateway takes for long values, by their number and length, in both directions.

    .venv/bin/python benchmarks/long_values.py [--memory 80] [--out FILE]

Answers: so many clients ask at once, take 4 KiB and stand still while a second passes; then they read to the
end. Requests: so many clients send a value of the length at once. The peak is what the operating system told
for the process (VmHWM) less what it held before; `sum` is what holding all values whole would take.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from report import report  # noqa: E402

from roadpulley.testbed import terms  # noqa: E402
from roadpulley.testbed.counter import Counter  # noqa: E402
from roadpulley.testbed.discovery import Discovery  # noqa: E402
from roadpulley.testbed.load_generator import encode  # noqa: E402
from roadpulley.testbed.processes import end_with_parent  # noqa: E402
from roadpulley.testbed.server import LOCAL, Port  # noqa: E402

KIB = 1024
MIB = 1024 * 1024
CASES = [(1, 4 * MIB), (20, 4 * MIB), (100, 4 * MIB), (200, MIB), (200, 100 * KIB)]
BACKENDS = 12
STILL_S = 1.0
FIRST = 4 * KIB
WAIT_S = 60.0  # a request's time, and of its class
LIMIT_S = 120.0  # of one case


async def serve_values(lengths: dict[bytes, int], servers: list[asyncio.Server]) -> list[int]:
    """Backends that answer with a value of the length that the request's id begins with."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                count = int((await reader.readline()).strip()[1:] or 0)
                if not count:
                    break
                args = []
                for _ in range(count):
                    size = int((await reader.readline()).strip()[1:])
                    args.append((await reader.readexactly(size + 2))[:-2])
                length = lengths.get(args[2].split(b"-")[0], 2)
                writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (length, b"v" * length))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    for _ in range(BACKENDS):
        servers.append(await asyncio.start_server(talk, LOCAL, 0, limit=8 * MIB, backlog=512))
    return [server.sockets[0].getsockname()[1] for server in servers]


def configuration(port: Port, ports: list[int], counter: int, discovery: int, memory: int) -> dict[str, Any]:
    plan = {"name": "bench", "rate": 10_000.0, "mostAtOnce": 20_000.0}
    settings = {**terms.settings(0, 1), "packages": [plan], "caps": {**terms.CAPS, "maxOpen": 20_000}}
    settings["classes"] = [
        {**kind, "aim": WAIT_S * 1000, "deadline": WAIT_S * 1000} for kind in settings["classes"]
    ]
    hosts = [
        {"host": f"t{n}", "dial": f"{LOCAL}:{at}", "site": "zone-a", "class": "m2", "block": 0,
         "health": "up", "share": 1.0, "born_ms": 0}
        for n, at in enumerate(ports)
    ]  # fmt: skip
    return {
        "name": "n0",
        "listen": port.address,
        "discovery": f"{LOCAL}:{discovery}",
        "counter": f"{LOCAL}:{counter}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": memory, "sockets": 2048},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": settings,
    }


def start(folder: Path, config: dict[str, Any]) -> subprocess.Popen[str]:
    path, parent = folder / "config.json", os.getpid()
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "roadpulley"],
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: end_with_parent(parent),
    )
    assert process.stderr is not None
    while "serves at" not in process.stderr.readline():
        if process.poll() is not None:
            raise SystemExit("the gateway did not start")
    return process


def memory_kb(pid: int, what: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(what))


def request(name: bytes, verb: bytes, kind: bytes, number: int, body: tuple[bytes, ...] = ()) -> bytes:
    listed = b"c=%b,t=bench,d=%d,units=1,spread=1,first=0,k=%b" % (kind, int(WAIT_S * 1000), name)
    return encode(verb, b"%016x" % number, name, listed, *body)


async def ask_long(port: int, number: int, length: int, still: asyncio.Event) -> bool:
    """Whether the value came whole."""
    reader, writer = await asyncio.open_connection(LOCAL, port, limit=FIRST)
    writer.write(request(b"long-%d" % number, b"API.READ", b"tile-view", number))
    head = await reader.readline()
    got = len(await reader.readexactly(min(FIRST, length))) if head == b"$%d\r\n" % length else 0
    await still.wait()
    while got < length + 2 and (data := await reader.read(64 * KIB)):
        got += len(data)
    writer.close()
    return got == length + 2


async def send_long(port: int, number: int, length: int) -> bool:
    """Whether it was served."""
    reader, writer = await asyncio.open_connection(LOCAL, port)
    writer.write(request(b"w-%d" % number, b"API.WRITE", b"tile-order", number, (b"b" * length,)))
    head = await reader.readline()
    writer.close()
    return head.startswith(b"$")


async def play(way: str, number: int, length: int, memory: int) -> dict[str, Any]:
    lengths, servers = {b"long": length}, list[asyncio.Server]()
    ports = await serve_values(lengths, servers)
    counter, discovery = Counter(), Discovery()
    await counter.start()
    await discovery.start()
    port = Port()
    with tempfile.TemporaryDirectory() as folder:
        process = start(Path(folder), configuration(port, ports, counter.port, discovery.port, memory))
        try:
            before = memory_kb(process.pid, "VmRSS")
            async with asyncio.timeout(LIMIT_S):
                if way == "answers":
                    still = asyncio.Event()
                    asking = (ask_long(port.number, n, length, still) for n in range(number))
                    tasks = [asyncio.create_task(each) for each in asking]
                    await asyncio.sleep(STILL_S)
                    still.set()
                    whole = await asyncio.gather(*tasks)
                else:
                    whole = await asyncio.gather(*(send_long(port.number, n, length) for n in range(number)))
            peak = memory_kb(process.pid, "VmHWM")
        finally:
            process.kill()
            process.wait()
            for server in servers:
                server.close()
            await counter.stop()
            await discovery.stop()
            port.free()
    return {
        "way": way,
        "values": number,
        "kib": length // KIB,
        "sum_mib": round(number * length / MIB, 1),
        "peak_mib": round((peak - before) / KIB, 1),
        "whole": sum(whole),
    }


def table(rows: list[dict[str, Any]]) -> str:
    columns = ("way", "values", "kib", "sum_mib", "peak_mib", "whole")
    titles = ("way", "values", "KiB each", "sum MiB", "peak over idle MiB", "came whole")
    lines = [f"| {' | '.join(titles)} |", "|" + " --- |" * len(titles)]
    return "\n".join([*lines, *(f"| {' | '.join(str(row[c]) for c in columns)} |" for row in rows)])


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--memory", type=int, default=80, help="of the gateway, in MB")
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "long_values.json")
    args = parser.parse_args()
    rows = []
    for way in ("answers", "requests"):
        for number, length in CASES:
            rows.append(uvloop.run(play(way, number, length, args.memory)))
            print(rows[-1], file=sys.stderr, flush=True)
    return report(table(rows), rows, args.out, memory_mb=args.memory)


if __name__ == "__main__":
    sys.exit(main())
