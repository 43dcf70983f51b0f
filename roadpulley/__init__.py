"""roadpulley: an API gateway. It provides the sockets and processes around the decision module `mintford`."""
