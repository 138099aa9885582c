"""Sockets, buffers and the RESP2 codec, shared by listeners and upstream connections."""
