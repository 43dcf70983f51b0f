"""Several workers on one address: a supervisor that decides, and one that carries it out."""
