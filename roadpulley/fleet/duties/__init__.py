"""Duties: singleton tasks under leases of a majority of voters, with fencing tokens."""
