"""The action ``runloft config explain``, which describes a key."""

import argparse

from runloft.config.faults import closest_match
from runloft.config.tool.explanation import explain, find_keys, known_keys
from runloft.config.tool.output import print_error

LABEL_WIDTH = 11


def run(options: argparse.Namespace) -> int:
    """Explain a key, or all keys that end with the given segments, and return the exit status."""
    keys = find_keys(options.key)
    if not keys:
        last_segments = {path.split(".")[-1] for path in known_keys()}
        suggestion = closest_match(options.key.split(".")[-1], last_segments)
        print_error(f'there is no key "{options.key}"; did you mean {suggestion}?')
        return 1
    for number, key in enumerate(keys):
        if number:
            print()
        for line in explain(key):
            print(f"{line.label:<{LABEL_WIDTH}}{line.text}")
    return 0
