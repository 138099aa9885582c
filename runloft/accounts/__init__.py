"""Latency accounts: request time by component, and by the volume whose work was waited for; no I/O."""
