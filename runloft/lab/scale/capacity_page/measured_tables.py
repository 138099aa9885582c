"""The events and figures that the tables of one real scheduler's measurements show."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MeasuredTable:
    """A table of events; the part of an event's name after the colon is appended to its title."""

    event_titles: Mapping[str, str]
    dimensions: tuple[str, ...]
    figures: Mapping[str, str]  # keyed by column heading


OPEN_COUNT_TIMES_S = (0, 2, 5, 10, 14, 15, 17, 20)
MEASURED_TABLES: Mapping[str, MeasuredTable] = {
    "path-together": MeasuredTable(
        {
            "clients-ask-in-turn": "round robin",
            "clients-ask-by-lot": "random",
            "clients-ask-in-turn-uncrowded": "round robin, 60,000 sockets",
        },
        ("clients", "statements"),
        {
            "open": "scheduler.clients_open_count",
            "closed": "scheduler.client_closes_per_s",
            "connecting": "scheduler.client_connects_per_s",
            "processor": "scheduler.cpu",
            "memory": "scheduler.resident_mb",
            "descriptors": "scheduler.descriptors_count",
            "answered": "client.answered_share",
            "refused": "client.refused_share",
            "99th percentile": "client.p99_ms",
        },
    ),
    "path-rest": MeasuredTable(
        {"clients-rest": "configured limit", "clients-rest-uncrowded": "60,000 sockets"},
        ("clients",),
        {"memory before": "scheduler.before.resident_mb", "peak memory": "scheduler.resident_mb"}
        | {
            f"open after {after_s} s": f"scheduler.after_{after_s}_s.clients_open_count"
            for after_s in OPEN_COUNT_TIMES_S
        },
    ),
    "path-starts": MeasuredTable(
        {"starts": ""},
        (),
        {
            "until it serves": "scheduler.start_s",
            "processor time until then": "scheduler.start_cpu_s",
            "processor time in the next 2 s": "scheduler.first_2_s.cpu_s",
            "memory then": "scheduler.resident_mb",
        },
    ),
}
