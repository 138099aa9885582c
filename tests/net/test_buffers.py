"""The memory of unsent responses."""

import socket
import tracemalloc

from runloft.net.buffers import SendBuffer

SMALL_RESPONSE = b"+PONG\r\n"
COUNT = 70_000  # as many as one connection may have unsent


def test_many_small_responses_take_little_more_memory_than_their_bytes():
    """Prevents responses of a few bytes from taking many times what is counted for them."""
    tracemalloc.start()
    try:
        buffer = SendBuffer()
        for _ in range(COUNT):
            buffer.push(SMALL_RESPONSE)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert buffer.size == COUNT * len(SMALL_RESPONSE)
    assert used <= 1.2 * buffer.memory_bytes()
    assert buffer.memory_bytes() <= 1.2 * buffer.size


def test_merged_responses_are_written_in_order():
    client, server = socket.socketpair()
    server.setblocking(False)
    client.settimeout(10)
    pieces = [b"%d," % number * (1 + number % 700) for number in range(2000)]
    buffer = SendBuffer()
    received = bytearray()
    for piece in pieces:
        buffer.push(piece)
        buffer.flush(server)
    while not buffer.flush(server):
        received += client.recv(1 << 16)
    server.close()
    while chunk := client.recv(1 << 16):
        received += chunk
    assert received == b"".join(pieces)
    client.close()
