"""Replacing the configuration of a running gateway, completely or not at all."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest
from helpers import BASIC, KEYED, RULES, SAFE, UNSAFE, World, settings
from loopback import SETTINGS, Backend, Reply, in_loop, request, running
from loopback import World as Sockets

from mintford import interface as api
from roadpulley.__main__ import ReloadTrigger
from roadpulley.core.settings import ConfigError, GatewayConfig, load_replacement, parse_config

CURRENT: dict[str, Any] = {
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "counter": "127.0.0.1:6400",
    "settings": SETTINGS,
}


def load_changed(tmp_path: Path, text: str) -> GatewayConfig:
    file = tmp_path / "config.json"
    file.write_text(text)
    return load_replacement(str(file), parse_config(CURRENT))


def test_file_truncated_at_any_byte_is_rejected(tmp_path: Path) -> None:
    text = json.dumps(CURRENT)
    for length in range(len(text)):
        with pytest.raises(ConfigError):
            load_changed(tmp_path, text[:length])
    assert load_changed(tmp_path, text) == parse_config(CURRENT)


def paths(table: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    if isinstance(table, dict):
        return [found for key in table for found in [(*path, key), *paths(table[key], (*path, key))]]
    if isinstance(table, list):
        return [found for number, each in enumerate(table) for found in paths(each, (*path, number))]
    return []


# Missing from some classes or plans of CURRENT, so not required.
OPTIONAL = {"importance", "repeatWindow", "rate", "mostAtOnce", "overrunCost"}


@pytest.mark.parametrize("path", [p for p in paths(CURRENT) if p[-1] not in OPTIONAL], ids=str)
def test_file_without_a_required_key_is_rejected_and_the_key_is_named(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    raw = copy.deepcopy(CURRENT)
    table: Any = raw
    for key in path[:-1]:
        table = table[key]
    del table[path[-1]]
    with pytest.raises(ConfigError, match=path[-1]):
        load_changed(tmp_path, json.dumps(raw))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("classes.0.deadline", -5),
        ("classes.0.deadline", 0),
        ("classes.0.deadline", "4000"),
        ("classes.1.effect", "perhaps"),
        ("classes.2.name", "view"),
        ("classes", []),
        ("caps.maxAttempts", 0),
        ("caps.maxAttempts", True),
        ("caps.maxOpen", 0),
        ("packages.1.rate", float("nan")),
        ("rules", []),
        ("familyInfo.countWait", None),
    ],
)
def test_invalid_value_is_rejected_and_named(tmp_path: Path, path: str, value: Any) -> None:
    raw = copy.deepcopy(CURRENT)
    *steps, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    table: Any = raw["settings"]
    for step in steps:
        table = table[step]
    table[last] = value
    key = "classes" if path == "classes.2.name" else str(last)
    with pytest.raises(ConfigError, match=rf"settings.*{key}"):
        load_changed(tmp_path, json.dumps(raw))


def test_configuration_with_other_classes_and_unknown_keys_is_accepted(tmp_path: Path) -> None:
    raw = copy.deepcopy(CURRENT)
    raw["settings"]["classes"] = [{"name": "new", "aim": 5, "deadline": 9.0, "effect": "pure", "shiny": 1}]
    raw["settings"]["novel"] = {"a": 1}
    assert [c.name for c in load_changed(tmp_path, json.dumps(raw)).settings.classes] == ["new"]


# ---- on sockets ----


class ReloadableGateway:
    """A gateway with its own configuration file, reloaded on the test's request."""

    def __init__(self, world: Sockets, folder: Path) -> None:
        self.world, self.file, self.reload = world, folder / "config.json", ReloadTrigger()
        self.raw: dict[str, Any] = {}

    def write(self, **changes: Any) -> None:
        raw = {**self.raw, "settings": {**copy.deepcopy(SETTINGS), **changes}}
        self.file.write_text(json.dumps(raw))

    async def run(self, scenario: Any) -> None:
        def load(old: GatewayConfig) -> GatewayConfig:
            return load_replacement(str(self.file), old)

        async with running(self.world, reload_trigger=self.reload, load=load) as world:
            self.raw = world.config()
            await scenario()


VIEW, KEYED_RAW, WIPE = SETTINGS["classes"]


def test_a_class_is_added_dropped_and_comes_back_with_another_effect(tmp_path: Path) -> None:
    """A request keeps its class: the keyed one is retried although the class is now unsafe."""

    async def scenario() -> None:
        first, answered = asyncio.Event(), asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            if command[2] == b"old" and not first.is_set():
                first.set()
                await answered.wait()
                return b"-ERR failed\r\n"  # the request may have been executed
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        gateway = ReloadableGateway(Sockets(Backend(script), Backend(script)), tmp_path)
        world = gateway.world

        def keyed(id: bytes) -> tuple[bytes, ...]:
            verb, customer, _, listed = request(id, name=b"keyed")
            return verb, customer, id, listed + b",k=%b" % id

        async def play() -> None:
            old, peer = await world.client(), await world.client()
            old.send(*keyed(b"old"))
            await first.wait()
            gateway.write(classes=[VIEW, {**WIPE, "name": "new"}])
            gateway.reload()
            assert await world.ask(peer, id=b"n", name=b"new") == b"value"
            peer.send(*keyed(b"dropped"))
            assert str(await peer.receive()) == "ERR unknown class"
            gateway.write(classes=[VIEW, {**KEYED_RAW, "effect": "side_effect"}])
            gateway.reload()
            answered.set()
            assert await old.receive() == b"value"
            assert sum(command[2] == b"old" for b in world.backends for command in b.got) == 2

        await gateway.run(play)

    in_loop(scenario)


def test_invalid_file_changes_nothing_and_two_reloads_at_once_are_harmless(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        gateway = ReloadableGateway(Sockets(Backend()), tmp_path)
        world = gateway.world

        async def play() -> None:
            peer = await world.client()
            gateway.write(classes=[{**VIEW, "deadline": 0}])
            gateway.reload()
            assert await world.ask(peer, id=b"1", name=b"wipe") == b"value"
            gateway.write(classes=[VIEW])
            gateway.reload()
            gateway.reload()
            assert str(await world.ask(peer, id=b"2", name=b"wipe")) == "ERR unknown class"
            assert await world.ask(peer, id=b"3") == b"value"

        await gateway.run(play)

    in_loop(scenario)
    assert "settings.classes[0].deadline: is 0; give a number from 1" in caplog.text


# ---- in the module ----


def test_quotas_and_attempts_in_flight_survive_changed_settings() -> None:
    world = World()
    quotas = world.gateway.quotas
    world.ask()
    before = quotas.customers["c"].store
    in_flight_before = dict(world.gateway.attempts.in_flight)
    world.give(api.SettingsChanged(settings(classes=(SAFE,), max_attempts=1)))
    assert quotas.customers["c"].store == before and world.gateway.attempts.in_flight == in_flight_before
    assert world.gateway.fleet.settings.max_attempts == 1 == world.gateway.settings.max_attempts


def test_plan_changed_by_another_source_is_kept_if_the_settings_did_not_change_it() -> None:
    world = World()
    changed_plan = api.Plan("basic", rate=5, burst=9)
    world.give(api.PlanChanged(changed_plan))
    world.give(api.SettingsChanged(settings(classes=(SAFE,))))
    assert world.gateway.quotas.plans["basic"] == changed_plan
    world.give(api.SettingsChanged(settings(plans=(api.Plan("basic", rate=7, burst=9),))))
    assert world.gateway.quotas.plans["basic"].rate == 7 and "firm" not in world.gateway.quotas.plans


def test_changed_safety_rules_apply_to_all_backends() -> None:
    world = World()
    rules = api.SafetyRules(RULES.drain_grace, 0.5, RULES.warmup_time, 4)
    world.give(api.SettingsChanged(settings(rules=rules)))
    assert {b.rules for b in world.gateway.fleet.backends.values()} == {rules}


def test_request_from_before_the_change_has_the_lower_of_both_attempt_limits() -> None:
    for previous, current, limit in ((3, 1, 1), (1, 3, 1)):
        world = World(max_attempts=previous, classes=(SAFE, KEYED, UNSAFE), plans=(BASIC,), has_counter=False)
        world.ask()
        request_id = "r1"
        request = world.gateway.attempts.requests[request_id]
        world.give(api.SettingsChanged(settings(max_attempts=current, has_counter=False)))
        assert min(request.attempt_limit, world.gateway.settings.max_attempts) == limit
        number = 0
        while (request_id, number) in world.gateway.attempts.in_flight:
            attempt = world.gateway.attempts.in_flight[request_id, number]
            world.give(
                api.AttemptEnded(request_id, number, attempt.backend.id, api.Outcome.FAILED, 5.0, False)
            )
            number += 1
        assert number == limit
