"""The address of a TCP socket, in the form that the socket module takes."""

SocketAddress = tuple[str, int]  # host, port
