"""Commands and replies of the platform's protocol, as bytes."""

from itertools import count

OK = b"$2\r\nok\r\n"
BUSY = b"-BUSY\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
QUIT = b"*1\r\n$4\r\nQUIT\r\n"
UNKNOWN_COMMAND = b"*1\r\n$3\r\nBAD\r\n"
REQUEST_IDS = count(1)


def resp_array(*words):
    """Return a command of these words, as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def read_command(shard):
    """Return a read command with a deadline of 2 s and an id of its own."""
    attributes = b"c=position-read,t=basic,d=2000,volume=00000003b4d60021,units=2,shard=%d,hosts=1" % shard
    return resp_array(b"IO.IN", b"7f3a9c21e0b4d655", b"%016x" % next(REQUEST_IDS), attributes)


def write_command(size, request_id=b"9b1f03aa5c7e2d41", deadline_ms=2000):
    """Return a write command for ``size`` bytes."""
    attributes = b"c=report-write,t=basic,d=%d,volume=00000003b4d60021,units=2,shard=0,hosts=1" % deadline_ms
    return resp_array(b"IO.OUT", b"7f3a9c21e0b4d655", request_id, attributes, b"b" * size)
