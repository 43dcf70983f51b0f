"""Reads the configuration of a gateway from the JSON file that LB_CONFIG names."""

from __future__ import annotations

import json
import logging
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mintford import interface as api
from mintford.reading import read_settings

log = logging.getLogger(__name__)

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration is invalid or incomplete."""


@dataclass(frozen=True)
class GatewayConfig:
    """The configuration of one gateway. Times are milliseconds."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    admin: Address | None  # the address for operators
    seed: int
    max_descriptors: int
    memory_mb: int
    settings: api.Settings
    connect_timeout_ms: float
    keepalive_ms: float
    max_open_requests: int
    workers: int  # processes that share this gateway's address; the decision module treats each as a gateway
    saved_members: dict[str, Any]  # the last known list of backends, in the format of discovery
    raw_settings: dict[str, Any]  # the settings as read
    raw: dict[str, Any]  # the whole configuration as read


def parse_address(text: str) -> Address:
    """Parses HOST:PORT. Raises ValueError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit():
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def read_admin_address(configured: Any) -> Address | None:
    """The address for operators: from LB_ADMIN, else from the configuration, else None.

    The environment takes precedence because two processes of one gateway may share a configuration file, but
    never this address. Raises ValueError.
    """
    override = os.environ.get("LB_ADMIN")
    key, text = ("LB_ADMIN", override) if override else ("admin", configured)
    if not text:
        return None
    try:
        host, port = parse_address(text)
        if host and port <= 65535:
            return host, port
    except ValueError:
        pass
    raise ValueError(f"{key} is {text!r}; give HOST:PORT, such as 127.0.0.1:19000")


def read_int(settings: dict[str, Any], key: str, default: int, least: int) -> int:
    """A whole number of the settings. Raises ValueError with the key, the value and what would be valid."""
    value = settings.get(key)
    if value is None:
        return default
    is_whole = isinstance(value, int) or (isinstance(value, float) and value.is_integer())
    if isinstance(value, bool) or not is_whole or value < least:
        raise ValueError(f"settings.{key} is {value!r}; give a whole number from {least} on")
    return int(value)


def parse_config(raw: Any) -> GatewayConfig:
    """Parses a configuration. Raises ConfigError."""
    try:
        settings = raw["settings"]
        caps = settings.get("caps") or {}
        original_settings = settings
        workers, worker = int(raw.get("workers") or 1), int(raw.get("worker") or 0)
        if not 0 <= worker < workers:
            raise ValueError(f"worker is {worker}; give a number from 0 to {workers - 1}")
        index, size = read_int(settings, "selfIndex", 0, 0), read_int(settings, "groupSize", 1, 1)
        settings = {**settings, "selfIndex": index * workers + worker, "groupSize": size * workers}
        return GatewayConfig(
            name=str(raw.get("name") or ""),
            listen=parse_address(raw["listen"]),
            discovery=parse_address(raw["discovery"]),
            counter=parse_address(raw["counter"]) if raw.get("counter") else None,
            admin=read_admin_address(raw.get("admin")),
            seed=int(str(raw.get("seed") or "0"), 16),
            max_descriptors=int((raw.get("limits") or {}).get("sockets") or 1024),
            memory_mb=int((raw.get("limits") or {}).get("memory_mb") or 64),
            settings=read_settings(settings),
            connect_timeout_ms=float(caps.get("connectTimeout") or 250),
            keepalive_ms=float(caps.get("keepalive") or 15_000),
            max_open_requests=int(caps.get("maxOpen") or 10_000),
            workers=workers,
            saved_members=raw.get("known") or {},
            raw_settings=original_settings,
            raw=raw,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from error


def load_replacement(path: str, current: GatewayConfig) -> GatewayConfig:
    """Loads a configuration to replace the current one, after a complete validation. Raises ConfigError."""
    from roadpulley.checks import ValidationError

    from .validation import require_existing_keys, validate_gateway_config

    try:
        raw = json.loads(Path(path).read_text())
        validate_gateway_config(raw)
        require_existing_keys(raw["settings"], current.raw_settings)
        if current.counter is not None and not raw.get("counter"):
            raise ValidationError("counter", "is missing", "give HOST:PORT, as in the current configuration")
        return parse_config(raw)
    except (OSError, ValueError, ValidationError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error


def load_config(path: str) -> GatewayConfig:
    """Loads the configuration at the start. Raises ConfigError with the key and what would be valid.

    Values that are invalid but can be parsed are only logged, as there is no previous configuration to keep.
    """
    from roadpulley.checks import ValidationError

    from .validation import validate_gateway_config

    raw, validation_error = None, None
    try:
        raw = json.loads(Path(path).read_text())
        validate_gateway_config(raw)
    except ValidationError as error:
        validation_error = error
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    try:
        config = parse_config(raw)
    except ConfigError as error:
        names_key = "; give " in str(error) or validation_error is None
        raise ConfigError(f"{path}: {error if names_key else validation_error}") from error
    if validation_error is not None:
        log.warning("%s: %s", path, validation_error)
    return config
