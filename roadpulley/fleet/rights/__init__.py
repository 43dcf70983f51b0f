"""Escrow of limits that hold over all gateways: an allocator grants short-lived rights to spend units."""
