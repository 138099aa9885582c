"""Randomized fault soak: real scheduler processes on loopback under overlapping troubles."""
