"""What one instance tells people: who is there, who holds what, and what it can't see."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from .duties.candidate import State as Stage
from .duties.terms import NO_PROCESS

if TYPE_CHECKING:
    from .agent import Agent
    from .orders.service import OrderService


def describe_members(agent: Agent) -> dict[str, Any]:
    assert agent.members is not None
    now, machine = agent.clock.now(), agent.members
    rows = [
        {
            "name": m.claim.process.name,
            "boot": m.claim.process.boot,
            "state": m.claim.state.name.lower(),
            "for_s": round(now - m.state_since, 1),
            "address": machine.address_of(m),
            "votes": m.claim.process.name in agent.reconfiguration.config.voters,
        }
        for m in machine.table.values()
    ]
    mine = {
        "name": agent.process_id.name,
        "boot": agent.process_id.boot,
        "state": "alive",
        "for_s": 0.0,
        "address": agent.endpoint.address,
        "votes": agent.duties.voter is not None and agent.name in agent.reconfiguration.config.voters,
    }
    seen = {r["name"] for r in rows if r["state"] == "alive"} | {agent.process_id.name}
    return {
        "instance": agent.name,
        "members": sorted([mine, *rows], key=lambda r: (r["name"], r["boot"])),
        "unseen": sorted(set(agent.settings.known_addresses) - seen),
        "slowness": machine.health_score,
        "refuted": machine.refutations,
        "datagrams": {
            "sent": agent.endpoint.sent,
            "sent_bytes": agent.endpoint.sent_bytes,
            "received": agent.endpoint.received,
            "received_bytes": agent.endpoint.received_bytes,
            "dropped": dict(agent.endpoint.dropped),
            "errors": dict(agent.endpoint.errors),
        },
        "problems": agent.problems,
    }


def describe_duties(agent: Agent) -> dict[str, Any]:
    """Who holds what, as this instance knows: its own holdings for sure, the others' by what voters told."""
    now, rows = agent.clock.now(), []
    voter = agent.duties.voter
    for name in sorted(agent.settings.duties):
        local_duty = agent.duties.local_duties.get(name)
        duty_state = voter.duty_states.get(name) if voter is not None else None
        row: dict[str, Any] = {
            "duty": name,
            "work": agent.settings.duties[name].work,
            "holder": "",
            "known": "",
        }
        if local_duty is not None and local_duty.candidate.state in (Stage.HOLDING, Stage.CLAIMING):
            row |= {
                "holder": agent.name,
                "boot": agent.process_id.boot,
                "since_s": round(now - local_duty.candidate.held_since, 1),
                "fence": local_duty.candidate.ballot.round,
                "left_s": round(local_duty.candidate.held_until - now, 2),
                "state": local_duty.candidate.state.value,
                "acts": local_duty.act_count,
                "known": "it is held here",
            }
        elif duty_state is not None and now < duty_state.granted_until:
            row |= {
                "holder": duty_state.granted_ballot.who.name,
                "boot": duty_state.granted_ballot.who.boot,
                "since_s": round(now - duty_state.granted_since, 1),
                "fence": duty_state.granted_ballot.round,
                "left_s": round(duty_state.granted_until - now, 2),
                "state": "granted",
                "known": "this instance's own vote",
            }
        elif local_duty is not None and local_duty.candidate.known_holder != NO_PROCESS:
            row |= {
                "holder": local_duty.candidate.known_holder.name,
                "known": "a voter told it at the last try",
            }
        if duty_state is not None and now < duty_state.cooldown_until:
            row["cools_s"] = round(duty_state.cooldown_until - now, 1)
        if local_duty is not None and local_duty.end_reason:
            row["last"] = local_duty.end_reason
        order = agent.duties.rankings.get(name, [])
        row["first_choice"] = order[0].name if order else ""
        rows.append(row)
    return {
        "instance": agent.name,
        "duties": rows,
        "unseen": list_unseen_voters(agent),
        "problems": agent.problems,
    }


def describe_voters(agent: Agent) -> dict[str, Any]:
    now = agent.clock.now()
    rows = []
    for name in agent.reconfiguration.config.voters:
        address = agent.address_of(name)
        who = agent.processes_by_address.get(address, NO_PROCESS)
        ours = name == agent.name
        silent = math.ceil(agent.duties.voter.voting_starts_at() - now) if ours and agent.duties.voter else 0
        rows.append(
            {
                "name": name,
                "address": address,
                "boot": agent.process_id.boot if ours else who.boot,
                "seen": ours or name not in list_unseen_voters(agent),
                "silent_s": max(0, silent),
            }
        )
    return {
        "instance": agent.name,
        "roll": list(agent.reconfiguration.config.id),
        "change": agent.reconfiguration.status(),
        "voters": rows,
        "majority": len(rows) // 2 + 1,
        "unseen": list_unseen_voters(agent),
    }


def describe_limits(agent: Agent) -> dict[str, Any]:
    """Which rights are given out here, and what is counted."""
    found: dict[str, Any] = {"instance": agent.name, "unseen": []}
    if agent.rights is not None:
        found |= agent.rights.report()
    if agent.counters is not None:
        found["counting"] = agent.counters.report()
    return found


def describe_orders(agent: Agent, found: OrderService) -> dict[str, Any]:
    """What operators have ordered, as it holds here."""
    return {"instance": agent.name, "unseen": list_unseen_voters(agent), **found.report()}


def describe_verdicts(agent: Agent) -> dict[str, Any]:
    """Which backends are found failing, by whom."""
    if agent.verdicts is None:
        return {"error": "no verdicts are told here: [verdicts] is missing in the fleet's settings"}
    return {"instance": agent.name, "unseen": list_unseen_voters(agent), **agent.verdicts.report()}


def list_unseen_voters(agent: Agent) -> list[str]:
    assert agent.members is not None
    alive = {m.process.name for m in agent.members.active_claims() if m.state.name == "ALIVE"}
    return sorted(set(agent.reconfiguration.config.voters) - alive)
