"""Limits in time, count and bytes of the RESP2 listener and its connections."""

MAX_PIPELINED = 128  # unanswered commands on one connection; more wait in the socket
COMMAND_BURST = 16  # commands of one connection processed in a row before others are served
MAX_UNWRITTEN_BYTES = 512 << 10  # of responses that a client has not read; above it its commands wait
MAX_COMMAND_BYTES = 72 << 10
MAX_ERRORS = 24  # errors in a row on one connection; one more and it is closed

INPUT_MEMORY_DIVISOR = 8  # of the spare memory: commands that are partly read, of all clients together
OUTPUT_MEMORY_DIVISOR = 4  # of the spare memory: responses that are not written, of all clients together

# A command is complete this long after its first byte; the first one, after connecting.
COMMAND_TIMEOUT_NS = 2_600_000_000
IDLE_TIMEOUT_NS = 15_000_000_000  # between requests
PRESSURE_IDLE_TIMEOUT_NS = 2_000_000_000  # between requests, under connection pressure
RECHECK_NS = PRESSURE_IDLE_TIMEOUT_NS // 8  # until a connection that is due can be looked at again
WRITE_STALL_TIMEOUT_NS = 5_000_000_000  # a client that reads nothing for so long is closed
LINGER_NS = 300_000_000  # how long input is still read, and dropped, after the last response
SHUTDOWN_LINGER_NS = 100_000_000  # the same while the program shuts down
DRAIN_POLL_S = 0.01  # between looks whether the last responses are written
