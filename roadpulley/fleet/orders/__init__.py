"""Operators' orders for the whole fleet: a versioned book, changed by one publisher, followed by all."""
