"""The address of a TCP socket, in the form that the socket module uses."""

SocketAddress = tuple[str, int]  # host, port
