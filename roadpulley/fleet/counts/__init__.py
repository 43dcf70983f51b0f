"""Replicated counters without a leader: every instance adds to them, and all replicas converge."""
