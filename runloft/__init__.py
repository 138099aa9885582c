"""Decisions of a host-side I/O scheduler for a shared disk pool."""
