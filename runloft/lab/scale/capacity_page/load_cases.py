"""The sizes that the page covers: the ordinary day, and after the loss of a zone or a region."""

from collections.abc import Mapping

from runloft.lab.scale.records import Sizes

REGIONS = 2
ZONES = 7
CHANGES_PER_DAY = 540
DAY = Sizes(
    schedulers=450, nodes=820, clients=8222, statements=644.0, volumes=820, changes=CHANGES_PER_DAY / 24
)
FRACTION_AFTER_ZONE_LOSS = (ZONES - 1) / ZONES
# Clients and statements are those of each remaining scheduler; endpoint lists still name every node.
AFTER_ZONE_LOSS = Sizes(
    schedulers=round(DAY.schedulers * FRACTION_AFTER_ZONE_LOSS),
    nodes=DAY.nodes,
    clients=9600,
    statements=DAY.statements / FRACTION_AFTER_ZONE_LOSS,
    volumes=DAY.volumes,
    changes=DAY.changes,
)
AFTER_REGION_LOSS = Sizes(
    schedulers=DAY.schedulers // REGIONS,
    nodes=DAY.nodes,
    clients=16_500,
    statements=1290.0,
    volumes=DAY.volumes,
    changes=DAY.changes,
)
LOAD_CASES: Mapping[str, Sizes] = {
    "the ordinary day": DAY,
    "after the loss of a zone": AFTER_ZONE_LOSS,
    "after the loss of a region": AFTER_REGION_LOSS,
}

ASSUMED_DIMENSIONS = ("volumes",)  # the operators specify none: one volume per storage node
SPECIFIED_FOR_DAY = ("schedulers", "nodes", "clients", "statements")
SPECIFIED_AFTER_ZONE_LOSS = ("clients",)
SPECIFIED_AFTER_REGION_LOSS = ("clients", "statements")
