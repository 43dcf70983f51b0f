"""Reading tables of a configuration: each complaint names the key's path and what would be right."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, TypeVar


class Bad(Exception):
    """A configuration that can't be taken: one line with the path, what stands there, what would be right."""

    def __init__(self, path: str, wrong: str, right: str) -> None:
        super().__init__(f"{path or 'the file'}: {wrong}; {right}")
        self.path = path


T = TypeVar("T")


def read_toml(path: Path, read: Callable[[dict[str, Any]], T]) -> T:
    """What `read` makes of a file. Raises Bad with the file, also for what `read` complains of."""
    import tomllib  # `run` reads no TOML, and is light to start

    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise Bad(str(path), f"can't be read ({error.strerror})", "name a file that is there") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise Bad(str(path), f"is no TOML ({error})", "mend that place") from error
    try:
        return read(raw)
    except Bad as error:
        raise Bad(f"{path}: {error.path}", *str(error).partition(": ")[2].split("; ", 1)) from error


def shown(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class Table:
    """One table; each key is asked for once, and `done` complains of those that nobody asked for."""

    def __init__(self, raw: object, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise Bad(path, f"is {shown(raw)}", "give a table")
        self.raw: dict[str, Any] = raw
        self.path = path
        self.known: list[str] = []

    def at(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def has(self, key: str) -> bool:
        return key in self.raw

    def take(self, key: str, default: Any, right: str) -> Any:
        self.known.append(key)
        if key in self.raw:
            return self.raw[key]
        if default is ...:
            raise Bad(self.at(key), "is missing", right)
        return default

    def number(self, key: str, default: Any = ..., least: float = -math.inf, most: float = math.inf) -> float:
        right = f"give a number{limits(least, most)}"
        value = self.take(key, default, right)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise Bad(self.at(key), f"is {shown(value)}", right)
        if not least <= value <= most:
            raise Bad(self.at(key), f"is {shown(value)}", right)
        return float(value)

    def whole(self, key: str, default: Any = ..., least: int = 0, most: int = 10**9) -> int:
        right = f"give a whole number{limits(least, most)}"
        value = self.take(key, default, right)
        is_whole = isinstance(value, int) or (isinstance(value, float) and value.is_integer())
        if isinstance(value, bool) or not is_whole or not least <= value <= most:
            raise Bad(self.at(key), f"is {shown(value)}", right)
        return int(value)

    def text(self, key: str, default: Any = ..., among: Iterable[str] = ()) -> str:
        choices = sorted(among)
        right = f"give one of {', '.join(choices)}" if choices else "give a text that is not empty"
        value = self.take(key, default, right)
        if not isinstance(value, str) or (not value and default is ...):
            raise Bad(self.at(key), f"is {shown(value)}", right)
        if choices and value not in choices:
            raise Bad(self.at(key), f"is {shown(value)}", nearest(value, choices) or right)
        return value

    def flag(self, key: str, default: bool) -> bool:
        found = self.take(key, default, "give true or false")
        if not isinstance(found, bool):
            raise Bad(self.at(key), f"is {found!r}", "give true or false")
        return found

    def texts(self, key: str) -> tuple[str, ...]:
        right = "give a list of texts"
        value = self.take(key, ..., right)
        if not isinstance(value, list) or not value or not all(isinstance(v, str) and v for v in value):
            raise Bad(self.at(key), f"is {shown(value)}", right)
        return tuple(value)

    def table(self, key: str) -> Table:
        """The table under a key; an empty one where it is missing."""
        return Table(self.take(key, {}, "give a table"), self.at(key))

    def tables(self, key: str) -> list[Table]:
        value = self.take(key, [], "give an array of tables")
        if not isinstance(value, list):
            raise Bad(self.at(key), f"is {shown(value)}", "give an array of tables")
        return [Table(each, f"{self.at(key)}[{number}]") for number, each in enumerate(value)]

    def done(self) -> None:
        for key in self.raw:
            if key not in self.known:
                right = nearest(key, self.known) or f"the keys are {', '.join(sorted(set(self.known)))}"
                raise Bad(self.at(str(key)), "is no key here", right)


def limits(least: float, most: float) -> str:
    if math.isinf(least) and math.isinf(most):
        return ""
    if math.isinf(most) or most >= 10**9:
        return f" from {least:g}"
    return f" from {least:g} to {most:g}"


def nearest(word: str, words: Iterable[str]) -> str:
    import difflib

    found = difflib.get_close_matches(word, list(words), 1)
    return f"did you mean {found[0]}?" if found else ""
