from __future__ import annotations

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
HOSTS = {"__init__.py", "interface.py", "reading.py", "records.py", "wirehost.py"}  # they make no decisions
MAX_MODULE_LINES = 600  # a longer module has more than one purpose


def test_deploy_file_names_every_deciding_module_and_each_is_short() -> None:
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    deciding = {p.name for p in ROOT.glob("mintford/*.py")} - HOSTS
    assert set(policy) == {f"mintford/{name}" for name in deciding}
    for path in policy:
        assert len((ROOT / path).read_text().splitlines()) <= MAX_MODULE_LINES, path


def test_no_line_is_over_110_characters() -> None:
    for path in [*ROOT.glob("mintford/**/*.py"), *ROOT.glob("tests/**/*.py")]:
        for number, line in enumerate(path.read_text().splitlines(), 1):
            assert len(line) <= 110, f"{path.name}:{number}"


def test_readme_example_runs() -> None:
    example = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(example) == 1
    space: dict[str, object] = {}
    exec(example[0], space)
    assert space["sent"] and space["served"]
