"""mintford: decisions of a front door that meters many customers' use of one shared service."""

from .rules import Gateway

__all__ = ["Gateway"]
