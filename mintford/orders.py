"""Orders of operators that apply to all gateways: limits, blocked customers and shed classes.

A request under such limits is sent once rights to them have been spent for it. The limits of its class, plan
and customer come first, then those of the chosen backend's pool. A further attempt never goes to a pool with
a limit. If the question for rights is not answered, the request is refused.
"""

from __future__ import annotations

from . import interface as api
from .attempts import Request
from .load import Backend


class Orders:
    """The orders that apply now, and what they mean for each request."""

    def __init__(self) -> None:
        self.current = api.OrdersChanged()

    def is_refused(self, event: api.RequestArrived) -> bool:
        """Whether the request's customer is blocked or its class is shed."""
        return (
            event.customer in self.current.blocked_customers
            or event.request_class in self.current.shed_classes
        )

    def list_required_limits(self, request: Request, backend: Backend) -> tuple[str, ...]:
        """The names of limits whose rights the request needs next before it may go to this backend.

        Limits of a pool are listed only when the rights to all others have been spent.
        """
        if not (limits := self.current.limit_names):
            return ()
        record, kind, pool = request.customer, request.kind.name, backend.entry.zone
        scopes = ("class", kind), ("plan", record.plan.name), ("customer", record.key)
        names = tuple(n for scope in scopes for n in limits.get(scope, ()) if n not in request.granted_limits)
        request.pending_pool = "" if names else pool
        return names or tuple(n for n in limits.get(("pool", pool), ()) if n not in request.granted_limits)

    def apply_decision(self, request: Request, granted: bool) -> None:
        """Record whether the pending rights of a request were granted.

        A request that was denied the rights to a pool may go to another pool, otherwise it will be refused.
        """
        request.has_rights = request.has_rights or (granted and request.rights_requested)
        if granted:
            request.granted_limits += request.pending_limits
        elif request.pending_pool:
            request.excluded_pools = (*request.excluded_pools, request.pending_pool)
            request.rights_requested = request.has_rights
        if granted or request.pending_pool:
            request.pending_limits = ()
