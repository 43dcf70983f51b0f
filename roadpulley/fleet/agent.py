"""One instance of the fleet: its datagrams, whom it sees, its vote, its duties, and what answers people.

Decides nothing: machines do. It runs on an event loop of its own process; no request waits for it.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
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
from .rights.work import DUTY as RIGHTS
from .settings import DutySettings, FleetSettings, check_address, check_name
from .verdicts.messages import HealthReportBatch, ObservationBatch
from .verdicts.service import VerdictService
from .worker_socket import WorkerMessage, WorkerSocket

log = structlog.get_logger("roadpulley.fleet")

ASSIGNMENT_INTERVAL_S = 0.5  # between two looks at who should hold what; a change of the members comes sooner
BIND_RETRY_INTERVAL_S = 0.5
MAX_WORKER_THREADS = 32
BOOT_BITS = 53


class Offer(msgspec.Struct, tag="offer", array_like=True, frozen=True):
    """A duty is free now; `rank`: how many were told before this one; `fence`: it was held under that one."""

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
    """`name`: which instance of the settings this process is; one that they don't name takes any free
    port."""

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
        file = VoterConfigFile(settings.state, name, settings.voters)
        self.reconfiguration = Reconfiguration(
            file, settings.times, self.clock, self._send_to_voter, self._adopt_voter_config
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
        self.members: Membership | None = None  # once our address is known
        self.processes_by_address: dict[str, ProcessId] = {}  # who was heard at an address last
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
            tell = self._send_to_route
            self.rights = RightsService(
                settings.rights,
                self.worker_socket,
                works,
                self.clock,
                self.rng,
                tell,
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

    # ---- life ----

    async def run(self, stop: asyncio.Event) -> None:
        """Until `stop`; then what is held goes to others. Raises OSError where no address can be had."""
        await self._open()
        assert self.members is not None
        loop = self.loop = asyncio.get_running_loop()
        await self.control.open()
        for part in self._list_services():
            if self.worker_socket.socket is None:
                await self.worker_socket.open()
            part.open()
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
        wanted = self.address_of(self.name) or None
        try:
            await self.endpoint.open(wanted or "127.0.0.1:0")
        except OSError as error:
            if wanted is None:
                raise
            # The process before this one may still have it, as in an upgrade. Until it ends, this one is an
            # instance beside it, without a vote.
            host = wanted.rpartition(":")[0]
            await self.endpoint.open(f"{host}:0")
            self.problems["address"] = f"{wanted} is taken ({error.strerror}): no vote from here"
            log.warning("address is taken", address=wanted, why=str(error.strerror))
            self.tasks.append(asyncio.get_running_loop().create_task(self._retry_bind(wanted)))
        settings, at_home = self.settings, self.endpoint.address == wanted
        address = "" if at_home else self.endpoint.address
        self.members = Membership(
            self.process_id,
            address,
            self.eligible_duty_bits,
            settings.known_addresses,
            settings.seeds,
            settings.members,
            self.rng,
        )
        if at_home:
            self._start_voting()

    async def _retry_bind(self, wanted: str) -> None:
        """Move to the address of our name once it is free; the vote begins there, in silence."""
        while True:
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)
            old = self.endpoint.transport
            try:
                await self.endpoint.open(wanted)
            except OSError:
                continue
            if old is not None:
                old.close()
            assert self.members is not None
            self.problems.pop("address", None)
            self.members.set_address("")
            self._start_voting()
            log.info("address is ours now", address=wanted)
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
        for part in self._list_services():
            part.close()
        self.worker_socket.close()
        self.endpoint.close()
        self.executor.shutdown(wait=False, cancel_futures=True)

    async def _update_assignments_periodically(self) -> None:
        while True:
            self._update_assignments()
            await asyncio.sleep(ASSIGNMENT_INTERVAL_S)

    def _update_assignments(self) -> None:
        assert self.members is not None
        for who, state in self.members.state_changes:
            log.info("member", who=who.name, its_boot=who.boot, state=state.name.lower())
        self.members.state_changes.clear()
        there = [m for m in self.members.active_claims() if m.state is MemberState.ALIVE]
        self.duties.update_assignments(there, self.duty_bit_numbers)

    # ---- time ----

    def _schedule_timer_update(self) -> None:
        """Something is due at another time: looked up once, at the end of this turn of the loop."""
        if self.members is not None and not self.timer_update_pending:
            self.timer_update_pending = True
            asyncio.get_running_loop().call_soon(self._update_timer)

    def _update_timer(self) -> None:
        """Wake up for whatever is due next."""
        self.timer_update_pending = False
        if self.members is None or self.endpoint.transport is None:
            return
        due = min(self.duties.next_due_at(), self.members.next_deadline())
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, (due - self.clock.now()) / self.clock.rate)
        self.timer = asyncio.get_running_loop().call_later(min(wait, 1.0) + 0.0005, self._tick)

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
            return DropReason.STALE  # it comes before this process knows its own address
        who = ProcessId(envelope.sender, envelope.sender_boot)
        for_us = envelope.receiver_boot == self.process_id.boot
        try:
            bodies = [BODY_DECODER.decode(raw) for raw in envelope.bodies]
        except (msgspec.DecodeError, msgspec.ValidationError):
            return DropReason.MALFORMED
        self.processes_by_address[address] = who
        for body in bodies:
            if isinstance(body, MEMBERSHIP_MESSAGES):
                self._send_all(self.members.handle_message(self.clock.now(), who, address, body))
            elif not for_us:
                # Danger: what was meant for the process before this one must not be taken up by it. The
                # sender is told who is here now.
                self.endpoint.send(address, who.boot, Ping(0, ()))
                return DropReason.STALE
            elif cause := self._dispatch(who, address, body):
                return cause
        return None

    def _dispatch(self, who: ProcessId, address: str, body: Any) -> DropReason | None:
        if isinstance(body, RightsMessage):
            if self.rights is not None:
                self.rights.handle_peer_message((address, who.boot), body)
        elif isinstance(body, PartBatch | Digest):
            if self.counters is not None:
                self.counters.handle_message((address, who.boot), body)
        elif isinstance(body, OrderMessage):
            if self.orders is not None:
                self.orders.handle_peer_message((address, who.boot), who.name, body)
        elif isinstance(body, HealthReportBatch):
            if self.verdicts is not None:
                self.verdicts.handle_peer_message(who, body)
        elif isinstance(body, Offer):
            self.duties.handle_offer(body.duty, body.rank, body.fence)
        elif isinstance(body, VoterConfigQuery):
            if known := self.reconfiguration.handle_query(body):
                self.endpoint.send(address, who.boot, known)
        elif isinstance(body, VoterConfig | VoterConfigAck):
            if isinstance(body, VoterConfig):
                self.endpoint.send(address, who.boot, self.reconfiguration.handle_config(body))
            if self._is_awaited_voter(who.name, address):
                self.reconfiguration.handle_response(who.name, body)
        elif isinstance(body, Prepare | Accept | Release):
            if body.ballot.process != who:
                return DropReason.UNKNOWN_SENDER
            if answer := self.duties.handle_voter_request(body):
                self.endpoint.send(address, who.boot, answer)
            if not isinstance(body, Release):
                self._sync_voter_config(who, address, body.config_id)
        elif who.name not in self.reconfiguration.config.voters or self.address_of(who.name) != address:
            # Danger: a second process under a voter's name would be counted as that voter.
            return DropReason.UNKNOWN_SENDER
        else:
            self.duties.handle_voter_response(who.name, body)
        return None

    def _send_all(self, tells: list[OutboundMessage]) -> None:
        for tell in tells:
            self.endpoint.send(tell.address, tell.receiver.boot, tell.body)

    def _list_services(self) -> list[RightsService | CounterReplicator | OrderService | VerdictService]:
        parts = (self.rights, self.counters, self.orders, self.verdicts)
        return [part for part in parts if part is not None]

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
        """To all other instances that are there."""
        if self.members is None:
            return []
        return [
            (self.members.address_of(m), m.claim.process.boot)
            for m in self.members.table.values()
            if m.is_active()
        ]

    def _find_route(self, voter: str) -> Route | None:
        """To whoever was heard at a voter's address last."""
        address = self.address_of(voter)
        known = self.processes_by_address.get(address, NO_PROCESS)
        return (address, known.boot) if known != NO_PROCESS and known.name == voter else None

    def _apply_ordered_limits(self) -> None:
        """Other limits of operators hold here."""
        if self.rights is not None and self.orders is not None and self.settings.orders is not None:
            part, lease = self.rights.settings.ceiling_ratio, self.settings.orders.open_lease_s
            found = {o.limit_name: o.to_limit(part, lease) for o in self.orders.active_orders if o.is_limit}
            self.rights.set_order_limits(found)

    def _send_request(self, voter: str, question: VoterRequest) -> None:
        if voter == self.name and self.duties.voter is not None:
            asyncio.get_running_loop().call_soon(self._handle_own_request, question)
            return
        address = self.address_of(voter)
        if (known := self.processes_by_address.get(address, NO_PROCESS)) != NO_PROCESS:
            self.endpoint.send(address, known.boot, question)

    def _handle_own_request(self, question: VoterRequest) -> None:
        if answer := self.duties.handle_voter_request(question):
            self.duties.handle_voter_response(self.name, answer)

    # ---- who votes ----

    def address_of(self, voter: str) -> str:
        """The address of a voter, empty where it is not known here."""
        return self.reconfiguration.config.voters.get(voter) or self.settings.known_addresses.get(voter, "")

    def _sync_voter_config(self, who: ProcessId, address: str, config_id: tuple[int, int]) -> None:
        """One of the two goes by older voters: it is told."""
        ours = self.reconfiguration.config
        if config_id < tuple(ours.id):
            self.endpoint.send(address, who.boot, ours)
        elif config_id > tuple(ours.id):
            self.endpoint.send(address, who.boot, VoterConfigQuery(0))

    def _is_awaited_voter(self, name: str, address: str) -> bool:
        """Whether it is a voter whom the change that is under way here has to hear."""
        change = self.reconfiguration.change
        if change is None:
            return False
        voters = {**change.config.before, **change.config.voters}
        return name in voters and address == (voters[name] or self.settings.known_addresses.get(name, ""))

    def _send_to_voter(self, voter: str, address: str, body: Any) -> None:
        """One message of a change, to a voter of before or of then."""
        address = address or self.settings.known_addresses.get(voter, "")
        if voter == self.name:
            answer = (
                self.reconfiguration.handle_query(body)
                if isinstance(body, VoterConfigQuery)
                else self.reconfiguration.handle_config(body)
            )
            if answer is not None:
                asyncio.get_running_loop().call_soon(self.reconfiguration.handle_response, voter, answer)
        elif (known := self.processes_by_address.get(address, NO_PROCESS)) != NO_PROCESS:
            self.endpoint.send(address, known.boot, body)
        else:
            self.endpoint.send(address, 0, Ping(0, ()))  # who is there?

    def _start_voting(self) -> None:
        """From now on, in silence first: the process before this one may have granted something."""
        if self.duties.fence_store is None:
            self.duties.fence_store = FenceStore(self.settings.state, self.name, wall_ms())
        self.duties.start_voting(self.clock.now())

    def _adopt_voter_config(self, config: VoterConfig) -> None:
        self.duties.adopt_voter_config(config)
        if self.duties.voter is None and self.endpoint.address == self.address_of(self.name):
            self._start_voting()

    def _call_soon_from_thread(self, act: Callable[[], None]) -> None:
        """From a thread of a work: on the loop, if it runs still."""
        with suppress(RuntimeError):
            self.loop.call_soon_threadsafe(act)

    def _request_voter_change(self, add: dict[str, str], remove: str) -> dict[str, Any]:
        """Change the voters: as soon as this instance holds the duty to."""
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

    async def _before_hand_over(self, duty: str, who: ProcessId) -> None:
        """To who is asked first whether it takes a duty, before that is let go of."""
        if self.rights is None or self.members is None or not duty.startswith(RIGHTS):
            return
        if member := self.members.table.get(who):
            part = int(duty.removeprefix(RIGHTS))
            await self.rights.hand_over(part, (self.members.address_of(member), who.boot))

    def _send_offer(self, who: ProcessId, duty: str, fence: int) -> None:
        assert self.members is not None
        order = [w for w in self.duties.rankings.get(duty, []) if w != self.process_id]
        if member := self.members.table.get(who):
            self.endpoint.send(
                self.members.address_of(member), who.boot, Offer(duty, order.index(who), fence)
            )

    # ---- people ----

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
        known = "members, duties, voters, limits, verdicts, orders, hand-over, run, change, order"
        return {"error": f"{call!r} is no call; there are {known}"}

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
