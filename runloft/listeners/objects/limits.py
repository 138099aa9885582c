"""Limits in time, count and bytes of the object API's listener and its connections."""

MAX_HEAD_BYTES = 16 << 10
MAX_READ_AHEAD_BYTES = 64 << 10  # while a request is out; more waits in the socket
BODY_MEMORY_DIVISOR = 8  # of the spare memory, for bodies held at once; further ones wait in their sockets

HEAD_TIMEOUT_S = 2.6  # for a request's complete head, from connecting or from its first byte
IDLE_TIMEOUT_S = 15.0  # between requests
BODY_TIMEOUT_S = 5.0
WRITE_TIMEOUT_S = 30.0  # a client that reads nothing of its response for so long is closed
LINGER_S = 0.5  # how long input is still read, and dropped, after an early response

MIN_REMAINING_TIME_NS = 1_000_000  # left to a request whose client's time is over: it is shed at once
RETRY_AFTER_NS = 1_000_000_000  # named to a client where memory or the shared store is missing
