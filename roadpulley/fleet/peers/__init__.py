"""Authenticated datagrams between the instances of one installation."""
