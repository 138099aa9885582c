"""The scheduler process: start, event loop, signals, reload, graceful shutdown and admin listener."""
