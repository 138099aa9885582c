"""State transitions by id as log events at debug level; off by default, and cheap where it is off."""

from typing import Any

import structlog

log = structlog.get_logger()


class Trace:
    """A switch and its log call; callers check ``enabled`` first, so that no fields are built in vain."""

    enabled = False

    def __call__(self, event: str, **fields: Any) -> None:
        """Log one state transition."""
        log.debug(event, **fields)


trace = Trace()  # of this process; the command line switches it on
