"""Bounds on the error of fleet-wide limits, computed from settings alone."""
