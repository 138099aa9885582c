"""The sizes that the page speaks of: the ordinary day, and what is left after a loss."""

from collections.abc import Mapping

from runloft.lab.scale.records import Sizes

REGIONS = 2
ZONES = 7
CHANGES_PER_DAY = 540
DAY = Sizes(
    schedulers=450, nodes=820, clients=8222, statements=644.0, volumes=820, changes=CHANGES_PER_DAY / 24
)
REMAINING_WITHOUT_A_ZONE = (ZONES - 1) / ZONES
# What each scheduler that is left bears; endpoint lists still name every node.
ZONE_AWAY = Sizes(
    schedulers=round(DAY.schedulers * REMAINING_WITHOUT_A_ZONE),
    nodes=DAY.nodes,
    clients=9600,
    statements=DAY.statements / REMAINING_WITHOUT_A_ZONE,
    volumes=DAY.volumes,
    changes=DAY.changes,
)
REGION_AWAY = Sizes(
    schedulers=DAY.schedulers // REGIONS,
    nodes=DAY.nodes,
    clients=16_500,
    statements=1290.0,
    volumes=DAY.volumes,
    changes=DAY.changes,
)
LOAD_CASES: Mapping[str, Sizes] = {
    "the ordinary day": DAY,
    "a zone away": ZONE_AWAY,
    "a region away": REGION_AWAY,
}

ASSUMED_DIMENSIONS = ("volumes",)  # nobody has specified it: one volume for each storage node
SPECIFIED_FOR_DAY = ("schedulers", "nodes", "clients", "statements")
SPECIFIED_FOR_ZONE_AWAY = ("clients",)
SPECIFIED_FOR_REGION_AWAY = ("clients", "statements")
