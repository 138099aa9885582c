"""Upstream connections: one pool per wire protocol, one attempt at a time per connection."""
