"""A whole installation on one machine: stand-ins, faults on demand, and an auditor of the rules.

Tests, benchmarks and `roadpulley dev` share it. `roadpulley/__main__.py` never imports it.
"""
