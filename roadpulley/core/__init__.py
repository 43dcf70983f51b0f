"""The path of a request through a gateway, from the parsed command to the backends, and its configuration."""
