"""Several workers on one address: the supervisor's state machine, its service, and the worker process."""
