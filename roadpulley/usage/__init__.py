"""Usage metering: requests, counted by customer, plan version, class and hour. See docs/design/usage.md."""
