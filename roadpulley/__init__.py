"""roadpulley: an API gateway on real sockets round the decision module `mintford`."""
