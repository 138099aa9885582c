"""Time, count and size limits of the RESP2 listener and its connections."""

MAX_PIPELINED = 128  # unanswered commands per connection; further ones wait in the socket
COMMAND_BURST = 16  # commands of one connection processed in a row before other tasks run
CONTENDED_COMMAND_BURST = 4  # the same while more connections have input than get a turn
REFUSAL_BURST = 64  # commands of a closing connection refused in a row before other tasks run
READ_AHEAD_ITERATION_BYTES = 1 << 20  # read ahead on all connections before other tasks run
READ_AHEAD_CONTINUE_NS = 1_000_000  # until reading ahead goes on
DROPPED_READ_BYTES = 32 << 10  # of input that is dropped, in one read
MEMORY_CHECK_BYTES = 64 << 10  # growth of all input after which the whole process's memory is checked
MAX_UNWRITTEN_BYTES = 512 << 10  # of responses on one connection; above it no further command is processed
OUTPUT_SHARE_DIVISOR = 2  # once half of the output memory is used: part of an even share that is left
RESPONSE_BYTES = 512  # memory of a pipelined response besides its content
MAX_SHORT_COMMAND_BYTES = 4 << 10  # of input; such a command need not wait for the core
MAX_ECHO_BYTES = 1024  # of a PING's message
MAX_COMMAND_BYTES = 72 << 10
MAX_ERRORS = 24  # in a row on one connection; the next error closes it

INPUT_MEMORY_DIVISOR = 8  # spare memory divided by this: limit for the receive buffers of all clients
QUEUE_MEMORY_DIVISOR = 16  # spare memory divided by this: limit for requests that the core hasn't seen
OUTPUT_MEMORY_DIVISOR = 4  # spare memory divided by this: limit for the unwritten responses of all clients

# From a command's first byte to its last; for the first command, from connecting.
COMMAND_TIMEOUT_NS = 2_600_000_000
SLOW_COMMAND_NS = 500_000_000  # an incomplete command this old fails if its connection's place is needed
IDLE_TIMEOUT_NS = 15_000_000_000  # between requests
PRESSURE_IDLE_TIMEOUT_NS = 2_000_000_000  # between requests, under connection pressure
UNREAD_RECHECK_NS = 50_000_000  # until a timeout is judged again, if input had arrived that was not read yet
RECHECK_INTERVAL_NS = PRESSURE_IDLE_TIMEOUT_NS // 8  # of expired connections that could not be closed
WRITE_STALL_TIMEOUT_NS = 5_000_000_000  # a client that reads nothing for this long is closed
LINGER_NS = 300_000_000  # wait for the client to close after the last response
SHUTDOWN_LINGER_NS = 100_000_000  # the same during the shutdown of the program
DRAIN_POLL_INTERVAL_S = 0.01  # while waiting for the last responses to be written
