"""Discovery's list: versions, entries and what changed since one. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

HEALTH = ("up", "draining", "removed")
KEPT = 1_000  # changes; who asks for older ones gets the whole list


@dataclass(frozen=True)
class Host:
    """One node as discovery lists it; `dial` is filled in for each gateway."""

    host: str
    site: str = "a"
    kind: str = "m2"
    block: int = 0
    health: str = "up"
    born_ms: float = 0.0

    def entry(self, dial: str) -> dict[str, Any]:
        return {
            "host": self.host,
            "dial": dial,
            "site": self.site,
            "class": self.kind,
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


Dial = Callable[[str], str]  # from a host's name to the address at which a gateway reaches it


class Catalogue:
    def __init__(self, seq: int = 1) -> None:
        self.seq = seq
        self.hosts: dict[str, Host] = {}
        self.log: list[tuple[int, Host]] = []

    def put(self, host: Host) -> None:
        """Add or change an entry; one that is `removed` shows among changes only."""
        if host.health not in HEALTH:
            raise ValueError(f"health is {host.health!r}; give one of {', '.join(HEALTH)}")
        self.seq += 1
        if host.health == "removed":
            self.hosts.pop(host.host, None)
        else:
            self.hosts[host.host] = host
        self.log = [*self.log[-KEPT:], (self.seq, host)]

    def change(self, name: str, **values: Any) -> None:
        self.put(replace(self.hosts[name], **values))

    def whole(self, dial: Dial) -> dict[str, Any]:
        hosts = [h.entry(dial(h.host)) for h in self.hosts.values()]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    def since(self, index: int, dial: Dial) -> dict[str, Any]:
        """What changed after a version, or the whole list where that is no longer known."""
        oldest = self.log[0][0] if self.log else self.seq + 1
        if index > self.seq or index < oldest - 1:
            return self.whole(dial)
        latest = {host.host: host for seq, host in self.log if seq > index}
        return {"seq": self.seq, "whole": False, "hosts": [h.entry(dial(h.host)) for h in latest.values()]}
