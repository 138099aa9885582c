"""Connections to storage nodes: the pool, and a connection for each protocol."""
