"""The terms of a plan and their validation. Amounts are in units of quota, rates in units per second."""

from __future__ import annotations

import re
from dataclasses import asdict, dataclass, fields, replace
from decimal import Decimal, InvalidOperation
from typing import Any

from mintford import interface as api
from roadpulley.checks import Table, ValidationError, format_value

MAX_AMOUNT = 1e9  # units, or units per second; doubles are exact to a thousandth up to here
MAX_SPREAD = 4_096  # gateways per customer
PLAN_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,47}")
CUSTOMER_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
PRICE_PATTERN = re.compile(r"\d{1,9}(\.\d{1,6})?")


@dataclass(frozen=True)
class Terms:
    """The terms of a plan. A rate, a burst or a limit of 0 means that there is none.

    `price` is the price of 1,000 units in decimal digits, because binary fractions can't represent money
    exactly. `spread` is the number of gateways over which a customer's requests are distributed; 0 leaves it
    to the client.
    """

    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    price: str = "0"
    spread: int = 0

    def validate(self, path: str = "terms") -> Terms:
        """Return these terms. Raises ValidationError if no request could satisfy them or they contradict."""
        if bool(self.rate) != bool(self.burst):
            wrong = f"rate is {self.rate:g} and burst {self.burst:g}"
            raise ValidationError(path, wrong, "give both, or neither for a plan without a quota")
        if self.rate and self.burst < 1:
            raise ValidationError(
                f"{path}.burst", f"is {self.burst:g}", "give 1 at the least: no request takes less"
            )
        if bool(self.ceiling_rate) != bool(self.ceiling_burst):
            wrong = f"ceiling_rate is {self.ceiling_rate:g} and ceiling_burst {self.ceiling_burst:g}"
            raise ValidationError(path, wrong, "give both, or neither for a plan without a hard ceiling")
        if 0 < self.ceiling_rate < self.rate:
            right = f"give {self.rate:g}, the plan's rate, or more"
            raise ValidationError(f"{path}.ceiling_rate", f"is {self.ceiling_rate:g}", right)
        return self

    def to_decision_plan(self, base: api.Plan) -> api.Plan:
        """Return the plan for the decision module.

        Value and cost of requests beyond the quota are those of `base`, the deployment's plan.
        """
        return replace(
            base,
            rate=self.rate,
            burst=self.burst,
            open_limit=self.open_limit,
            ceiling_rate=self.ceiling_rate,
            ceiling_burst=self.ceiling_burst,
        )


TERM_NAMES = tuple(f.name for f in fields(Terms))


def read_terms(table: Table, base: Terms | None = None, whole: bool = False) -> Terms:
    """Read terms from a table; missing ones are taken from `base`. Raises ValidationError.

    With `whole`, no term may be missing, as in a stored record.
    """
    defaults = base or Terms()

    def default(name: str) -> Any:
        return ... if whole else getattr(defaults, name)

    terms = Terms(
        rate=table.read_number("rate", default("rate"), 0, MAX_AMOUNT),
        burst=table.read_number("burst", default("burst"), 0, MAX_AMOUNT),
        open_limit=table.read_int("open_limit", default("open_limit"), 0, 10**6),
        ceiling_rate=table.read_number("ceiling_rate", default("ceiling_rate"), 0, MAX_AMOUNT),
        ceiling_burst=table.read_number("ceiling_burst", default("ceiling_burst"), 0, MAX_AMOUNT),
        price=read_price(table, default("price")),
        spread=table.read_int("spread", default("spread"), 0, MAX_SPREAD),
    )
    return terms.validate(table.path)


def read_price(table: Table, default: Any) -> str:
    """Read a price in normalized decimal digits. Raises ValidationError."""
    text = table.read_text("price", default)
    try:
        if PRICE_PATTERN.fullmatch(text):
            return f"{Decimal(text).normalize():f}"
    except InvalidOperation:
        pass
    raise ValidationError(
        table.path_of("price"), f"is {format_value(text)}", 'give decimal digits as a text, such as "0.25"'
    )


def terms_to_dict(terms: Terms) -> dict[str, Any]:
    """Return the terms as the feed and the store hold them."""
    return asdict(terms)


def validate_plan_name(text: object, path: str = "plan") -> str:
    """Return the name of a plan. Raises ValidationError with `path` if it is malformed."""
    if not isinstance(text, str) or not PLAN_NAME_PATTERN.fullmatch(text):
        raise ValidationError(
            path,
            f"is {format_value(text)}",
            "give 1 to 48 of a-z, 0-9, '-', '_' and '.', a letter or digit first",
        )
    return text


def validate_customer_id(text: object, path: str = "customer") -> str:
    """Return the id of a customer. Raises ValidationError with `path` if it is malformed."""
    if not isinstance(text, str) or not CUSTOMER_ID_PATTERN.fullmatch(text):
        raise ValidationError(
            path, f"is {format_value(text)}", "give 16 hexadecimal digits in lower case, as in its requests"
        )
    return text
