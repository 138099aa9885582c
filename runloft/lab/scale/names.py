"""Names of schedulers and nodes, about as long as the names of pods, and the nodes' addresses."""

ZONES = 7
REGIONS = 2


def scheduler_name(number: int, count: int) -> str:
    """Return a scheduler's name of 35 bytes; each zone has a seventh of the schedulers, each region half."""
    zone = number * ZONES // count
    region = region_of(number, count)
    return f"application-{number:05d}.zone-{zone:02d}.region-{region:02d}"


def region_of(number: int, count: int) -> int:
    """Return the region of a scheduler by its number and the count of schedulers."""
    return number * REGIONS // count


def node_uid(number: int) -> str:
    """Return a node's uid."""
    return f"storage-node-{number:06d}.zone-{number % ZONES:02d}.region-{number % REGIONS:02d}"


def node_address(number: int) -> str:
    """Return a node's address, which hollow schedulers never connect to because they send no requests."""
    return f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9"
