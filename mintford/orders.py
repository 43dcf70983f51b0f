"""Orders of operators that apply to all gateways: limits, blocked customers and shed classes.

A request under such limits is sent once rights to them have been spent for it. The limits of its class, plan
and customer come first, then those of the chosen backend's pool. If the question for rights is not answered,
the request is refused.

A further attempt never goes to a pool with a limit. A request that was sent before an order that forbids or
limits it gets no further attempt: no rights were spent for it, and it would run beside as many requests as
the order allows.
"""

from __future__ import annotations

from . import interface as api
from .attempts import Request
from .load import Backend


class Orders:
    """The orders that apply now, and what they mean for each request."""

    def __init__(self) -> None:
        self.current = api.OrdersChanged()

    def is_refused(self, request: Request) -> bool:
        """Whether the request's customer is blocked or its class is shed."""
        return (
            request.customer.key in self.current.blocked_customers
            or request.kind.name in self.current.shed_classes
        )

    def permits_further_attempt(self, request: Request) -> bool:
        """Whether a request that was sent already may be sent again under the orders that apply now."""
        return not self.is_refused(request) and not self._missing_limits(request)

    def list_required_limits(self, request: Request, backend: Backend) -> tuple[str, ...]:
        """The names of limits whose rights the request needs next before it may go to this backend.

        Limits of a pool are listed only when the rights to all others have been spent.
        """
        if not (limits := self.current.limit_names):
            return ()
        names, pool = self._missing_limits(request), backend.entry.zone
        request.pending_pool = "" if names else pool
        return names or tuple(n for n in limits.get(("pool", pool), ()) if n not in request.granted_limits)

    def _missing_limits(self, request: Request) -> tuple[str, ...]:
        """The limits of its class, plan and customer that no rights have been spent for."""
        if not (limits := self.current.limit_names):
            return ()
        record = request.customer
        scopes = ("class", request.kind.name), ("plan", record.plan.name), ("customer", record.key)
        return tuple(n for scope in scopes for n in limits.get(scope, ()) if n not in request.granted_limits)

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
