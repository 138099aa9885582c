"""Errors of the HTTP parser, which keep the frames that they passed through in memory."""


def release_frames(error: BaseException) -> None:
    """Drop the tracebacks of an exception that was handled, and of those that it followed from.

    A frame of h11's parser refers to the error that it raises, so that the error, its frames and the
    connection would wait for a garbage collection.
    """
    current: BaseException | None = error
    while current is not None:
        current.__traceback__ = None
        current = current.__cause__ or current.__context__
