"""Membership of the fleet by SWIM. It is advisory: no safety property depends on it."""
