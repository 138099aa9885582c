"""Randomized soak test: real scheduler processes on loopback under overlapping faults."""
