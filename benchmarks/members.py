"""Members in virtual time: what they cost, how soon a death is known, how often that is wrong.

    python benchmarks/members.py [--sizes 5 20 100 500] [--seeds 2] [--out FILE]

Each play: 20 s to meet, then a minute with loss, or with one in ten stopped for 3 s, then five deaths within
10 s. Beside it the same with plain SWIM: no care for one's own slowness, no reminders to the suspected.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

from report import markdown, quantile, report, side_by_side  # noqa: E402

from roadpulley.fleet.members.messages import SwimParameters  # noqa: E402
from roadpulley.testbed.members_world import MembersWorld  # noqa: E402

OUT = Path(__file__).resolve().parent / "out" / "members.json"
MEET_S = 20.0
MINUTE_S = 60.0
DEATHS_S = 10.0
AFTER_S = 30.0
TROUBLES = ("none", "loss 5%", "loss 20%", "1 in 10 stops 3 s")
LOSS = {"loss 5%": 0.05, "loss 20%": 0.2}

Job = tuple[int, str, bool, int]


def played(job: Job) -> dict[str, Any]:
    count, trouble, careful, seed = job
    world = MembersWorld(count, seed, LOSS.get(trouble, 0.0), SwimParameters(careful=careful))
    world.run(MEET_S)
    met = world.all_seen()
    sent, size, false = world.seen.datagrams, world.seen.bytes, len(world.seen.false)
    if trouble.startswith("1 in 10"):
        for number, name in enumerate(world.names[:: max(1, min(10, count - 1))]):
            world.at(MEET_S + 1 + number % 20, lambda name=name: world.stop(name, 3.0))
    seen = world.run(MEET_S + MINUTE_S)
    row = {
        "datagrams": (seen.datagrams - sent) / MINUTE_S / count,
        "bytes": (seen.bytes - size) / MINUTE_S / count,
        "false": (len(seen.false) - false) / count,
        "wrong": seen.wrong_s / count,
        "met": met,
    }
    died = {}
    for number in range(min(5, count // 3)):
        name = world.names[-1 - number]
        died[name] = MEET_S + MINUTE_S + 1 + number * DEATHS_S / 5
        world.at(died[name], lambda name=name: world.kill(name))
    seen = world.run(MEET_S + MINUTE_S + DEATHS_S + AFTER_S)
    known = [at - died[whom] for (_, whom), at in seen.deaths.items() if whom in died and at > died[whom]]
    owed = len(died) * (count - len(died))
    return {**row, "known": known, "unheard": owed - sum(1 for (who, _) in seen.deaths if who not in died)}


def rows(sizes: list[int], seeds: int) -> list[dict[str, Any]]:
    kinds = [(c, t, careful) for c in sizes for t in TROUBLES for careful in (True, False)]
    jobs: list[Job] = [(*kind, seed) for kind in kinds for seed in range(1, seeds + 1)]
    done = side_by_side(played, jobs)
    found = []
    for kind in kinds:
        of = [d for j, d in zip(jobs, done, strict=True) if j[:3] == kind]
        known = [k for d in of for k in d["known"]]
        found.append(
            {
                "members": kind[0],
                "trouble": kind[1],
                "kind": "with care" if kind[2] else "plain SWIM",
                "datagrams/s": round(mean(of, "datagrams"), 1),
                "bytes/s": round(mean(of, "bytes")),
                "false alarms": round(mean(of, "false"), 2),
                "wrong s": round(mean(of, "wrong"), 1),
                "death p50 s": round(quantile(known, 0.5), 1),
                "death p99 s": round(quantile(known, 0.99), 1),
                "unheard": sum(d["unheard"] for d in of),
                "met": all(d["met"] for d in of),
            }
        )
    return found


def mean(of: list[dict[str, Any]], key: str) -> float:
    return sum(d[key] for d in of) / len(of)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[5, 20, 100, 500])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--out", type=Path, default=OUT)
    args = parser.parse_args()
    found = rows(args.sizes, args.seeds)
    return report(markdown(found), found, args.out)


if __name__ == "__main__":
    sys.exit(main())
