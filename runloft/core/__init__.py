"""The core: the reducer of events, lifecycles of requests and attempts, permissions; no wire in it."""
