"""Duties that one instance holds at a time: leases by a majority of the voters, fences at all they touch."""
