"""One instance of the fleet: connects its datagrams, members, voter, duties, services and control socket.

The state machines make the decisions. The agent has its own process and event loop, so no request waits for
it.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Any, TypeAlias

import msgspec
import structlog

from roadpulley.checks import ValidationError

from .clock import Clock, from_environment, wall_ms
from .control import ControlServer
from .counts.messages import AddRequest, Digest, PartBatch
from .counts.messages import ReplicaMessage as CounterMessage
from .counts.service import CounterReplicator
from .duties.fence_store import FenceStore
from .duties.reconfiguration import ChangeRequest, Reconfiguration, ReconfigurationWork, VoterConfigFile
from .duties.service import DutyManager
from .duties.terms import (
    NO_PROCESS,
    Accept,
    LeaseGrant,
    LeaseRejection,
    Prepare,
    ProcessId,
    Promise,
    Release,
    VoterRequest,
)
from .duties.voter_config import VOTERS_DUTY, VoterConfig, VoterConfigAck, VoterConfigQuery, next_config
from .duties.work import Work
from .members.messages import Ack, MemberState, Nack, Page, PageRequest, Ping, PingRequest
from .members.state_machine import Membership, OutboundMessage
from .orders.messages import Body as OrderMessage
from .orders.messages import Order, Poll
from .orders.service import OrderService
from .orders.voter import Voter
from .peers.envelope import Codec, DropReason, Envelope
from .peers.service import DatagramEndpoint, Route
from .rights.messages import Body as RightsMessage
from .rights.service import RightsService
from .rights.work import DUTY as RIGHTS_DUTY_PREFIX
from .settings import DutySettings, FleetSettings, check_address, check_name
from .verdicts.messages import HealthReportBatch, ObservationBatch
from .verdicts.service import VerdictService
from .worker_socket import WorkerMessage, WorkerSocket

log = structlog.get_logger("roadpulley.fleet")

ASSIGNMENT_INTERVAL_S = 0.5  # changes of the members trigger an update sooner
BIND_RETRY_INTERVAL_S = 0.5
MAX_WORKER_THREADS = 32  # for the works of duties
BOOT_BITS = 53


class Offer(msgspec.Struct, tag="offer", array_like=True, frozen=True):
    """A duty is free now.

    `rank`: how many processes were notified before the receiver; `fence`: that of the last holding.
    """

    duty: str
    rank: int
    fence: int = 0


MembershipMessage: TypeAlias = Ping | PingRequest | Ack | Nack | PageRequest | Page
VoterMessage: TypeAlias = Prepare | Accept | Release
ReconfigurationMessage: TypeAlias = VoterConfig | VoterConfigQuery | VoterConfigAck
Body: TypeAlias = (
    MembershipMessage
    | VoterMessage
    | Promise
    | LeaseGrant
    | LeaseRejection
    | Offer
    | ReconfigurationMessage
    | RightsMessage
    | CounterMessage
    | OrderMessage
    | HealthReportBatch
)
BODY_DECODER: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)
MEMBERSHIP_MESSAGES = (Ping, PingRequest, Ack, Nack, PageRequest, Page)


class Agent:
    """An instance of the fleet.

    `name`: its name in the settings. An instance without an entry there binds any free port.
    """

    def __init__(
        self,
        settings: FleetSettings,
        name: str,
        works: Mapping[str, Work],
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings, self.name = settings, name
        self.clock, self.rng = clock or from_environment(), rng or random.Random(secrets.randbits(64))
        self.process_id = ProcessId(name, secrets.randbits(BOOT_BITS) or 1)
        self.endpoint = DatagramEndpoint(
            Codec(settings.installation, name, self.process_id.boot, settings.key), self._handle_envelope
        )
        self.duty_bit_numbers = {duty: bit for bit, duty in enumerate(sorted(settings.duties))}
        self.eligible_duty_bits = sum(1 << self.duty_bit_numbers[d] for d in works)
        self.executor = ThreadPoolExecutor(min(MAX_WORKER_THREADS, len(works) + 1), "duty")
        config_file = VoterConfigFile(settings.state, name, settings.voters)
        self.reconfiguration = Reconfiguration(
            config_file, settings.times, self.clock, self._send_to_voter, self._adopt_voter_config
        )
        self.duties = DutyManager(
            settings,
            self.process_id,
            self.clock,
            works,
            self._send_request,
            self._send_offer,
            self._schedule_timer_update,
            self.executor,
            self.rng,
            self.reconfiguration.config,
            lambda: self.reconfiguration.request is not None,
        )
        reconfiguration_work = ReconfigurationWork(self.reconfiguration, self._call_soon_from_thread)
        self.duties.add_duty(DutySettings(VOTERS_DUTY, "voters", None, "", 1.0, (), ()), reconfiguration_work)
        self.members: Membership | None = None  # None until the own address is known
        # The sender of the last datagram from each address.
        self.processes_by_address: dict[str, ProcessId] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_update_pending = False
        self.tasks: list[asyncio.Task[None]] = []
        self.loop: asyncio.AbstractEventLoop
        self.control = ControlServer(settings.control, name, self._answer_control_call)
        self.problems: dict[str, str] = {}
        self.worker_socket = WorkerSocket(settings.control / f"{name}.beside", self._handle_worker_message)
        self.rights: RightsService | None = None
        self.counters: CounterReplicator | None = None
        self.orders: OrderService | None = None
        self.verdicts: VerdictService | None = None
        if settings.verdicts is not None:
            self.verdicts = VerdictService(
                settings.verdicts,
                self.process_id,
                self.worker_socket,
                self.clock,
                self._send_to_route,
                self._list_routes,
            )
        if settings.rights is not None:
            send = self._send_to_route
            self.rights = RightsService(
                settings.rights,
                settings.times,
                self.worker_socket,
                works,
                self.clock,
                self.rng,
                send,
                self._list_routes,
                self._call_soon_from_thread,
            )
            self.duties.before_hand_over = self._before_hand_over
        if settings.counts is not None:
            self.counters = CounterReplicator(
                settings.counts,
                self.process_id,
                self.worker_socket,
                self.clock,
                self.rng,
                self._send_to_route,
                self._list_routes,
            )

        if settings.orders is not None:
            self.orders = OrderService(
                settings.orders,
                Voter(settings.state, name),
                name,
                self.worker_socket,
                works,
                self.clock,
                settings.times.answer,
                self._send_to_route,
                self._find_route,
                self._list_routes,
                lambda: self.reconfiguration.config,
                self._call_soon_from_thread,
                self._apply_ordered_limits,
            )

    # ---- lifecycle ----

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until `stop` is set, and hands over its duties then.

        Raises OSError if no address can be bound.
        """
        await self._open()
        assert self.members is not None
        loop = self.loop = asyncio.get_running_loop()
        await self.control.open()
        for service in self._list_services():
            if self.worker_socket.socket is None:
                await self.worker_socket.open()
            service.open()
        log.info(
            "begins",
            boot=self.process_id.boot,
            address=self.endpoint.address,
            votes=self.duties.voter is not None,
        )
        self.tasks.append(loop.create_task(self._update_assignments_periodically()))
        self._tick()
        try:
            await stop.wait()
            await self._leave_fleet()
        finally:
            await self._close()

    async def _open(self) -> None:
        configured_address = self.address_of(self.name) or None
        try:
            await self.endpoint.open(configured_address or "127.0.0.1:0")
        except OSError as error:
            if configured_address is None:
                raise
            # The previous process may still be bound to it, as in an upgrade. Until that one ends, this
            # process runs as another instance, without a vote.
            host = configured_address.rpartition(":")[0]
            await self.endpoint.open(f"{host}:0")
            self.problems["address"] = f"{configured_address} is taken ({error.strerror}): no vote from here"
            log.warning("address is taken", address=configured_address, why=str(error.strerror))
            self.tasks.append(asyncio.get_running_loop().create_task(self._retry_bind(configured_address)))
        settings, has_configured_address = self.settings, self.endpoint.address == configured_address
        address = "" if has_configured_address else self.endpoint.address
        self.members = Membership(
            self.process_id,
            address,
            self.eligible_duty_bits,
            settings.known_addresses,
            settings.seeds,
            settings.members,
            self.rng,
        )
        if has_configured_address:
            self._start_voting()

    async def _retry_bind(self, configured_address: str) -> None:
        """Moves to the configured address once it is free. The voter starts there, silent at first."""
        while True:
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)
            old_transport = self.endpoint.transport
            try:
                await self.endpoint.open(configured_address)
            except OSError:
                continue
            if old_transport is not None:
                old_transport.close()
            assert self.members is not None
            self.problems.pop("address", None)
            self.members.set_address("")
            self._start_voting()
            log.info("address is ours now", address=configured_address)
            return

    async def _leave_fleet(self) -> None:
        assert self.members is not None
        self.members.set_duty_bits(0)
        await self.duties.hand_over_all()
        self._send_all(self.members.leave(self.clock.now()))
        self.endpoint.flush()
        log.info("ends", boot=self.process_id.boot)

    async def _close(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
        await self.control.close()
        for service in self._list_services():
            service.close()
        self.worker_socket.close()
        self.endpoint.close()
        self.executor.shutdown(wait=False, cancel_futures=True)

    async def _update_assignments_periodically(self) -> None:
        while True:
            self._update_assignments()
            await asyncio.sleep(ASSIGNMENT_INTERVAL_S)

    def _update_assignments(self) -> None:
        assert self.members is not None
        for process, state in self.members.state_changes:
            log.info("member", who=process.name, its_boot=process.boot, state=state.name.lower())
        self.members.state_changes.clear()
        alive_members = [m for m in self.members.active_claims() if m.state is MemberState.ALIVE]
        self.duties.update_assignments(alive_members, self.duty_bit_numbers)

    # ---- time ----

    def _schedule_timer_update(self) -> None:
        """Resets the timer once, at the end of this iteration of the event loop."""
        if self.members is not None and not self.timer_update_pending:
            self.timer_update_pending = True
            asyncio.get_running_loop().call_soon(self._update_timer)

    def _update_timer(self) -> None:
        """Sets the timer to the next deadline."""
        self.timer_update_pending = False
        if self.members is None or self.endpoint.transport is None:
            return
        due = min(self.duties.next_due_at(), self.members.next_deadline())
        if self.timer is not None:
            self.timer.cancel()
        delay_s = max(0.0, (due - self.clock.now()) / self.clock.rate)
        self.timer = asyncio.get_running_loop().call_later(min(delay_s, 1.0) + 0.0005, self._tick)

    def _tick(self) -> None:
        assert self.members is not None
        self.duties.tick()
        now = self.clock.now()
        if now >= self.members.next_deadline():
            self._send_all(self.members.tick(now))
        if any(state is not MemberState.SUSPECT for _, state in self.members.state_changes):
            self._update_assignments()
        self._schedule_timer_update()

    # ---- datagrams ----

    def _handle_envelope(self, envelope: Envelope, address: str) -> DropReason | None:
        if self.members is None:
            return DropReason.STALE  # it arrived before this process knew its own address
        sender_id = ProcessId(envelope.sender, envelope.sender_boot)
        is_for_this_process = envelope.receiver_boot == self.process_id.boot
        try:
            bodies = [BODY_DECODER.decode(raw) for raw in envelope.bodies]
        except (msgspec.DecodeError, msgspec.ValidationError):
            return DropReason.MALFORMED
        self.processes_by_address[address] = sender_id
        for body in bodies:
            if isinstance(body, MEMBERSHIP_MESSAGES):
                self._send_all(self.members.handle_message(self.clock.now(), sender_id, address, body))
            elif not is_for_this_process:
                # This message was meant for the previous process at this address, and must not be handled by
                # its successor. The ping tells the sender the current process.
                self.endpoint.send(address, sender_id.boot, Ping(0, ()))
                return DropReason.STALE
            elif drop_reason := self._dispatch(sender_id, address, body):
                return drop_reason
        return None

    def _dispatch(self, sender_id: ProcessId, address: str, body: Any) -> DropReason | None:
        if isinstance(body, RightsMessage):
            if self.rights is not None:
                self.rights.handle_peer_message((address, sender_id.boot), body)
        elif isinstance(body, PartBatch | Digest):
            if self.counters is not None:
                self.counters.handle_message((address, sender_id.boot), body)
        elif isinstance(body, OrderMessage):
            if self.orders is not None:
                self.orders.handle_peer_message((address, sender_id.boot), sender_id.name, body)
        elif isinstance(body, HealthReportBatch):
            if self.verdicts is not None:
                self.verdicts.handle_peer_message(sender_id, body)
        elif isinstance(body, Offer):
            self.duties.handle_offer(body.duty, body.rank, body.fence)
        elif isinstance(body, VoterConfigQuery):
            if reply := self.reconfiguration.handle_query(body):
                self.endpoint.send(address, sender_id.boot, reply)
        elif isinstance(body, VoterConfig | VoterConfigAck):
            if isinstance(body, VoterConfig):
                self.endpoint.send(address, sender_id.boot, self.reconfiguration.handle_config(body))
            if self._is_awaited_voter(sender_id.name, address):
                self.reconfiguration.handle_response(sender_id.name, body)
        elif isinstance(body, Prepare | Accept | Release):
            if body.ballot.process != sender_id:
                return DropReason.UNKNOWN_SENDER
            if response := self.duties.handle_voter_request(body):
                self.endpoint.send(address, sender_id.boot, response)
            if not isinstance(body, Release):
                self._sync_voter_config(sender_id, address, body.config_id)
        elif (
            sender_id.name not in self.reconfiguration.config.voters
            or self.address_of(sender_id.name) != address
        ):
            # A second process under a voter's name, at another address, must not be counted as that voter.
            return DropReason.UNKNOWN_SENDER
        else:
            self.duties.handle_voter_response(sender_id.name, body)
        return None

    def _send_all(self, messages: list[OutboundMessage]) -> None:
        for message in messages:
            self.endpoint.send(message.address, message.receiver.boot, message.body)

    def _list_services(self) -> list[RightsService | CounterReplicator | OrderService | VerdictService]:
        services = (self.rights, self.counters, self.orders, self.verdicts)
        return [service for service in services if service is not None]

    def _handle_worker_message(self, body: WorkerMessage) -> None:
        if isinstance(body, AddRequest):
            if self.counters is not None:
                self.counters.handle_add(body)
        elif isinstance(body, ObservationBatch):
            if self.verdicts is not None:
                self.verdicts.handle_observations(body)
        elif isinstance(body, Poll):
            if self.orders is not None:
                self.orders.handle_local_poll(body)
        elif self.rights is not None:
            self.rights.handle_local_message(body)

    def _send_to_route(self, route: Route, body: Any) -> None:
        self.endpoint.send(*route, body)

    def _list_routes(self) -> list[Route]:
        """Routes to all other active members."""
        if self.members is None:
            return []
        return [
            (self.members.address_of(m), m.claim.process.boot)
            for m in self.members.table.values()
            if m.is_active()
        ]

    def _find_route(self, voter: str) -> Route | None:
        """The route to the last known process at a voter's address; None if that is another instance."""
        address = self.address_of(voter)
        process = self.processes_by_address.get(address, NO_PROCESS)
        return (address, process.boot) if process != NO_PROCESS and process.name == voter else None

    def _apply_ordered_limits(self) -> None:
        """Passes the limits of the active orders to the rights service."""
        if self.rights is not None and self.orders is not None and self.settings.orders is not None:
            ceiling_share, open_lease = (
                self.rights.settings.ceiling_ratio,
                self.settings.orders.open_lease_s,
            )
            limits = {
                o.limit_name: o.to_limit(ceiling_share, open_lease)
                for o in self.orders.active_orders
                if o.is_limit
            }
            self.rights.set_order_limits(limits)

    def _send_request(self, voter: str, request: VoterRequest) -> None:
        if voter == self.name and self.duties.voter is not None:
            asyncio.get_running_loop().call_soon(self._handle_own_request, request)
            return
        address = self.address_of(voter)
        if (process := self.processes_by_address.get(address, NO_PROCESS)) != NO_PROCESS:
            self.endpoint.send(address, process.boot, request)

    def _handle_own_request(self, request: VoterRequest) -> None:
        if response := self.duties.handle_voter_request(request):
            self.duties.handle_voter_response(self.name, response)

    # ---- voters ----

    def address_of(self, voter: str) -> str:
        """The address of a voter, empty if it is unknown here."""
        return self.reconfiguration.config.voters.get(voter) or self.settings.known_addresses.get(voter, "")

    def _sync_voter_config(self, sender_id: ProcessId, address: str, config_id: tuple[int, int]) -> None:
        """Sends the own configuration if the sender's is older, and asks for the sender's if it is newer."""
        own_config = self.reconfiguration.config
        if config_id < tuple(own_config.id):
            self.endpoint.send(address, sender_id.boot, own_config)
        elif config_id > tuple(own_config.id):
            self.endpoint.send(address, sender_id.boot, VoterConfigQuery(0))

    def _is_awaited_voter(self, name: str, address: str) -> bool:
        """Whether this is a voter whose responses count for the change in progress here."""
        change = self.reconfiguration.change
        if change is None:
            return False
        voters = {**change.config.previous_voters, **change.config.voters}
        return name in voters and address == (voters[name] or self.settings.known_addresses.get(name, ""))

    def _send_to_voter(self, voter: str, address: str, body: Any) -> None:
        """Sends a message of a change to a voter of the old or the new configuration."""
        address = address or self.settings.known_addresses.get(voter, "")
        if voter == self.name:
            response = (
                self.reconfiguration.handle_query(body)
                if isinstance(body, VoterConfigQuery)
                else self.reconfiguration.handle_config(body)
            )
            if response is not None:
                asyncio.get_running_loop().call_soon(self.reconfiguration.handle_response, voter, response)
        elif (process := self.processes_by_address.get(address, NO_PROCESS)) != NO_PROCESS:
            self.endpoint.send(address, process.boot, body)
        else:
            self.endpoint.send(address, 0, Ping(0, ()))  # its response tells which process is at this address

    def _start_voting(self) -> None:
        """Starts the voter, silent at first: the previous process of this name may have granted leases."""
        if self.duties.fence_store is None:
            self.duties.fence_store = FenceStore(self.settings.state, self.name, wall_ms())
        self.duties.start_voting(self.clock.now())

    def _adopt_voter_config(self, config: VoterConfig) -> None:
        self.duties.adopt_voter_config(config)
        if self.duties.voter is None and self.endpoint.address == self.address_of(self.name):
            self._start_voting()

    def _call_soon_from_thread(self, callback: Callable[[], None]) -> None:
        """Schedules a callback from a worker thread, if the event loop still runs."""
        with suppress(RuntimeError):
            self.loop.call_soon_threadsafe(callback)

    def _request_voter_change(self, add: dict[str, str], remove: str) -> dict[str, Any]:
        """Requests a change, which begins once this instance holds the duty of changing the voters."""
        if self.reconfiguration.request is not None:
            return {"error": "a change is under way here"}
        try:
            next_config(self.reconfiguration.config, 0, add, remove)
            for name, address in add.items():
                if address or check_name(name, "NAME") not in self.settings.known_addresses:
                    check_address(address, "ADDRESS", self.settings.key)
        except (ValueError, ValidationError) as error:
            return {"error": str(error)}
        self.reconfiguration.request, self.reconfiguration.result = ChangeRequest(add, remove), {}
        self.duties.local_duties[VOTERS_DUTY].candidate.schedule_try(self.clock.now(), 0.0)
        self._schedule_timer_update()
        return self.reconfiguration.status()

    async def _before_hand_over(self, duty: str, candidates: Sequence[ProcessId]) -> None:
        """Transfers what a work has in memory to the candidates for its duty, before the duty is released."""
        if self.rights is None or self.members is None or not duty.startswith(RIGHTS_DUTY_PREFIX):
            return
        members = [(process, self.members.table.get(process)) for process in candidates]
        routes = [(self.members.address_of(m), process.boot) for process, m in members if m is not None]
        await self.rights.hand_over(int(duty.removeprefix(RIGHTS_DUTY_PREFIX)), routes)

    def _send_offer(self, receiver: ProcessId, duty: str, rank: int, fence: int) -> None:
        assert self.members is not None
        if member := self.members.table.get(receiver):
            self.endpoint.send(self.members.address_of(member), receiver.boot, Offer(duty, rank, fence))

    # ---- operators' calls ----

    def _answer_control_call(self, call: str, args: dict[str, Any]) -> dict[str, Any]:
        from .report import (
            describe_duties,
            describe_limits,
            describe_members,
            describe_verdicts,
            describe_voters,
        )

        if call == "members":
            return describe_members(self)
        if call == "duties":
            return describe_duties(self)
        if call == "voters":
            return describe_voters(self)
        if call == "limits":
            return describe_limits(self)
        if call == "verdicts":
            return describe_verdicts(self)
        if call in ("order", "order-status", "orders", "orders-force"):
            return self._answer_order_call(call, args)
        if call == "hand-over":
            name = str(args.get("duty"))
            done = self.duties.hand_over(name, "an operator asked for it")
            return {"done": done, "duty": name, "instance": self.name}
        if call == "run":
            return self.duties.run_now(str(args.get("duty")))
        if call == "change":
            return self._request_voter_change(dict(args.get("add", {})), str(args.get("remove", "")))
        if call == "change-status":
            return self.reconfiguration.status()
        calls = "members, duties, voters, limits, verdicts, orders, hand-over, run, change, order"
        return {"error": f"{call!r} is no call; there are {calls}"}

    def _answer_order_call(self, call: str, args: dict[str, Any]) -> dict[str, Any]:
        from .report import describe_orders

        if self.orders is None:
            return {"error": "no orders are followed here: [orders] is missing in the fleet's settings"}
        if call == "orders":
            return describe_orders(self, self.orders)
        if call == "order-status":
            return self.orders.status(str(args.get("ticket")))
        if call == "orders-force":
            return self.orders.force()
        try:
            order = msgspec.convert(args.get("order"), Order)
        except msgspec.ValidationError as error:
            return {"error": f"no order: {error}"}
        if order.is_limit and self.rights is None:
            return {"error": "limits need [rights] in the fleet's settings"}
        return self.orders.submit(order, bool(args.get("lift")))
