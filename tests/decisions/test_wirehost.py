from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from mintford import wirehost

SETUP = {
    "az": "a",
    "groupSize": 2,
    "selfIndex": 0,
    "newKey": {"x": 1},
    "caps": {"maxAttempts": 3, "cancelling": True, "maxRetryAfter": 500.0},
    "classes": [{"name": "view", "aim": 1000.0, "deadline": 3000.0, "effect": "pure", "importance": 1.0}],
    "packages": [{"name": "basic", "rate": 2.0, "mostAtOnce": 8.0}],
    "familyInfo": {"mayCount": True, "countWait": 50.0},
    "rules": {"warmWithin": 10000.0, "startCapacity": 0.2, "drainGrace": 1000.0},
}
CREATE = [["create", 5, SETUP], ["backendsChanged", "SAVED", 1, [["a", 0, None, "ready", 1, 77, "std"]]]]
JOB = ["jobIn", "d88e86a15d3a91c4", "view", "basic", "key:1", 3000.0, 1, 2, 0, 0]


def batch(*arrivals: list[object], moment: float = 10.0, gateway: int = 3) -> str:
    return (
        json.dumps({"moment": moment, "groups": [{"gatewayId": gateway, "arrivals": list(arrivals)}]}) + "\n"
    )


def play(*lines: str) -> tuple[int, list[dict[str, object]]]:
    out = io.StringIO()
    code = wirehost.main(io.StringIO("".join(lines)), out)
    return code, [json.loads(line) for line in out.getvalue().splitlines()]


def test_empty_batches_and_end_of_input_are_accepted() -> None:
    assert play('{"moment":1,"groups":[]}\n') == (0, [{"groups": []}])
    assert play() == (0, [])


def test_request_is_sent_and_its_outcome_processed() -> None:
    create = [["create", 5, {**SETUP, "familyInfo": {"mayCount": False}}], CREATE[1]]
    code, replies = play(
        batch(*create),
        batch(JOB, moment=20),
        batch(["ended", JOB[1], 0, 18.5, "Ok", True, 0, 77, None, None], moment=40),
    )
    assert code == 0 and len(replies) == 3
    (group,) = replies[1]["groups"]  # type: ignore[misc]
    assert group["gatewayId"] == 3 and ["callOut", JOB[1], 0.0, 77] in group["out"]


def test_every_event_of_the_wire_is_accepted() -> None:
    code, _ = play(
        batch(
            *CREATE,
            ["wakeup", "x"],
            ["whisper", 1, "00ff"],
            ["lapsed", "0"],
            ["ledgerReply", 1, 2, "Ok", "n"],
            ["underWay", "0", 0, 77, 1.0],
            ["health", 77, "Ok", 1.0, None],
            ["backendsChanged", "FAILED", 1, None],
            ["exit"],
            *CREATE,
        )
    )
    assert code == 0


@pytest.mark.parametrize(
    "line",
    [
        "not json\n",
        "[]\n",
        "{}\n",
        '{"moment":"x","groups":[]}\n',
        '{"moment":1,"groups":[{"gatewayId":1}]}\n',
        batch(["wakeup", "x"]),
        batch(*CREATE, ["surprise"]),
        batch(*CREATE, ["jobIn", 1]),
        batch(*CREATE, []),
        batch(["create"]),
        batch(["create", 1, []]),
        batch(*CREATE, ["whisper", 1, "zz"]),
        batch(*CREATE, ["ended", "0", 0, 1, "Nonsense", True, 0, 77]),
        "3\n",
        batch(*CREATE, ["wakeup", 5]),
    ],
)
def test_bad_input_is_reported_in_one_line_and_ends_the_adapter(
    line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, replies = play(line)
    printed = capsys.readouterr()
    assert code != 0 and replies == []
    assert printed.err.count("\n") == 1 and printed.err.startswith("mintford.wirehost: bad input: ")


def test_adapter_runs_as_a_command() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "mintford.wirehost"],
        input=batch(*CREATE) + "oops\n",
        capture_output=True,
        text=True,
        cwd=Path(__file__).parents[2],
    )
    assert run.returncode == 2 and "Traceback" not in run.stderr
    assert len(run.stdout.splitlines()) == 1
