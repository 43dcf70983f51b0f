"""Rights to spend of a limit that holds over all gateways together: given out, held briefly, never twice."""
