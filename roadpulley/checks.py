"""Reading tables of a configuration: each complaint names the key's path and what would be right."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, TypeVar


class ValidationError(Exception):
    """A configuration that can't be taken: one line with the path, what stands there, what would be right."""

    def __init__(self, path: str, wrong: str, right: str) -> None:
        super().__init__(f"{path or 'the file'}: {wrong}; {right}")
        self.path = path


T = TypeVar("T")


def read_toml(path: Path, read: Callable[[dict[str, Any]], T]) -> T:
    """What `read` makes of a file.

    Raises ValidationError with the file, also for what `read` complains of.
    """
    import tomllib  # `run` reads no TOML, and is light to start

    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise ValidationError(
            str(path), f"can't be read ({error.strerror})", "name a file that is there"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ValidationError(str(path), f"is no TOML ({error})", "mend that place") from error
    try:
        return read(raw)
    except ValidationError as error:
        raise ValidationError(
            f"{path}: {error.path}", *str(error).partition(": ")[2].split("; ", 1)
        ) from error


def format_value(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class Table:
    """One table; each key is asked for once, and `done` complains of those that nobody asked for."""

    def __init__(self, raw: object, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise ValidationError(path, f"is {format_value(raw)}", "give a table")
        self.raw: dict[str, Any] = raw
        self.path = path
        self.known_keys: list[str] = []

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def has(self, key: str) -> bool:
        return key in self.raw

    def read_value(self, key: str, default: Any, right: str) -> Any:
        self.known_keys.append(key)
        if key in self.raw:
            return self.raw[key]
        if default is ...:
            raise ValidationError(self.path_of(key), "is missing", right)
        return default

    def read_number(
        self, key: str, default: Any = ..., minimum: float = -math.inf, maximum: float = math.inf
    ) -> float:
        right = f"give a number{format_range(minimum, maximum)}"
        value = self.read_value(key, default, right)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", right)
        if not minimum <= value <= maximum:
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", right)
        return float(value)

    def read_int(self, key: str, default: Any = ..., minimum: int = 0, maximum: int = 10**9) -> int:
        right = f"give a whole number{format_range(minimum, maximum)}"
        value = self.read_value(key, default, right)
        is_whole = isinstance(value, int) or (isinstance(value, float) and value.is_integer())
        if isinstance(value, bool) or not is_whole or not minimum <= value <= maximum:
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", right)
        return int(value)

    def read_text(self, key: str, default: Any = ..., choices: Iterable[str] = ()) -> str:
        allowed = sorted(choices)
        right = f"give one of {', '.join(allowed)}" if allowed else "give a text that is not empty"
        value = self.read_value(key, default, right)
        if not isinstance(value, str) or (not value and default is ...):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", right)
        if allowed and value not in allowed:
            raise ValidationError(
                self.path_of(key), f"is {format_value(value)}", suggest_correction(value, allowed) or right
            )
        return value

    def read_bool(self, key: str, default: bool) -> bool:
        found = self.read_value(key, default, "give true or false")
        if not isinstance(found, bool):
            raise ValidationError(self.path_of(key), f"is {found!r}", "give true or false")
        return found

    def read_texts(self, key: str) -> tuple[str, ...]:
        right = "give a list of texts"
        value = self.read_value(key, ..., right)
        if not isinstance(value, list) or not value or not all(isinstance(v, str) and v for v in value):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", right)
        return tuple(value)

    def read_table(self, key: str) -> Table:
        """The table under a key; an empty one where it is missing."""
        return Table(self.read_value(key, {}, "give a table"), self.path_of(key))

    def read_tables(self, key: str) -> list[Table]:
        value = self.read_value(key, [], "give an array of tables")
        if not isinstance(value, list):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", "give an array of tables")
        return [Table(each, f"{self.path_of(key)}[{number}]") for number, each in enumerate(value)]

    def reject_unknown_keys(self) -> None:
        for key in self.raw:
            if key not in self.known_keys:
                right = (
                    suggest_correction(key, self.known_keys)
                    or f"the keys are {', '.join(sorted(set(self.known_keys)))}"
                )
                raise ValidationError(self.path_of(str(key)), "is no key here", right)


def format_range(minimum: float, maximum: float) -> str:
    if math.isinf(minimum) and math.isinf(maximum):
        return ""
    if math.isinf(maximum) or maximum >= 10**9:
        return f" from {minimum:g}"
    return f" from {minimum:g} to {maximum:g}"


def suggest_correction(word: str, words: Iterable[str]) -> str:
    import difflib

    found = difflib.get_close_matches(word, list(words), 1)
    return f"did you mean {found[0]}?" if found else ""
