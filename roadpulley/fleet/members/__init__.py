"""Who is there. Informs; no safety rests on it."""
