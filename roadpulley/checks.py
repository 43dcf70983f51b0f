"""Readers for configuration tables. Each error names the path of the key and what would be a valid value."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, TypeVar


class ValidationError(Exception):
    """An invalid configuration. The message is one line: the path, the problem and the correction."""

    def __init__(self, path: str, problem: str, correction: str) -> None:
        super().__init__(f"{path or 'the file'}: {problem}; {correction}")
        self.path, self.problem, self.correction = path, problem, correction


T = TypeVar("T")

# Bare keys of TOML 1.0, and names with a slash.
UNQUOTED_KEY_PATTERN = re.compile(r"[A-Za-z0-9_/-]+")


def read_toml(path: Path, parse: Callable[[dict[str, Any]], T]) -> T:
    """Parses a TOML file and passes its content to `parse`.

    Raises ValidationError with the path of the file, also for errors that `parse` raises.
    """
    import tomllib  # imported here because `run` reads no TOML and has to start quickly

    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise ValidationError(
            str(path), f"can't be read ({error.strerror})", "name an existing file"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ValidationError(str(path), f"is no TOML ({error})", "correct the syntax there") from error
    try:
        return parse(raw)
    except ValidationError as error:
        raise ValidationError(f"{path}: {error.path}", error.problem, error.correction) from error


def format_value(value: object) -> str:
    """The repr of a value for an error message, cut to 60 characters."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def format_key(key: str) -> str:
    """A key for the path in an error message: as it is, or quoted with escapes as in TOML if it has to be.

    A key from outside may hold line breaks, dots and quotes, and an error is one line.
    """
    return key if UNQUOTED_KEY_PATTERN.fullmatch(key) else json.dumps(key)


class Table:
    """One table of a configuration, with a reader for each type of value.

    `reject_unknown_keys` reports the keys that no reader was called for. All readers raise ValidationError.
    """

    def __init__(self, raw: object, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise ValidationError(path, f"is {format_value(raw)}", "give a table")
        self.raw: dict[str, Any] = raw
        self.path = path
        self.known_keys: list[str] = []

    def path_of(self, key: str) -> str:
        """The dotted path of a key from the root of the file."""
        shown = format_key(key)
        return f"{self.path}.{shown}" if self.path else shown

    def has(self, key: str) -> bool:
        """Whether the table contains a key."""
        return key in self.raw

    def read_value(self, key: str, default: Any, correction: str) -> Any:
        """The raw value of a key. A key whose default is `...` is required."""
        self.known_keys.append(key)
        if key in self.raw:
            return self.raw[key]
        if default is ...:
            raise ValidationError(self.path_of(key), "is missing", correction)
        return default

    def read_number(
        self, key: str, default: Any = ..., minimum: float = -math.inf, maximum: float = math.inf
    ) -> float:
        correction = f"give a number{format_range(minimum, maximum)}"
        value = self.read_value(key, default, correction)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", correction)
        if not minimum <= value <= maximum:
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", correction)
        return float(value)

    def read_int(self, key: str, default: Any = ..., minimum: int = 0, maximum: int = 10**9) -> int:
        """A whole number; a float such as 3.0 counts as one."""
        correction = f"give a whole number{format_range(minimum, maximum)}"
        value = self.read_value(key, default, correction)
        is_whole = isinstance(value, int) or (isinstance(value, float) and value.is_integer())
        if isinstance(value, bool) or not is_whole or not minimum <= value <= maximum:
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", correction)
        return int(value)

    def read_text(self, key: str, default: Any = ..., choices: Iterable[str] = ()) -> str:
        """A text that is one of `choices`, if there are any. A required text must not be empty."""
        allowed = sorted(choices)
        correction = f"give one of {', '.join(allowed)}" if allowed else "give a text that is not empty"
        value = self.read_value(key, default, correction)
        if not isinstance(value, str) or (not value and default is ...):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", correction)
        if allowed and value not in allowed:
            raise ValidationError(
                self.path_of(key),
                f"is {format_value(value)}",
                suggest_correction(value, allowed) or correction,
            )
        return value

    def read_bool(self, key: str, default: bool) -> bool:
        """A boolean."""
        value = self.read_value(key, default, "give true or false")
        if not isinstance(value, bool):
            raise ValidationError(self.path_of(key), f"is {value!r}", "give true or false")
        return value

    def read_texts(self, key: str) -> tuple[str, ...]:
        """A required list of at least one text; no text may be empty."""
        correction = "give a list of texts"
        value = self.read_value(key, ..., correction)
        if not isinstance(value, list) or not value or not all(isinstance(v, str) and v for v in value):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", correction)
        return tuple(value)

    def read_table(self, key: str) -> Table:
        """The nested table of a key, or an empty one if the key is missing."""
        return Table(self.read_value(key, {}, "give a table"), self.path_of(key))

    def read_tables(self, key: str) -> list[Table]:
        """The array of tables of a key, or an empty list if the key is missing."""
        value = self.read_value(key, [], "give an array of tables")
        if not isinstance(value, list):
            raise ValidationError(self.path_of(key), f"is {format_value(value)}", "give an array of tables")
        return [Table(item, f"{self.path_of(key)}[{index}]") for index, item in enumerate(value)]

    def reject_unknown_keys(self) -> None:
        """Raises ValidationError for the first key that no reader was called for."""
        for key in self.raw:
            if key not in self.known_keys:
                correction = (
                    suggest_correction(key, self.known_keys)
                    or f"the keys are {', '.join(sorted(set(self.known_keys)))}"
                )
                raise ValidationError(self.path_of(str(key)), "is no key here", correction)


def format_range(minimum: float, maximum: float) -> str:
    """The permitted range as words for an error message; empty if there is no bound."""
    if math.isinf(minimum) and math.isinf(maximum):
        return ""
    if math.isinf(maximum) or maximum >= 10**9:
        return f" from {minimum:g}"
    return f" from {minimum:g} to {maximum:g}"


def suggest_correction(word: str, candidates: Iterable[str]) -> str:
    """A question that names the candidate most similar to a word; empty if none is similar."""
    import difflib

    matches = difflib.get_close_matches(word, list(candidates), 1)
    return f"did you mean {matches[0]}?" if matches else ""
