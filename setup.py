"""The build's one choice: ROADPULLEY_COMPILE=1 compiles the request path with mypyc, from the same source.

Everything else is in pyproject.toml. See docs/design/scale-up.md, "Compiled".
"""

import os

from setuptools import setup

# What every request passes through. Danger: a class here can't be patched from outside, so nothing that
# plugins or tests are meant to replace belongs in this list.
REQUEST_PATH = (
    "mintford/interface.py",
    "mintford/attempts.py",
    "mintford/ceilings.py",
    "mintford/changes.py",
    "mintford/customer_table.py",
    "mintford/gateway_share.py",
    "mintford/guards.py",
    "mintford/handover.py",
    "mintford/load.py",
    "mintford/orders.py",
    "mintford/quotas.py",
    "mintford/records.py",
    "mintford/rules.py",
    "mintford/shedding.py",
    "mintford/start_times.py",
    "roadpulley/core/backends.py",
    "roadpulley/core/clock.py",
    "roadpulley/core/command.py",
    "roadpulley/core/connection.py",
    "roadpulley/core/counter.py",
    "roadpulley/core/driver.py",
    "roadpulley/core/effect_ids.py",
    "roadpulley/core/event_ring.py",
    "roadpulley/core/idle_limit.py",
    "roadpulley/core/long_answer.py",
    "roadpulley/core/long_values.py",
    "roadpulley/core/outcomes.py",
    "roadpulley/core/recent_requests.py",
    "roadpulley/core/request.py",
    "roadpulley/core/resp.py",
    "roadpulley/core/socket_watcher.py",
    "roadpulley/edges/resp_server.py",
    "roadpulley/edges/body_grant.py",
    "roadpulley/edges/connection.py",
    "roadpulley/edges/slots.py",
    "roadpulley/edges/request_parser.py",
    "roadpulley/edges/turns.py",
)


def extensions() -> list:
    if os.environ.get("ROADPULLEY_COMPILE") != "1":
        return []
    from mypyc.build import mypycify

    return mypycify(["--no-error-summary", *REQUEST_PATH], opt_level="3", debug_level="1")


setup(ext_modules=extensions())
