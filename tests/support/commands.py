"""Commands as clients of the platform write them."""

from itertools import count

OK = b"$2\r\nok\r\n"

IDS = count(1)


def read_command(shard):
    words = [b"IO.IN", b"7f3a9c21e0b4d655", b"%016x" % next(IDS)]
    words += [b"c=position-read,t=basic,d=2000,volume=00000003b4d60021,units=2,shard=%d,hosts=1" % shard]
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)
