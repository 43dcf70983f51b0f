"""What operators order of the whole fleet: one book, changed by one instance at a time, followed by all."""
