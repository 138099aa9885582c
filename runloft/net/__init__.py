"""Sockets: the effect runner, links to storage nodes, the discovery watch, signals."""
