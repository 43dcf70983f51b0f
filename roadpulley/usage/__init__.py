"""Counted use: what was sent on, by customer, plan version, class and hour. See docs/design/usage.md."""
