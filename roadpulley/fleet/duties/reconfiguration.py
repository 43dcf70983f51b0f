"""Runs changes of the voter configuration: this instance's own state, and a change that it makes.

The decisions are in `voter_config.py`.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import structlog

from roadpulley.checks import ValidationError
from roadpulley.fleet.clock import Clock

from .fence_store import write_atomically
from .terms import LeaseTimes
from .voter_config import (
    VOTERS_DUTY,
    ChangeStep,
    VoterChange,
    VoterConfig,
    VoterConfigAck,
    VoterConfigId,
    VoterConfigQuery,
    VoterConfigState,
    initial_config,
)
from .work import HeldDuty, WorkCompleted

log = structlog.get_logger("roadpulley.fleet.voters")

POLL_INTERVAL_S = 0.05  # between checks whether the change has ended


class VoterConfigFile:
    """Stores the voter configuration and the promised fence of one instance, if it has a state folder.

    Raises ValidationError for a file that can't be read.
    """

    def __init__(self, folder: Path | None, name: str, voters: Mapping[str, str]) -> None:
        self.path = folder / f"{name}.roll" if folder is not None else None
        # Addresses stay empty: they are in the settings.
        self.state = VoterConfigState(initial_config(dict.fromkeys(voters, "")))
        if self.path is not None and self.path.exists():
            try:
                raw = json.loads(self.path.read_bytes())
                voter_maps = [{str(k): str(v) for k, v in raw[key].items()} for key in ("voters", "before")]
                config = VoterConfig(VoterConfigId(*map(int, raw["id"])), *voter_maps)
                self.state = VoterConfigState(config, int(raw["promised"]))
            except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
                hint = "bring it back, or remove it where the settings name today's voters"
                raise ValidationError(str(self.path), f"can't be read ({error})", hint) from error

    def adopt(self, state: VoterConfigState) -> bool:
        """Uses this state once it is on disk; returns whether it is.

        A promise that was sent but not stored could be broken after a restart. A configuration that was
        reported but not used for voting would let two generations grant leases at once.
        """
        if state is not self.state and self.path is not None:
            try:
                self._write(self.path, state)
            except OSError as error:
                log.error("the voter configuration cannot be stored", path=str(self.path), why=str(error))
                return False
        self.state = state
        return True

    def _write(self, path: Path, state: VoterConfigState) -> None:
        config = state.config
        promised = state.promised_fence
        data = {
            "id": list(config.id),
            "voters": config.voters,
            "before": config.previous_voters,
            "promised": promised,
        }
        path.parent.mkdir(parents=True, exist_ok=True)
        write_atomically(path, json.dumps(data).encode())


@dataclass
class ChangeRequest:
    """An operator's request: voters to add, by name with their addresses, or the name of one to remove."""

    add: dict[str, str]
    remove: str


class Reconfiguration:
    """The voter configuration at one instance, and the change that it makes while it holds the duty.

    `send` takes a voter's name, its address and a body. `on_config_change` gets each new configuration.
    """

    def __init__(
        self,
        config_file: VoterConfigFile,
        times: LeaseTimes,
        clock: Clock,
        send: Callable[[str, str, Any], None],
        on_config_change: Callable[[VoterConfig], None],
    ) -> None:
        self.config_file, self.times, self.clock, self.send, self.on_config_change = (
            config_file,
            times,
            clock,
            send,
            on_config_change,
        )
        self.request: ChangeRequest | None = None
        self.change: VoterChange | None = None
        self.result: dict[str, Any] = {}

    @property
    def config(self) -> VoterConfig:
        """The configuration that this instance uses."""
        return self.config_file.state.config

    # ---- datagrams ----

    def handle_query(self, query: VoterConfigQuery) -> VoterConfig | None:
        """Makes the promise and returns the configuration to report.

        None, without a response, if the promise can't be stored.
        """
        return self.config if self.config_file.adopt(self.config_file.state.after_query(query)) else None

    def handle_config(self, config: VoterConfig) -> VoterConfigAck:
        """Uses a newer configuration; acknowledges the one that is in use then."""
        previous_config = self.config
        if (
            self.config_file.adopt(self.config_file.state.after_config(config))
            and self.config is not previous_config
        ):
            log.info(
                "voters", generation=config.id.generation, fence=config.id.fence, voters=sorted(config.voters)
            )
            self.on_config_change(config)
        return VoterConfigAck(self.config.id)

    def handle_response(self, voter: str, body: VoterConfig | VoterConfigAck) -> None:
        """Handles a voter's response to the change that is in progress here."""
        if self.change is None:
            return
        now = self.clock.now()
        if isinstance(body, VoterConfig):
            self.change.handle_reported_config(now, voter, body)
        else:
            self.change.handle_ack(now, voter, body.id)
        self.tick()

    # ---- one change ----

    def start_change(self, fence: int) -> None:
        """Starts the requested change under the fence of the holding."""
        request = self.request
        if request is not None:
            self.change = VoterChange(
                self.clock.now(), self.times, self.config, fence, request.add, request.remove
            )
            self.tick()

    def tick(self) -> None:
        """Sends what the change has to send now, and ends it if it is done."""
        change = self.change
        if change is None:
            return
        for name, address in change.tick(self.clock.now()).items():
            body = VoterConfigQuery(change.fence) if change.step is ChangeStep.READING else change.config
            self.send(name, address, body)
        if change.step in (ChangeStep.DONE, ChangeStep.FAILED):
            self.finish_change(change.step is ChangeStep.DONE, change.reason)

    def finish_change(self, done: bool, reason: str) -> None:
        """Ends the change and its request, and keeps the result for `status`."""
        change, self.change, self.request = self.change, None, None
        voters = change.config.voters if change is not None and done else self.config.voters
        self.result = {"step": "done" if done else "failed", "why": reason, "voters": dict(voters)}
        if done and change is not None:
            self.result["id"] = list(change.config.id)
            self.handle_config(change.config)

    def status(self) -> dict[str, Any]:
        """The change in progress, or the result of the last one, for operators."""
        if self.change is not None:
            return {
                "step": self.change.step.value,
                "why": "",
                **asdict(self.request or ChangeRequest({}, "")),
            }
        return self.result or {"step": "waiting for the duty" if self.request else "none", "why": ""}


class ReconfigurationWork:
    """The work of the duty: completes one change. Its registers are the voters, which check the fence."""

    def __init__(
        self, reconfiguration: Reconfiguration, call_soon: Callable[[Callable[[], None]], None]
    ) -> None:
        self.reconfiguration, self.call_soon = reconfiguration, call_soon
        self.name = VOTERS_DUTY

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims nothing: the change itself makes the voters promise this fence."""
        return None

    def act(self, duty: HeldDuty) -> float | None:
        """Runs the change to its end; raises WorkCompleted then."""
        finished = threading.Event()

        started = False

        def advance() -> None:
            nonlocal started
            if not started:
                # A change of an earlier holding used a lower fence, which voters may reject now.
                started, self.reconfiguration.change = True, None
            if self.reconfiguration.change is None and self.reconfiguration.request is not None:
                self.reconfiguration.start_change(duty.fence)
            self.reconfiguration.tick()
            if self.reconfiguration.request is None:
                finished.set()

        while duty.is_still_held() and not finished.is_set():
            self.call_soon(advance)
            finished.wait(POLL_INTERVAL_S)
        if finished.is_set():
            raise WorkCompleted("the change of the voters has ended")
        return POLL_INTERVAL_S
