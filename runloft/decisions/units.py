"""Units of time."""

NS_PER_SECOND = 1_000_000_000
