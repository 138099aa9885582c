"""Listeners by protocol: RESP2 and the object API over HTTP."""
