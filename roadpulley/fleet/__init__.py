"""Several instances as one: who is there, and who does what only one may do. Off in `run`."""
