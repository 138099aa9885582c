"""Time, count and size limits of the object API's listener and its connections."""

MAX_HEAD_BYTES = 16 << 10
MAX_DISCARDED_BYTES = 64 << 10  # of the body of a request that is answered early
MAX_DISCARDED_EVENTS = 256  # chunks or reads of such a body
EVENT_BURST = 16  # events and reads of one connection in a row before other tasks run
READ_AHEAD_MEMORY_DIVISOR = 16  # spare memory divided by this: limit for all that is read ahead
BODY_MEMORY_DIVISOR = 8  # spare memory divided by this: limit for all bodies; others wait in sockets

HEAD_TIMEOUT_S = 2.6  # for a complete head, from connecting or from its first byte
IDLE_TIMEOUT_S = 15.0  # between requests
BODY_TIMEOUT_S = 5.0
WRITE_TIMEOUT_S = 30.0  # for one HTTP event; a client that does not read it in time is closed
LINGER_S = 0.5  # wait for the client to close after the last response

MIN_REMAINING_TIME_NS = 1_000_000  # given to a request whose timeout has passed: the core sheds it at once
RETRY_AFTER_NS = 1_000_000_000  # sent when memory or the shared store is unavailable
