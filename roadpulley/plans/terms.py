"""What a plan gives, and its checks. Amounts are units of quota, rates units a second."""

from __future__ import annotations

import re
from dataclasses import asdict, dataclass, fields, replace
from decimal import Decimal, InvalidOperation
from typing import Any

from mintford import interface as api
from roadpulley.checks import Table, ValidationError, format_value

MAX_AMOUNT = 1e9  # units, or units a second: what doubles count exactly to a thousandth
MAX_SPREAD = 4_096  # gateways of one customer
PLAN_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,47}")
CUSTOMER_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
PRICE_PATTERN = re.compile(r"\d{1,9}(\.\d{1,6})?")


@dataclass(frozen=True)
class Terms:
    """0 of a rate, a burst or a limit means none.

    `price` is of 1,000 units, as decimal digits: money is never a binary fraction. `spread` is the number of
    gateways that a customer's requests are dealt to; 0 leaves it to the client.
    """

    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    price: str = "0"
    spread: int = 0

    def validate(self, path: str = "terms") -> Terms:
        """Raises ValidationError for terms that no request could meet, or that contradict each other."""
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
        """For the decision module. What requests beyond the quota earn and cost stays the deployment's."""
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
    """Terms from a table; what it does not name is as in `base`. Raises ValidationError.

    `whole`: the table has to name all that matters, as a stored record does.
    """
    was = base or Terms()

    def default(name: str) -> Any:
        return ... if whole else getattr(was, name)

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
    return asdict(terms)


def validate_plan_name(text: object, path: str = "plan") -> str:
    if not isinstance(text, str) or not PLAN_NAME_PATTERN.fullmatch(text):
        raise ValidationError(
            path,
            f"is {format_value(text)}",
            "give 1 to 48 of a-z, 0-9, '-', '_' and '.', a letter or digit first",
        )
    return text


def validate_customer_id(text: object, path: str = "customer") -> str:
    if not isinstance(text, str) or not CUSTOMER_ID_PATTERN.fullmatch(text):
        raise ValidationError(
            path, f"is {format_value(text)}", "give 16 hexadecimal digits in lower case, as in its requests"
        )
    return text
