"""How requests come in."""
