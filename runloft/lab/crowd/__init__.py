"""``runloft lab crowd``: hundreds of clients that make one process hold as much memory as they can."""
