"""Upstream connections: a pool for each wire, with one attempt at a time on each connection."""
