"""State transitions by id, at debug level: off unless asked for, and cheap where it is off."""

from typing import Any

import structlog

log = structlog.get_logger()


class Trace:
    """The switch and the line; who traces asks ``enabled`` first, so that nothing is gathered in vain."""

    enabled = False

    def __call__(self, event: str, **fields: Any) -> None:
        """Log one transition."""
        log.debug(event, **fields)


trace = Trace()  # one a process; the command line switches it on
