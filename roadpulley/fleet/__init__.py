"""Cooperation of several instances: membership, leases on singleton tasks, shared limits and orders.

`roadpulley run` works without it.
"""
