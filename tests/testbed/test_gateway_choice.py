"""The load generator sends a customer's requests to the gateways of its set alone."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from roadpulley.testbed.load_generator import LoadGenerator

GATEWAYS = 4


# Seeds 20003 and 20005 of the soak: with its gateways down, a customer's limits were spent at others too.
@pytest.mark.parametrize("spread", range(1, GATEWAYS + 1))
@pytest.mark.parametrize("first", range(GATEWAYS))
def test_a_request_never_goes_to_a_gateway_outside_the_set_of_its_customer(first: int, spread: int) -> None:
    gates = [SimpleNamespace(name=n, taken_in=False) for n in range(GATEWAYS)]
    generator = cast(Any, SimpleNamespace(gates=gates, can_take=lambda gate, may_reuse: gate.taken_in))
    arrival = cast(Any, SimpleNamespace(customer=SimpleNamespace(first=first, spread=spread)))
    own = [gates[(first + step) % GATEWAYS] for step in range(spread)]
    for place in range(2 * GATEWAYS):
        assert LoadGenerator.choose(generator, arrival, place, True) in own
