"""What a request may name: the only check of classes, plans, units, sets and times. No sockets here."""

from __future__ import annotations

import re

from mintford import interface as api
from roadpulley.core.command import Command
from roadpulley.core.resp import encode_bulk

REQUEST_VERBS = {
    b"API.READ": True,
    b"API.WRITE": False,
}  # whether it serves the classes that are safe to repeat

DECIMAL_PATTERN = re.compile(
    rb"\d{1,12}(?:\.\d{1,12})?"
)  # `float` and `int` take far more: nan, 1_0, +1, spaces
INTEGER_PATTERN = re.compile(rb"\d{1,6}")
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
CUSTOMER_ID_LIMIT = 2**33
NAME_PATTERN = re.compile(rb"[!-~]{1,64}")  # of a request, and of its effect
# The attributes as clients write them; what stands otherwise is read the long way.
ATTRIBUTES_PATTERN = re.compile(
    rb"(c=([^,=]{1,64}),t=([^,=]{1,64}),d=)(\d{1,12})((?:,k=([!-+\--~]{1,64}))?"
    rb",units=(\d{1,12}),spread=(\d{1,6}),first=(\d{1,6})(,r=1)?)"
)
CLASS_PATTERN = re.compile(rb"(?:^|,)c=([^,=]{1,64})(?:,|$)")
MAX_CACHED_ATTRIBUTES = 4_096  # combinations of class, plan, units and set that are remembered as right
MAX_WAIT_RATIO = 2.0  # times the class's deadline, which the client's whole patience does not exceed


class RequestParser:
    """What the settings let a request name."""

    def __init__(self, settings: api.Settings, workers: int = 1) -> None:
        # Clients name sets of gateways; to the module each worker of these is a gateway.
        self.workers = workers
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}
        self.max_request_units, self.gateways = settings.max_request_units, settings.gateways // workers
        self.known_attributes: dict[tuple[bytes, ...], tuple[api.RequestClass, str, float, int, int]] = {}

    def parse(self, args: list[bytes], body: bytearray | None = None) -> Command:
        """Raises ValueError, with the reason, for what is not a request of a known class, plan and size.

        `body`: a long fifth argument with its end, which is not among the others.

        Danger: this is the only check. Unknown plans have no quota, negative units fill a bucket and take
        from the counter's total for all gateways, and a customer is kept with the first plan it came with.
        """
        if not 4 <= len(args) <= 5:
            raise ValueError("wrong number of arguments")
        verb, customer, request, listed = args[:4]
        if plain := ATTRIBUTES_PATTERN.fullmatch(listed):
            before, named, title, left, after, key, *rest, repeat = plain.groups()
            known = self.known_attributes.get((verb, named, title, *rest))
            if known is not None and (key or known[0].effect is not api.Effect.KEYED):
                return self.build_command(args, known, float(left), before, after, repeat is not None, body)
        given: dict[bytes, bytes] = {}
        for item in listed.split(b","):
            name, equals, value = item.partition(b"=")
            if not equals or name in given:
                raise ValueError("malformed attributes")
            given[name] = value
        kind, plan = self.classes.get(given.get(b"c", b"")), self.plans.get(given.get(b"t", b""))
        if kind is None:
            raise ValueError("unknown class")
        if plan is None:
            raise ValueError("unknown plan")
        if REQUEST_VERBS[verb.upper()] != (kind.effect is api.Effect.SAFE):
            raise ValueError("class of another command")
        if kind.effect is api.Effect.KEYED and not NAME_PATTERN.fullmatch(given.get(b"k", b"")):
            raise ValueError("key missing")
        wait, units = parse_decimal(given, b"d"), parse_decimal(given, b"units")
        spread, first = parse_integer(given, b"spread"), parse_integer(given, b"first")
        if not 0 < units <= self.max_request_units:
            raise ValueError("units out of range")
        if not (1 <= spread <= self.gateways and first < self.gateways):
            raise ValueError("set out of range")
        at = listed.index(b"d=") if listed.startswith(b"d=") else listed.index(b",d=") + 1
        before, after = listed[: at + 2], listed[at + 2 + len(given[b"d"]) :]
        known = (kind, plan, units, spread * self.workers, first * self.workers)
        if plain:
            if len(self.known_attributes) >= MAX_CACHED_ATTRIBUTES:
                self.known_attributes.clear()
            self.known_attributes[verb, named, title, *rest] = known
        return self.build_command(args, known, wait, before, after, given.get(b"r") == b"1", body)

    def build_command(
        self,
        args: list[bytes],
        known: tuple[api.RequestClass, str, float, int, int],
        wait: float,
        before: bytes,
        after: bytes,
        repeat: bool,
        body: bytearray | None,
    ) -> Command:
        """The request, once its class, plan, units and set are known to be right."""
        kind, plan, units, spread, first = known
        verb, customer, request = args[:3]
        if not CUSTOMER_PATTERN.fullmatch(customer) or (number := int(customer, 16)) >= CUSTOMER_ID_LIMIT:
            raise ValueError("malformed customer")
        if not NAME_PATTERN.fullmatch(request):
            raise ValueError("malformed id")
        if not 0 < wait <= kind.deadline * MAX_WAIT_RATIO:
            raise ValueError("time left out of range")
        return Command(
            b"$%d\r\n%b\r\n$16\r\n%b\r\n$%d\r\n%b\r\n" % (len(verb), verb, customer, len(request), request),
            before,
            after,
            b"$%d\r\n" % (len(body) - 2) if body else encode_bulk(args[4]) if len(args) > 4 else b"",
            len(args) + (body is not None),
            request.decode("ascii"),
            f"{number:016x}",
            kind.name,
            plan,
            wait,
            units,
            spread,
            first,
            repeat,
            memoryview(body) if body else None,
        )


def parse_decimal(given: dict[bytes, bytes], name: bytes) -> float:
    if not DECIMAL_PATTERN.fullmatch(text := given.get(name, b"")):
        raise ValueError(f"{name.decode()} is no number")
    return float(text)


def parse_integer(given: dict[bytes, bytes], name: bytes) -> int:
    if not INTEGER_PATTERN.fullmatch(text := given.get(name, b"")):
        raise ValueError(f"{name.decode()} is no number")
    return int(text)
