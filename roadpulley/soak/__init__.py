"""Drawn faults over whole installations of real processes, judged and reported: `roadpulley soak`."""
