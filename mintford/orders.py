"""What operators order of all gateways. A request under limits of theirs is sent on once rights to them are
spent for it: to those of its class, plan and customer, then to that of the pool of the chosen backend. A
further attempt goes to no pool that has one. Silence is a refusal."""

from __future__ import annotations

from . import interface as api
from .attempts import Request
from .load import Backend


class Orders:
    def __init__(self) -> None:
        self.current = api.OrdersChanged()

    def is_refused(self, event: api.RequestArrived) -> bool:
        return (
            event.customer in self.current.blocked_customers
            or event.request_class in self.current.shed_classes
        )

    def list_required_limits(self, request: Request, backend: Backend) -> tuple[str, ...]:
        """Limits that are to pay next before it may go there."""
        if not (limited := self.current.limit_names):
            return ()
        c, kind, pool = request.customer, request.kind.name, backend.entry.zone
        of_it = ("class", kind), ("plan", c.plan.name), ("customer", c.key)
        names = tuple(n for scope in of_it for n in limited.get(scope, ()) if n not in request.granted_limits)
        request.pending_pool = "" if names else pool
        return names or tuple(n for n in limited.get(("pool", pool), ()) if n not in request.granted_limits)

    def apply_decision(self, request: Request, paid: bool) -> None:
        """What it owed is paid, or can't be: it is refused, but that another pool may do."""
        request.has_rights = request.has_rights or (paid and request.rights_requested)
        if paid:
            request.granted_limits += request.pending_limits
        elif request.pending_pool:
            request.excluded_pools, request.rights_requested = (
                (*request.excluded_pools, request.pending_pool),
                request.has_rights,
            )
        if paid or request.pending_pool:
            request.pending_limits = ()
