"""Debug-level log events for state transitions; off by default."""

from typing import Any

import structlog

log = structlog.get_logger()


class Trace:
    """Logs state transitions; callers check ``enabled`` first to avoid building unused log fields."""

    enabled = False

    def __call__(self, event: str, **fields: Any) -> None:
        """Log one state transition."""
        log.debug(event, **fields)


trace = Trace()  # shared by the whole process; enabled on the command line
