"""Answers of one instance to the operator commands of `roadpulley fleet`, as JSON objects."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from .duties.candidate import State as Stage
from .duties.terms import NO_PROCESS

if TYPE_CHECKING:
    from .agent import Agent
    from .orders.service import OrderService


def describe_members(agent: Agent) -> dict[str, Any]:
    """The member table of this instance and its datagram counters."""
    assert agent.members is not None
    now, membership = agent.clock.now(), agent.members
    rows = [
        {
            "name": m.claim.process.name,
            "boot": m.claim.process.boot,
            "state": m.claim.state.name.lower(),
            "for_s": round(now - m.state_since, 1),
            "address": membership.address_of(m),
            "votes": m.claim.process.name in agent.reconfiguration.config.voters,
        }
        for m in membership.table.values()
    ]
    own_row = {
        "name": agent.process_id.name,
        "boot": agent.process_id.boot,
        "state": "alive",
        "for_s": 0.0,
        "address": agent.endpoint.address,
        "votes": agent.duties.voter is not None and agent.name in agent.reconfiguration.config.voters,
    }
    alive = {r["name"] for r in rows if r["state"] == "alive"} | {agent.process_id.name}
    return {
        "instance": agent.name,
        "members": sorted([own_row, *rows], key=lambda r: (r["name"], r["boot"])),
        "unseen": sorted(set(agent.settings.known_addresses) - alive),
        "slowness": membership.health_score,
        "refuted": membership.refutations,
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
    """The holder of each duty, as far as this instance knows.

    Its own holdings are certain; others are known from its own vote or from what a voter answered last.
    """
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
                "holder": duty_state.granted_ballot.process.name,
                "boot": duty_state.granted_ballot.process.boot,
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
    """The voters, the change in progress, and which voters this instance does not see alive."""
    now = agent.clock.now()
    rows = []
    for name in agent.reconfiguration.config.voters:
        address = agent.address_of(name)
        process = agent.processes_by_address.get(address, NO_PROCESS)
        is_own = name == agent.name
        silent_s = (
            math.ceil(agent.duties.voter.voting_starts_at() - now) if is_own and agent.duties.voter else 0
        )
        rows.append(
            {
                "name": name,
                "address": address,
                "boot": agent.process_id.boot if is_own else process.boot,
                "seen": is_own or name not in list_unseen_voters(agent),
                "silent_s": max(0, silent_s),
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
    """The limits whose rights this instance allocates, and its replicated counters."""
    answer: dict[str, Any] = {"instance": agent.name, "unseen": []}
    if agent.rights is not None:
        answer |= agent.rights.report()
    if agent.counters is not None:
        answer["counting"] = agent.counters.report()
    return answer


def describe_orders(agent: Agent, service: OrderService) -> dict[str, Any]:
    """The operators' orders as this instance follows them."""
    return {"instance": agent.name, "unseen": list_unseen_voters(agent), **service.report()}


def describe_verdicts(agent: Agent) -> dict[str, Any]:
    """The backends with a failure verdict, and which instances observed the failures."""
    if agent.verdicts is None:
        return {"error": "no verdicts are told here: [verdicts] is missing in the fleet's settings"}
    return {"instance": agent.name, "unseen": list_unseen_voters(agent), **agent.verdicts.report()}


def list_unseen_voters(agent: Agent) -> list[str]:
    """Names of voters that this instance does not see alive, sorted."""
    assert agent.members is not None
    alive = {m.process.name for m in agent.members.active_claims() if m.state.name == "ALIVE"}
    return sorted(set(agent.reconfiguration.config.voters) - alive)
