"""One gateway's way of a request."""
