"""Decision module of an API gateway that holds the quotas and ceilings of many customers.

It is pure: events and the current time go in, actions come out.
"""

from .rules import Gateway

__all__ = ["Gateway"]
