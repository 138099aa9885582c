"""A host-side I/O scheduler for storage nodes."""

__version__ = "0.1.0"
