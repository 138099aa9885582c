"""The protocol-independent core: the event reducer, request and attempt lifecycles, and permissions."""
