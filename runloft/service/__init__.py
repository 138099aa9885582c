"""The process: its start, its event loop, signals, reload, graceful shutdown and admin listener."""
