"""Sub-commands of the laboratory that play each combination of their options."""

import json
from collections.abc import Callable, Iterable
from typing import Any, Protocol, TypeVar


class PlayResult(Protocol):
    """What one play showed."""

    def document(self) -> dict[str, Any]:
        """Return the result as JSON."""


PlayT = TypeVar("PlayT")
ResultT = TypeVar("ResultT", bound=PlayResult)


def play_all(
    plays: Iterable[PlayT],
    run_play: Callable[[PlayT], ResultT],
    report_line: Callable[[ResultT], str],
    output: str | None,
) -> list[ResultT]:
    """Run the plays in order and return their results.

    A line is printed for each, and one of JSON appended to the file ``output``.
    """
    results = []
    for play in plays:
        result = run_play(play)
        results.append(result)
        print(report_line(result), flush=True)
        if output:
            with open(output, "a") as file:
                file.write(json.dumps(result.document()) + "\n")
    return results


def numbers(text: str) -> list[int]:
    """Parse whole numbers that are separated by commas; raise ValueError for anything else."""
    return [int(part) for part in text.split(",")]
