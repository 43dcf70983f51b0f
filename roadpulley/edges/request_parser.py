"""Parses and validates requests: the only check of their classes, plans, units, sets and deadlines.

No I/O.
"""

from __future__ import annotations

import re

from mintford import interface as api
from roadpulley.core.command import Command
from roadpulley.core.resp import encode_bulk

# The commands that carry requests, and whether their classes have safe effects.
REQUEST_VERBS = {b"API.READ": True, b"API.WRITE": False}

# `float` and `int` accept more than a request may contain: nan, 1_0, +1, surrounding spaces.
DECIMAL_PATTERN = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")
INTEGER_PATTERN = re.compile(rb"\d{1,6}")
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
CUSTOMER_ID_LIMIT = 2**33
NAME_PATTERN = re.compile(rb"[!-~]{1,64}")  # of request ids and of keys of keyed effects
# The attributes in their usual order, for the fast path. Any other form is parsed attribute by attribute.
ATTRIBUTES_PATTERN = re.compile(
    rb"(c=([^,=]{1,64}),t=([^,=]{1,64}),d=)(\d{1,12})((?:,k=([!-+\--~]{1,64}))?"
    rb",units=(\d{1,12}),spread=(\d{1,6}),first=(\d{1,6})(,r=1)?)"
)
CLASS_PATTERN = re.compile(rb"(?:^|,)c=([^,=]{1,64})(?:,|$)")
MAX_CACHED_ATTRIBUTES = 4_096  # validated combinations of command, class, plan, units and set
MAX_WAIT_RATIO = 2.0  # a client may wait at most so many times the deadline of its class


class RequestParser:
    """Validates requests against the settings. `workers`: worker processes of this gateway."""

    def __init__(self, settings: api.Settings, workers: int = 1) -> None:
        # Clients name sets of gateways. The decision module takes each worker for a gateway of its own.
        self.workers = workers
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}
        self.max_request_units, self.gateways = settings.max_request_units, settings.gateways // workers
        self.known_attributes: dict[tuple[bytes, ...], tuple[api.RequestClass, str, float, int, int]] = {}

    def parse(self, args: list[bytes], body: bytearray | None = None) -> Command:
        """Build a command from the arguments of a request.

        `body`: a long fifth argument including its CRLF, which is not in `args`.

        Raises ValueError, with the reason as sent to the client, unless class, plan and all values are valid.
        No later code checks them: an unknown plan would have no quota, negative units would fill a bucket and
        lower the counter's total for all gateways, and a customer keeps the plan of its first request.
        """
        if not 4 <= len(args) <= 5:
            raise ValueError("wrong number of arguments")
        verb, customer, request, attributes = args[:4]
        if match := ATTRIBUTES_PATTERN.fullmatch(attributes):
            before, class_attribute, plan_attribute, wait_text, after, key, *rest, repeat = match.groups()
            validated = self.known_attributes.get((verb, class_attribute, plan_attribute, *rest))
            if validated is not None and (key or validated[0].effect is not api.Effect.KEYED):
                return self.build_command(
                    args, validated, float(wait_text), before, after, repeat is not None, body
                )
        values: dict[bytes, bytes] = {}
        for item in attributes.split(b","):
            name, equals, value = item.partition(b"=")
            if not equals or name in values:
                raise ValueError("malformed attributes")
            values[name] = value
        request_class, plan = self.classes.get(values.get(b"c", b"")), self.plans.get(values.get(b"t", b""))
        if request_class is None:
            raise ValueError("unknown class")
        if plan is None:
            raise ValueError("unknown plan")
        if REQUEST_VERBS[verb.upper()] != (request_class.effect is api.Effect.SAFE):
            raise ValueError("class of another command")
        if request_class.effect is api.Effect.KEYED and not NAME_PATTERN.fullmatch(values.get(b"k", b"")):
            raise ValueError("key missing")
        wait, units = parse_decimal(values, b"d"), parse_decimal(values, b"units")
        spread, first = parse_integer(values, b"spread"), parse_integer(values, b"first")
        if not 0 < units <= self.max_request_units:
            raise ValueError("units out of range")
        if not (1 <= spread <= self.gateways and first < self.gateways):
            raise ValueError("set out of range")
        wait_index = attributes.index(b"d=") if attributes.startswith(b"d=") else attributes.index(b",d=") + 1
        before, after = attributes[: wait_index + 2], attributes[wait_index + 2 + len(values[b"d"]) :]
        validated = (request_class, plan, units, spread * self.workers, first * self.workers)
        if match:
            if len(self.known_attributes) >= MAX_CACHED_ATTRIBUTES:
                self.known_attributes.clear()
            self.known_attributes[verb, class_attribute, plan_attribute, *rest] = validated
        return self.build_command(args, validated, wait, before, after, values.get(b"r") == b"1", body)

    def build_command(
        self,
        args: list[bytes],
        validated: tuple[api.RequestClass, str, float, int, int],
        wait: float,
        before: bytes,
        after: bytes,
        repeat: bool,
        body: bytearray | None,
    ) -> Command:
        """Check the remaining values and build the command; `validated` holds the validated attributes."""
        request_class, plan, units, spread, first = validated
        verb, customer, request = args[:3]
        if (
            not CUSTOMER_PATTERN.fullmatch(customer)
            or (customer_id := int(customer, 16)) >= CUSTOMER_ID_LIMIT
        ):
            raise ValueError("malformed customer")
        if not NAME_PATTERN.fullmatch(request):
            raise ValueError("malformed id")
        if not 0 < wait <= request_class.deadline * MAX_WAIT_RATIO:
            raise ValueError("time left out of range")
        return Command(
            b"$%d\r\n%b\r\n$16\r\n%b\r\n$%d\r\n%b\r\n" % (len(verb), verb, customer, len(request), request),
            before,
            after,
            b"$%d\r\n" % (len(body) - 2) if body else encode_bulk(args[4]) if len(args) > 4 else b"",
            len(args) + (body is not None),
            request.decode("ascii"),
            f"{customer_id:016x}",
            request_class.name,
            plan,
            wait,
            units,
            spread,
            first,
            repeat,
            memoryview(body) if body else None,
        )


def parse_decimal(values: dict[bytes, bytes], name: bytes) -> float:
    """Read a decimal attribute. Raises ValueError if it is missing or malformed."""
    if not DECIMAL_PATTERN.fullmatch(text := values.get(name, b"")):
        raise ValueError(f"{name.decode()} is no number")
    return float(text)


def parse_integer(values: dict[bytes, bytes], name: bytes) -> int:
    """Read an integer attribute. Raises ValueError if it is missing or malformed."""
    if not INTEGER_PATTERN.fullmatch(text := values.get(name, b"")):
        raise ValueError(f"{name.decode()} is no number")
    return int(text)
