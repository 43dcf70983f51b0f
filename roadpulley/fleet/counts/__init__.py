"""Counts without a leader: numbers that every instance adds to, and that all come to see alike."""
