"""Sockets, buffers and the RESP2 codec: what listeners and upstream connections share."""
